package scale

import (
	"slices"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// auditStart is the time at which the audits of these tests begin.
var auditStart = time.Unix(1_000, 0)

func accepted(id string, version configapi.Version) Publication {
	return Publication{ID: id, Services: []string{"checkout"}, Outcome: PublishAccepted, Version: version, Answered: auditStart}
}

func notAccepted(id string, outcome PublishOutcome) Publication {
	return Publication{ID: id, Services: []string{"checkout"}, Outcome: outcome}
}

// applied returns an observation of a node with a version in force, made some time after auditStart.
func applied(node string, version configapi.Version, id string, after time.Duration) Observation {
	return Observation{Node: node, Service: "checkout", Incarnation: 1, Version: version, Outcome: configapi.Applied, InForce: version,
		ID: id, AtNS: auditStart.Add(after).UnixNano()}
}

func rules(violations []Violation) (broken []Rule) {
	for _, v := range violations {
		broken = append(broken, v.Rule)
	}
	return broken
}

func TestAuditNamesEachBrokenRule(t *testing.T) {
	for name, tc := range map[string]struct {
		publications []Publication
		observations []Observation
		newest       configapi.Version
		want         []Rule
	}{
		"no violation": {
			publications: []Publication{accepted("p1", 1), accepted("p2", 2)},
			observations: []Observation{applied("a", 1, "p1", 0), applied("a", 2, "p2", 1), applied("b", 2, "p2", 1)},
			newest:       2,
		},
		"a node rolls back": {
			publications: []Publication{accepted("p1", 1), accepted("p2", 2)},
			observations: []Observation{applied("a", 2, "p2", 0), applied("a", 1, "p1", 1), applied("a", 2, "p2", 2)},
			newest:       2,
			want:         []Rule{RuleNoRollback},
		},
		"an accepted version beyond the log": {
			publications: []Publication{accepted("p1", 1), accepted("p2", 2)},
			observations: []Observation{applied("a", 1, "p1", 0)},
			newest:       1,
			want:         []Rule{RuleDurable},
		},
		"two accepted publishes with one version": {
			publications: []Publication{accepted("p1", 1), accepted("p2", 1)},
			observations: []Observation{applied("a", 1, "p2", 0)},
			newest:       1,
			want:         []Rule{RuleDurable},
		},
		"a rejected publish in force": {
			publications: []Publication{accepted("p1", 1), notAccepted("p2", PublishRejected)},
			observations: []Observation{applied("a", 2, "p2", 0)},
			newest:       2,
			want:         []Rule{RuleRejectedNeverApplied},
		},
		"an unanswered publish in force": {
			publications: []Publication{accepted("p1", 1), notAccepted("p2", PublishUnknown)},
			observations: []Observation{applied("a", 2, "p2", 0)},
			newest:       2,
		},
		"an unanswered publish in the place of an accepted one": {
			publications: []Publication{accepted("p1", 1), notAccepted("p2", PublishUnknown)},
			observations: []Observation{applied("a", 1, "p2", 0)},
			newest:       1,
			want:         []Rule{RuleSameContent},
		},
		"settings that nobody published": {
			publications: []Publication{accepted("p1", 1)},
			observations: []Observation{applied("a", 1, "p9", 0)},
			newest:       1,
			want:         []Rule{RuleSameContent},
		},
		"the settings of the version before": {
			publications: []Publication{accepted("p1", 1), accepted("p2", 2)},
			observations: []Observation{applied("a", 2, "p1", 0)},
			newest:       2,
			want:         []Rule{RuleSameContent},
		},
		"a node that lags": {
			publications: []Publication{accepted("p1", 1), accepted("p2", 2)},
			observations: []Observation{applied("a", 1, "p1", 0), applied("b", 2, "p2", 0)},
			newest:       2,
			want:         []Rule{RuleConvergence},
		},
	} {
		t.Run(name, func(t *testing.T) {
			audit := NewAudit()
			for _, p := range tc.publications {
				audit.Published(p)
			}
			for _, o := range tc.observations {
				audit.Observed(o)
			}
			if got := rules(audit.Violations(tc.newest)); !slices.Equal(got, tc.want) {
				t.Errorf("broken rules %q, want %q", got, tc.want)
			}
		})
	}
}

func TestAuditNamesANodeThatNeverReported(t *testing.T) {
	audit := NewAudit()
	audit.Expect("unheard", "checkout")
	audit.Published(accepted("p1", 1))
	if got := rules(audit.Violations(1)); !slices.Equal(got, []Rule{RuleConvergence}) {
		t.Errorf("broken rules %q", got)
	}
}

func TestAuditOfAServiceThatADocumentDoesNotName(t *testing.T) {
	audit := NewAudit()
	audit.Published(accepted("p1", 1))
	other := accepted("p2", 2)
	other.Services = []string{"search"}
	audit.Published(other)
	audit.Observed(applied("a", 2, "p1", 0)) // version 2 changes nothing for checkout
	if got := audit.Violations(2); len(got) != 0 {
		t.Errorf("violations %v", got)
	}
}

func TestAuditOfALaterIncarnation(t *testing.T) {
	for name, tc := range map[string]struct {
		persistedAfter time.Duration
		back           time.Duration // time at which the later incarnation begins
		want           []Rule
	}{
		"without a disk":                  {0, time.Minute, nil},
		"with a disk":                     {time.Second, 2 * time.Second, []Rule{RuleNoRollback}},
		"killed before it was on disk":    {time.Second, time.Second / 2, nil},
		"killed as soon as it is on disk": {time.Second, time.Second, []Rule{RuleNoRollback}},
	} {
		t.Run(name, func(t *testing.T) {
			audit := NewAudit()
			audit.PersistedAfter = tc.persistedAfter
			audit.Published(accepted("p1", 1))
			audit.Published(accepted("p2", 2))
			audit.Observed(applied("a", 2, "p2", 0))
			again := applied("a", 1, "p1", tc.back)
			again.Incarnation = 2
			audit.Observed(again)
			last := applied("a", 2, "p2", tc.back+1)
			last.Incarnation = 2
			audit.Observed(last)
			if got := rules(audit.Violations(2)); !slices.Equal(got, tc.want) {
				t.Errorf("broken rules %q, want %q", got, tc.want)
			}
		})
	}
}

func TestAuditChecksAcknowledgementsAgainstObservations(t *testing.T) {
	audit := NewAudit()
	audit.Published(accepted("p1", 1))
	audit.Published(accepted("p2", 2))
	audit.Observed(applied("a", 1, "p1", 0))
	rejected := applied("a", 2, "p1", 1)
	rejected.Outcome, rejected.InForce = configapi.Rejected, 1
	audit.Observed(rejected)
	status := func(lastDecided, applied configapi.Version, outcome configapi.Outcome) []configapi.ControllerStatus {
		older := configapi.NodeStatus{Node: "a", StartedMS: 1, WatchNumber: 1, LastDecided: 1, Applied: 1, Outcome: configapi.Applied}
		newer := configapi.NodeStatus{Node: "a", StartedMS: 1, WatchNumber: 2, LastDecided: lastDecided, Applied: applied, Outcome: outcome}
		return []configapi.ControllerStatus{{Nodes: []configapi.NodeStatus{newer}}, {Nodes: []configapi.NodeStatus{older}}}
	}
	if got := audit.CheckAcknowledgements(status(2, 1, configapi.Rejected)); len(got) != 0 {
		t.Errorf("violations %v", got)
	}
	for name, statuses := range map[string][]configapi.ControllerStatus{
		"applied instead of rejected": status(2, 2, configapi.Applied),
		"an older version":            status(1, 1, configapi.Applied),
		"nothing":                     nil,
	} {
		if got := rules(audit.CheckAcknowledgements(statuses)); !slices.Equal(got, []Rule{RuleTruthfulAcknowledgement}) {
			t.Errorf("%s: broken rules %q", name, got)
		}
	}
}

func TestAuditMeasuresWhenAVersionIsInForce(t *testing.T) {
	audit := NewAudit()
	audit.Published(accepted("p1", 1))
	audit.Published(accepted("p2", 2))
	audit.Observed(applied("early", 1, "p1", -time.Second))
	audit.Observed(applied("late", 2, "p2", 2*time.Second)) // has skipped version 1
	delays, missing := audit.InForce(1, auditStart, []string{"early", "late", "gone"})
	if want := []time.Duration{0, 2 * time.Second}; !slices.Equal(delays, want) {
		t.Errorf("delays %v, want %v", delays, want)
	}
	if want := []string{"gone"}; !slices.Equal(missing, want) {
		t.Errorf("missing %v, want %v", missing, want)
	}
	if !audit.DecidedByAll(1, []string{"early", "late"}) || audit.DecidedByAll(2, []string{"early", "late"}) {
		t.Error("DecidedByAll does not distinguish version 1 from version 2")
	}
	if !audit.CameIntoForce("p1") || audit.CameIntoForce("p9") {
		t.Error("CameIntoForce does not distinguish p1 from p9")
	}
}
