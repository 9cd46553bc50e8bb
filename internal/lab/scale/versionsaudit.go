package scale

import (
	"fmt"
	"slices"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

// PublishOutcome is the final result of a publish, as far as its sender knows it.
type PublishOutcome int

// Outcomes of a publish.
const (
	PublishUnknown  PublishOutcome = iota // no conclusive answer: the version may come into force
	PublishRejected                       // every answer said that nothing was accepted: it must never come into force
	PublishAccepted                       // a quorum has it on disk: it must never be lost
)

// String returns the outcome in the words of the tables in docs/CAPACITY.md.
func (o PublishOutcome) String() string {
	return [...]string{"unknown", "refused", "accepted"}[o]
}

// Publication is one publish as its sender observed it.
type Publication struct {
	ID       string   // written into the settings of every service in the document
	Services []string // services in the document
	Outcome  PublishOutcome
	Version  configapi.Version // set if Outcome is PublishAccepted
	Answered time.Time         // when the last answer arrived
	Attempts int
}

// changes reports whether the publication changes a service's settings.
func (p Publication) changes(service string) bool { return slices.Contains(p.Services, service) }

// Observation is the state of a node after it has applied or rejected a version: the settings that are in force, not those
// that the node reports.
type Observation struct {
	Node        string            `json:"node"`
	Service     string            `json:"service"`
	Incarnation int               `json:"life"` // of the node's process; increases with each start
	Version     configapi.Version `json:"version"`
	Outcome     configapi.Outcome `json:"outcome"`
	InForce     configapi.Version `json:"in_force"` // newest version applied, 0: none
	ID          string            `json:"id"`       // publication whose settings are in force, "": none
	AtNS        int64             `json:"at_ns"`    // Unix nanoseconds
}

// At returns the time of the observation.
func (o Observation) At() time.Time { return time.Unix(0, o.AtNS) }

// Rule is a guarantee of configuration versions that the audit checks. Its text is printed with each violation.
type Rule string

// Rules, each with a failure that would violate it.
const (
	// RuleNoRollback is violated by a node that applies an old version from a lagging controller.
	RuleNoRollback Rule = "no node goes back to an older version"
	// RuleDurable is violated by a controller that answers before a quorum has the version on disk.
	RuleDurable Rule = "an accepted version is kept"
	// RuleRejectedNeverApplied is violated by a publish that is proposed after its sender was told that it was rejected.
	RuleRejectedNeverApplied Rule = "a refused publish never comes into force"
	// RuleSameContent is violated by two leaders that give the same number to different versions.
	RuleSameContent Rule = "a version is the same at every node"
	// RuleConvergence is violated by a watch that misses an update which is never sent again.
	RuleConvergence Rule = "an accepted version is in force at every node that can be reached"
	// RuleTruthfulAcknowledgement is violated by a node that acknowledges a version before it has applied it.
	RuleTruthfulAcknowledgement Rule = "an acknowledgement says what the node does"
)

// Violation is one case in which a rule did not hold.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v Violation) Error() string { return string(v.Rule) + ": " + v.Detail }

// Audit collects the publications and observations of one run and finds violations of the rules. It has no clock and no I/O,
// and is not safe for concurrent use.
type Audit struct {
	// PersistedAfter is the time after which a version in force is on the node's disk. A later incarnation must not start
	// with an older version. 0 means that nodes have no disk.
	PersistedAfter time.Duration

	publications []Publication
	byID         map[string]Publication
	byVersion    map[configapi.Version]Publication
	nodes        map[string]*nodeHistory
	violations   []Violation
}

// nodeHistory is what was observed of one node, in the order of its reports.
type nodeHistory struct {
	service      string
	observations []Observation
}

// NewAudit returns an empty audit.
func NewAudit() *Audit {
	return &Audit{byID: map[string]Publication{}, byVersion: map[configapi.Version]Publication{}, nodes: map[string]*nodeHistory{}}
}

// addViolation adds a violation.
func (a *Audit) addViolation(rule Rule, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// Expect adds a node, so that Violations reports it if it never reports a version.
func (a *Audit) Expect(node, service string) {
	if a.nodes[node] == nil {
		a.nodes[node] = &nodeHistory{service: service}
	}
}

// Published records the result of a publish. It must be called once for each ID.
func (a *Audit) Published(p Publication) {
	a.publications = append(a.publications, p)
	a.byID[p.ID] = p
	if p.Outcome != PublishAccepted {
		return
	}
	if other, taken := a.byVersion[p.Version]; taken {
		a.addViolation(RuleDurable, "version %d was accepted for both %s and %s", p.Version, other.ID, p.ID)
	}
	a.byVersion[p.Version] = p
}

// Observed records an observation. Observations of one node must be recorded in the order in which they were made.
func (a *Audit) Observed(o Observation) {
	a.Expect(o.Node, o.Service)
	history := a.nodes[o.Node]
	if n := len(history.observations); n > 0 {
		a.checkNoRollback(history.observations[n-1], o)
	}
	history.observations = append(history.observations, o)
}

// checkNoRollback checks RuleNoRollback for an observation against the node's previous one.
func (a *Audit) checkNoRollback(last, o Observation) {
	floor := last.InForce
	if o.Incarnation > last.Incarnation {
		floor = a.persistedVersion(o)
	}
	if o.InForce < floor {
		a.addViolation(RuleNoRollback, "%s had version %d in force and then %d", o.Node, floor, o.InForce)
	}
}

// persistedVersion returns the newest version that the node of an observation certainly had on disk when the observation's
// incarnation began.
func (a *Audit) persistedVersion(o Observation) (newest configapi.Version) {
	if a.PersistedAfter == 0 {
		return 0
	}
	for _, earlier := range a.nodes[o.Node].observations {
		if earlier.Incarnation < o.Incarnation && o.At().Sub(earlier.At()) >= a.PersistedAfter {
			newest = max(newest, earlier.InForce)
		}
	}
	return newest
}

// Violations checks the rules that can be checked only at the end of a run, and returns all violations. The parameter
// newest is the last version in the controllers' log.
func (a *Audit) Violations(newest configapi.Version) []Violation {
	found := slices.Clone(a.violations)
	end := &Audit{publications: a.publications, byID: a.byID, byVersion: a.byVersion, nodes: a.nodes}
	end.checkDurable(newest)
	for _, node := range a.sortedNodes() {
		for _, o := range a.nodes[node].observations {
			end.checkContent(o)
		}
		end.checkConvergence(node, newest)
	}
	return append(found, end.violations...)
}

// sortedNodes returns the names of all nodes in order.
func (a *Audit) sortedNodes() []string {
	names := make([]string, 0, len(a.nodes))
	for name := range a.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// checkDurable checks RuleDurable against the end of the controllers' log.
func (a *Audit) checkDurable(newest configapi.Version) {
	for _, p := range a.publications {
		if p.Outcome == PublishAccepted && p.Version > newest {
			a.addViolation(RuleDurable, "%s was accepted as version %d, but the controllers' log ends at %d", p.ID, p.Version, newest)
		}
	}
}

// checkContent checks that the settings in force at a node are those that were published.
func (a *Audit) checkContent(o Observation) {
	want, exact := a.expected(o.Service, o.InForce)
	if o.ID == want.ID {
		return
	}
	p, known := a.byID[o.ID]
	switch {
	case known && p.Outcome == PublishRejected:
		a.addViolation(RuleRejectedNeverApplied, "%s has %s in force at version %d", o.Node, o.ID, o.InForce)
	case known && p.Outcome == PublishUnknown && !exact:
		// It was accepted between two accepted versions, but its sender received no answer.
	default:
		a.addViolation(RuleSameContent, "%s has %q in force at version %d, not %q", o.Node, o.ID, o.InForce, want.ID)
	}
}

// expected returns the newest accepted publication for a service up to a version. The result exact reports whether it has
// exactly that version, so that no publish with an unknown outcome can lie between them.
func (a *Audit) expected(service string, at configapi.Version) (newest Publication, exact bool) {
	for version := at; version > 0; version-- {
		p, accepted := a.byVersion[version]
		if accepted && p.changes(service) {
			return p, version == at
		}
	}
	return Publication{}, at == 0
}

// checkConvergence checks RuleConvergence. A node that rejects a version has decided on it, although it is not in force.
func (a *Audit) checkConvergence(node string, newest configapi.Version) {
	observations := a.nodes[node].observations
	if len(observations) == 0 {
		if newest > 0 {
			a.addViolation(RuleConvergence, "%s never reported a version; the log ends at %d", node, newest)
		}
		return
	}
	last := observations[len(observations)-1]
	if last.Version < newest {
		a.addViolation(RuleConvergence, "%s last decided on version %d; the log ends at %d", node, last.Version, newest)
	}
}

// CheckAcknowledgements compares the controllers' status of each node with the node's last observation. The parameter
// statuses holds the answers of all controllers; they are merged as for an operator.
func (a *Audit) CheckAcknowledgements(statuses []configapi.ControllerStatus) []Violation {
	newest := newestNodeStatus(statuses)
	check := &Audit{}
	for _, node := range a.sortedNodes() {
		observations := a.nodes[node].observations
		if len(observations) == 0 {
			continue
		}
		last := observations[len(observations)-1]
		status, known := newest[node]
		switch {
		case !known:
			check.addViolation(RuleTruthfulAcknowledgement, "no controller has a status of %s", node)
		case status.Applied != last.InForce || status.LastDecided != last.Version || status.Outcome != last.Outcome:
			check.addViolation(RuleTruthfulAcknowledgement, "%s decided on %d (%s) with %d in force; its controller has %d (%s) with %d",
				node, last.Version, last.Outcome, last.InForce, status.LastDecided, status.Outcome, status.Applied)
		}
	}
	return check.violations
}

// newestNodeStatus returns the status of each node as an operator sees it.
func newestNodeStatus(statuses []configapi.ControllerStatus) map[string]configapi.NodeStatus {
	newest := map[string]configapi.NodeStatus{}
	for _, node := range configversion.MergeStatuses(statuses).Nodes {
		newest[node.Node] = node.NodeStatus
	}
	return newest
}

// InForce returns, for each node of a list, the time from since until the given version or a later one was in force, or 0
// if it was in force before. The result missing lists the nodes where it never was.
func (a *Audit) InForce(version configapi.Version, since time.Time, nodes []string) (delays []time.Duration, missing []string) {
	for _, node := range nodes {
		at, ok := a.firstInForce(node, version)
		if !ok {
			missing = append(missing, node)
			continue
		}
		delays = append(delays, max(0, at.Sub(since)))
	}
	return delays, missing
}

// firstInForce returns the time at which a version or a later one was first observed in force at a node.
func (a *Audit) firstInForce(node string, version configapi.Version) (time.Time, bool) {
	history := a.nodes[node]
	if history == nil {
		return time.Time{}, false
	}
	for _, o := range history.observations {
		if o.InForce >= version {
			return o.At(), true
		}
	}
	return time.Time{}, false
}

// DecidedByAll reports whether each node of a list has applied or rejected a version or a later one.
func (a *Audit) DecidedByAll(version configapi.Version, nodes []string) bool {
	for _, node := range nodes {
		history := a.nodes[node]
		if history == nil || len(history.observations) == 0 {
			return false
		}
		if history.observations[len(history.observations)-1].Version < version {
			return false
		}
	}
	return true
}

// CameIntoForce reports whether a publication is or was in force at some node.
func (a *Audit) CameIntoForce(id string) bool {
	for _, history := range a.nodes {
		for _, o := range history.observations {
			if o.ID == id {
				return true
			}
		}
	}
	return false
}
