package scenario

import (
	"errors"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

const minimal = `scenario "a" {}
tier "t" { kind "k" {} }
class "c" {}
`

func TestDefaultsAndBase(t *testing.T) {
	base := `scenario "b" { seed = 9 }
tier "t" { kind "k" { count = 7 } }
class "c" { effect = "keyed" window_s = 3 }
front { nodes = 5 }
trouble "crash" { at_s = 1 }`
	s, err := Parse("dir/a.hcl", []byte(`scenario "a" { base = "b.hcl" length_s = 3 }
front { nodes = 1 }`), func(path string) ([]byte, error) {
		if path != "dir/b.hcl" {
			return nil, errors.New(path)
		}
		return []byte(base), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "a" || s.Seed != 1 || s.Length != 3*time.Second || s.Ingress.Nodes != 1 || s.Tiers[0].ServerCount() != 7 ||
		len(s.Faults) != 0 || s.Classes[0].Effect != balancer.IdempotentWithKey || s.Classes[0].DedupWindow != 3*time.Second {
		t.Errorf("got %+v", s)
	}
	if s.Clients.Rate != 100 || s.Rules.MaxAttempts != 3 || s.Tenants[0].Name == "" || !s.Clients.MarkRetries {
		t.Errorf("defaults: %+v", s)
	}
}

var invalidTexts = map[string]struct{ text, at, says string }{
	"unknown block":               {minimal + "\nfire {}", "f:5: ", "unknown block fire"},
	"no scenario":                 {"", "f:1: ", "no block scenario"},
	"no tier":                     {`scenario "a" {}`, "f:1: ", "no block tier"},
	"no class":                    {"scenario \"a\" {}\ntier \"t\" { kind \"k\" {} }", "f:1: ", "no block class"},
	"two scenarios":               {minimal + `scenario "b" {}`, "f:4: ", "block scenario is already defined"},
	"no kind":                     {minimal + `tier "u" {}`, "f:4: ", "has no kind"},
	"number too small":            {minimal + "tier \"u\" {\n kind \"k\" {\n  cores = 0 } }", "f:6: ", "cores must be from"},
	"unknown setting":             {minimal + "tier \"u\" {\n kind \"k\" {\n\n  core = 0 } }", "f:7: ", "unknown setting core"},
	"two equal tiers":             {minimal + `tier "t" { kind "k" {} }`, "f:4: ", "tier t is already defined"},
	"two equal classes":           {minimal + `class "c" {}`, "f:4: ", "or is already defined"},
	"objective after deadline":    {minimal + `class "d" { aim_ms = 5000 }`, "f:4: ", "deadline_ms is less than aim_ms"},
	"unknown fault":               {minimal + `trouble "fire" {}`, "f:4: ", "unknown trouble"},
	"upgrade without admin calls": {minimal + `trouble "upgrade" {}`, "f:4: ", "requires fleet"},
	"folder without admin calls":  {minimal + `trouble "kill" { folder = "cut" }`, "f:4: ", "requires fleet"},
	"unknown tier of fault":       {minimal + "trouble \"crash\" {\n tier = \"u\" }", "f:5: ", `tier "u" is not one`},
	"unknown class of fault":      {minimal + "trouble \"heavy_tail\" {\n class = \"u\" }", "f:5: ", `class "u" is not one`},
	"share too large":             {minimal + "trouble \"crash\" {\n part = 2 }", "f:5: ", "part must be from 0 to 1"},
	"unknown policy":              {`scenario "a" { policy = "guess" }`, "f:1: ", "policy must be one of"},
	"recorded without file":       {minimal + `clients { arrivals = "recorded" }`, "f:4: ", "must be set together"},
	"base in other folder":        {`scenario "a" { base = "../b.hcl" }`, "f:1: ", "in the same folder"},
	"missing base":                {"\nscenario \"a\" { base = \"b.hcl\" }", "f:2: ", "base: none"},
	"number as base":              {`scenario "a" { base = 3 }`, "f:1: ", "base"},
	"syntax error":                {minimal + "class \"d\" {", "f:4: ", "is not closed"},
}

func parse(text []byte) (*Scenario, error) {
	return Parse("f", text, func(string) ([]byte, error) { return nil, errors.New("none") })
}

// The author of a scenario must be able to find a mistake: each error is one line that begins with the file and the
// line.
func TestParseErrorsNameFileAndLine(t *testing.T) {
	for name, c := range invalidTexts {
		t.Run(name, func(t *testing.T) {
			_, err := parse([]byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.at) || !strings.Contains(err.Error(), c.says) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want %s... %s", err, c.at, c.says)
			}
		})
	}
}

// No text may crash the parser. Every error is one line that begins with the file and the line, and every accepted
// scenario can be run.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	for _, c := range invalidTexts {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parse(text)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: got error %q", text, err)
			}
			return
		}
		if len(s.Tiers) == 0 || len(s.Classes) == 0 || s.Length <= 0 || s.Ingress.Nodes < 1 || s.Rules.MaxAttempts < 1 {
			t.Errorf("%q: accepted %+v", text, s)
		}
	})
}
