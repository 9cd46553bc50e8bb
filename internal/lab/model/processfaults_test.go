package model

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const baseScenario = `scenario "a" { seed = 3 }
tier "front" { kind "k" { count = 7 } }
tier "store" { kind "k" { count = 9 } }
class "c" {}
front { nodes = 10 }
fleet { boxes_per_process = 2 control = "on" }
`

func parseScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("a.hcl", []byte(baseScenario+text), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// With the same file and seed, faults hit the same processes at the same times; with another seed they differ.
// Otherwise a fault schedule that showed a failure could not be run again.
func TestProcessFaultsDependOnSeed(t *testing.T) {
	const text = `trouble "stall" { at_s = 2 length_s = 3 spread_s = 1 part = 0.5 }
trouble "box_kill" { at_s = 4 tier = "front" part = 0.5 }
trouble "cut" { who = "discovery" whom = "nodes" part = 1 }
trouble "kill" { at_s = 1 length_s = 2 part = 0.7 spread_s = 0.4 }`
	s := parseScenario(t, text)
	first, err := ProcessFaults(s)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := ProcessFaults(parseScenario(t, text))
	if !reflect.DeepEqual(first, again) {
		t.Error("two draws with the same seed differ")
	}
	s.Seed = 4
	if other, _ := ProcessFaults(s); reflect.DeepEqual(first, other) {
		t.Error("two draws with different seeds are equal")
	}
	counts := map[string]int{}
	for _, fault := range first {
		counts[fault.Kind]++
		if fault.From < fault.At || fault.From > fault.At+fault.Spread || fault.To-fault.From != fault.Duration {
			t.Errorf("%s from %v to %v", fault.Kind, fault.From, fault.To)
		}
	}
	if !reflect.DeepEqual(counts, map[string]int{"stall": 5, "box_kill": 2, "cut": 1}) {
		t.Errorf("faults by kind: %v, want 5 stall, 2 box_kill, 1 cut", counts)
	}
	changes, err := WorldChanges(WithoutProcessFaults(s))
	if err != nil {
		t.Fatal(err)
	}
	kills := map[int]time.Duration{}
	for _, c := range changes {
		switch c.Kind {
		case NodeKill:
			kills[c.Index] = c.At
		case NodeStart:
			if c.At-kills[c.Index] != 2*time.Second {
				t.Errorf("node %d is down for %v, want 2s", c.Index, c.At-kills[c.Index])
			}
		}
	}
	if len(kills) != 7 {
		t.Errorf("%d of 10 nodes are killed, want 7", len(kills))
	}
	for i, at := range kills {
		if at < time.Second || at > 1400*time.Millisecond {
			t.Errorf("node %d is killed at %v, want between 1s and 1.4s", i, at)
		}
	}
}

// A kill with a period is a crash loop: the node is killed again after each start until the fault ends; it survives the
// last start. Overlapping discovery outages are one outage, from the first beginning to the last end.
func TestOverlappingFaults(t *testing.T) {
	for text, want := range map[string]string{
		`trouble "kill" { at_s = 2 length_s = 6 part = 0.1 period_s = 2 }`: "node killed 2s, node starts 2.5s, node killed 4s, node starts 4.5s, node killed 6s, node starts 6.5s",
		`trouble "discovery_down" { at_s = 1 length_s = 4 }
trouble "discovery_down" { at_s = 2 length_s = 1 }
trouble "discovery_down" { at_s = 4 length_s = 3 }
trouble "discovery_down" { at_s = 8 length_s = 1 }`: "discovery down 1s, discovery up 7s, discovery down 8s, discovery up 9s",
	} {
		changes, err := WorldChanges(parseScenario(t, text))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, c := range changes {
			got = append(got, c.Kind.String()+" "+c.At.String())
		}
		if strings.Join(got, ", ") != want {
			t.Errorf("%s: changes %v, want %v", text, got, want)
		}
	}
}

// An upgrade hits all nodes: those of the ingress and those of servers.
func TestUpgradeHitsAllNodes(t *testing.T) {
	if list, err := ProcessFaults(parseScenario(t, `trouble "upgrade" { part = 1 }`)); err != nil || len(list) != 10+7 {
		t.Errorf("%d nodes are replaced, want 17; error %v", len(list), err)
	}
}

// A fault that needs processes is an error in virtual time, and so is a cut of a link that does not exist.
func TestImpossibleProcessFaultsAreErrors(t *testing.T) {
	for _, kind := range scenario.ProcessFaultKinds {
		if _, err := WorldChanges(parseScenario(t, `trouble "`+kind+`" {}`)); err == nil || !strings.Contains(err.Error(), "lab fleet") {
			t.Errorf("%s in virtual time: %v", kind, err)
		}
	}
	if _, err := ProcessFaults(parseScenario(t, `trouble "cut" { who = "boxes" whom = "boxes" }`)); err == nil {
		t.Error("no error for a cut between servers, which have no links to each other")
	}
}
