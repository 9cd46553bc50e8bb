package controller

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const threeControllers = `controller "c1" { listen = "127.0.0.1:1" raft = "127.0.0.1:2" region = "west" zone = "w1" }
controller "c2" { listen = "127.0.0.1:3" raft = "127.0.0.1:4" }
controller "c3" { listen = "127.0.0.1:5" raft = "127.0.0.1:6" }
`

// A settings file sets the common settings and the members, and the name selects the controller.
func TestParseConfig(t *testing.T) {
	config, err := ParseConfig("x.hcl", []byte(threeControllers+`controllers { folder = "/var/lib/hw" max_sessions = 7 heartbeat_ms = 200 election_ms = 900 }`), "c2")
	if err != nil {
		t.Fatal(err)
	}
	if config.Self.Name != "c2" || len(config.Members) != 3 || config.Folder != filepath.Join("/var/lib/hw", "c2") {
		t.Errorf("%+v", config)
	}
	if config.MaxSessions != 7 || config.HeartbeatInterval != 200*time.Millisecond || config.ElectionTimeout != 900*time.Millisecond || config.LeaderLease != defaultLeaderLease {
		t.Errorf("%+v", config)
	}
	if config.Members[0].Region != "west" || config.Members[0].Zone != "w1" {
		t.Errorf("%+v", config.Members[0])
	}
}

// A settings file with only one controller needs no --name.
func TestParseConfigOfOneControllerNeedsNoName(t *testing.T) {
	config, err := ParseConfig("x.hcl", []byte(`controller "only" { listen = "127.0.0.1:1" raft = "127.0.0.1:2" }`), "")
	if err != nil || config.Self.Name != "only" {
		t.Errorf("%+v, %v", config.Self, err)
	}
}

// Errors in a settings file are reported in one line, with the file and, where possible, the line.
func TestParseConfigErrors(t *testing.T) {
	for name, c := range map[string]struct{ text, name, wantText string }{
		"no controller":                        {``, "", "x.hcl: the file has no controller block"},
		"no name":                              {threeControllers, "", "x.hcl: the file has 3 controllers: select one of them with --name (c1, c2, c3)"},
		"an unknown name":                      {threeControllers, "c9", `x.hcl: the file has no controller "c9"; it has c1, c2, c3`},
		"an unknown block":                     {`controler "c1" {}`, "", "x.hcl:1: unknown block controler"},
		"an unknown key":                       {"controller \"c1\" { listen = \"a:1\" raft = \"a:2\"\n sone = \"\" }", "", "x.hcl:2: unknown setting sone"},
		"no listen":                            {`controller "c1" { raft = "a:2" }`, "", "x.hcl:1: controller c1 needs listen"},
		"no raft":                              {`controller "c1" { listen = "a:2" }`, "", "x.hcl:1: controller c1 needs raft"},
		"not an address":                       {"controller \"c1\" {\n listen = \"a\" raft = \"a:2\" }", "", "x.hcl:2: listen must be HOST:PORT"},
		"the same address for listen and raft": {`controller "c1" { listen = "a:1" raft = "a:1" }`, "", "x.hcl:1: listen and raft of controller c1 must differ"},
		"the address of another controller":    {"controller \"c1\" { listen = \"a:1\" raft = \"a:2\" }\ncontroller \"c2\" { listen = \"a:3\" raft = \"a:1\" }", "c1", "x.hcl:2: controller c2 uses the address a:1 of controller c1"},
		"a duplicate name":                     {"controller \"c1\" { listen = \"a:1\" raft = \"a:2\" }\ncontroller \"c1\" { listen = \"a:3\" raft = \"a:4\" }", "c1", "x.hcl:2: controller c1 is defined twice"},
		"a name with /":                        {`controller "a/b" { listen = "a:1" raft = "a:2" }`, "", "label is its name"},
		"no label":                             {`controller { listen = "a:1" raft = "a:2" }`, "", "x.hcl:1: block controller needs a label"},
		"a lease above the election time-out":  {threeControllers + `controllers { election_ms = 200 lease_ms = 300 }`, "c1", "x.hcl:4: lease_ms must not be above election_ms"},
		"two controllers blocks":               {threeControllers + "controllers {}\ncontrollers {}", "c1", "x.hcl:5: block controllers is already defined"},
		"no sessions":                          {threeControllers + `controllers { max_sessions = 0 }`, "c1", "x.hcl:4: max_sessions must be from 1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseConfig("x.hcl", []byte(c.text), c.name)
			if err == nil || !strings.Contains(err.Error(), c.wantText) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestExampleSettingsFileIsValid(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "controllers.hcl")
	if _, err := os.Stat(path); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		if _, err := LoadConfig(path, name); err != nil {
			t.Error(err)
		}
	}
}
