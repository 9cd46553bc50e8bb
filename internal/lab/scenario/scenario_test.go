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
	"unknown block":   {minimal + "\nfire {}", "f:5: ", "unknown block fire"},
	"no scenario":     {"", "f:1: ", "no block scenario"},
	"no tier":         {`scenario "a" {}`, "f:1: ", "no block tier"},
	"no class":        {"scenario \"a\" {}\ntier \"t\" { kind \"k\" {} }", "f:1: ", "no block class"},
	"twice":           {minimal + `scenario "b" {}`, "f:4: ", "there already"},
	"no kind":         {minimal + `tier "u" {}`, "f:4: ", "has no kind"},
	"inner fault":     {minimal + "tier \"u\" {\n kind \"k\" {\n  cores = 0 } }", "f:6: ", "cores must be from"},
	"inner unknown":   {minimal + "tier \"u\" {\n kind \"k\" {\n\n  core = 0 } }", "f:7: ", "unknown setting core"},
	"tier twice":      {minimal + `tier "t" { kind "k" {} }`, "f:4: ", "tier t is there already"},
	"class twice":     {minimal + `class "c" {}`, "f:4: ", "there already"},
	"late aim":        {minimal + `class "d" { aim_ms = 5000 }`, "f:4: ", "deadline_ms is under aim_ms"},
	"trouble":         {minimal + `trouble "fire" {}`, "f:4: ", "unknown trouble"},
	"no operators":    {minimal + `trouble "upgrade" {}`, "f:4: ", "needs fleet"},
	"no folder":       {minimal + `trouble "kill" { folder = "cut" }`, "f:4: ", "needs fleet"},
	"trouble's tier":  {minimal + "trouble \"crash\" {\n tier = \"u\" }", "f:5: ", `tier "u" is not one`},
	"trouble's class": {minimal + "trouble \"heavy_tail\" {\n class = \"u\" }", "f:5: ", `class "u" is not one`},
	"part":            {minimal + "trouble \"crash\" {\n part = 2 }", "f:5: ", "part must be from 0 to 1"},
	"policy":          {`scenario "a" { policy = "guess" }`, "f:1: ", "policy must be one of"},
	"recorded":        {minimal + `clients { arrivals = "recorded" }`, "f:4: ", "go together"},
	"far base":        {`scenario "a" { base = "../b.hcl" }`, "f:1: ", "in the same folder"},
	"no base":         {"\nscenario \"a\" { base = \"b.hcl\" }", "f:2: ", "base: none"},
	"number as base":  {`scenario "a" { base = 3 }`, "f:1: ", "base"},
	"syntax":          {minimal + "class \"d\" {", "f:4: ", "is not closed"},
}

func parse(text []byte) (*Scenario, error) {
	return Parse("f", text, func(string) ([]byte, error) { return nil, errors.New("none") })
}

// Whoever writes a scenario is told where it is wrong: each error is one line that begins with file and line.
func TestErrorsNameFileAndLine(t *testing.T) {
	for name, c := range invalidTexts {
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
	f.Add([]byte(minimal))
	for _, c := range invalidTexts {
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
		if len(s.Tiers) == 0 || len(s.Classes) == 0 || s.Length <= 0 || s.Ingress.Nodes < 1 || s.Rules.MaxAttempts < 1 {
			t.Errorf("%q: took %+v", text, s)
		}
	})
}
