package scenario

import (
	"errors"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

const least = `scenario "a" {}
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
	if s.Name != "a" || s.Seed != 1 || s.Length != 3*time.Second || s.Front.Nodes != 1 || s.Tiers[0].Boxes() != 7 ||
		len(s.Troubles) != 0 || s.Classes[0].Effect != balancer.IdempotentWithKey || s.Classes[0].Window != 3*time.Second {
		t.Errorf("got %+v", s)
	}
	if s.Clients.Rate != 100 || s.Rules.MaxAttempts != 3 || s.Tenants[0].Name == "" || !s.Clients.Marks {
		t.Errorf("defaults: %+v", s)
	}
}

var faults = map[string]struct{ text, at, says string }{
	"unknown block":   {least + "\nfire {}", "f:5: ", "unknown block fire"},
	"no scenario":     {"", "f:1: ", "no block scenario"},
	"no tier":         {`scenario "a" {}`, "f:1: ", "no block tier"},
	"no class":        {"scenario \"a\" {}\ntier \"t\" { kind \"k\" {} }", "f:1: ", "no block class"},
	"twice":           {least + `scenario "b" {}`, "f:4: ", "there already"},
	"no kind":         {least + `tier "u" {}`, "f:4: ", "has no kind"},
	"inner fault":     {least + "tier \"u\" {\n kind \"k\" {\n  cores = 0 } }", "f:6: ", "cores must be from"},
	"inner unknown":   {least + "tier \"u\" {\n kind \"k\" {\n\n  core = 0 } }", "f:7: ", "unknown setting core"},
	"tier twice":      {least + `tier "t" { kind "k" {} }`, "f:4: ", "tier t is there already"},
	"class twice":     {least + `class "c" {}`, "f:4: ", "there already"},
	"late aim":        {least + `class "d" { aim_ms = 5000 }`, "f:4: ", "deadline_ms is under aim_ms"},
	"trouble":         {least + `trouble "fire" {}`, "f:4: ", "unknown trouble"},
	"no operators":    {least + `trouble "upgrade" {}`, "f:4: ", "needs fleet"},
	"no folder":       {least + `trouble "kill" { folder = "cut" }`, "f:4: ", "needs fleet"},
	"trouble's tier":  {least + "trouble \"crash\" {\n tier = \"u\" }", "f:5: ", `tier "u" is not one`},
	"trouble's class": {least + "trouble \"heavy_tail\" {\n class = \"u\" }", "f:5: ", `class "u" is not one`},
	"part":            {least + "trouble \"crash\" {\n part = 2 }", "f:5: ", "part must be from 0 to 1"},
	"policy":          {`scenario "a" { policy = "guess" }`, "f:1: ", "policy must be one of"},
	"recorded":        {least + `clients { arrivals = "recorded" }`, "f:4: ", "go together"},
	"far base":        {`scenario "a" { base = "../b.hcl" }`, "f:1: ", "in the same folder"},
	"no base":         {"\nscenario \"a\" { base = \"b.hcl\" }", "f:2: ", "base: none"},
	"number as base":  {`scenario "a" { base = 3 }`, "f:1: ", "base"},
	"syntax":          {least + "class \"d\" {", "f:4: ", "has no end"},
}

func parse(text []byte) (*Scenario, error) {
	return Parse("f", text, func(string) ([]byte, error) { return nil, errors.New("none") })
}

func TestFaultsNameFileAndLine(t *testing.T) {
	for name, c := range faults {
		t.Run(name, func(t *testing.T) {
			_, err := parse([]byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.at) || !strings.Contains(err.Error(), c.says) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("said %v, want %s... %s", err, c.at, c.says)
			}
		})
	}
}

// No text may crash the reader; every error is one line that begins with file and line; what is taken can be played.
func FuzzParse(f *testing.F) {
	f.Add([]byte(least))
	for _, c := range faults {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parse(text)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: said %q", text, err)
			}
			return
		}
		if len(s.Tiers) == 0 || len(s.Classes) == 0 || s.Length <= 0 || s.Front.Nodes < 1 || s.Rules.MaxAttempts < 1 {
			t.Errorf("%q: took %+v", text, s)
		}
	})
}
