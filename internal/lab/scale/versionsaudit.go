package scale

import (
	"fmt"
	"slices"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

// PublishOutcome is what the sender of a publish knows about it in the end.
type PublishOutcome int

// Outcomes of a publish.
const (
	PublishUnknown  PublishOutcome = iota // no conclusive answer: the version may come into force
	PublishRejected                       // every answer said that nothing was accepted: it must never come into force
	PublishAccepted                       // a quorum has it on disk: it must never be lost
)

// String is the outcome as the tables of docs/CAPACITY.md write it.
func (o PublishOutcome) String() string {
	return [...]string{"unknown", "refused", "accepted"}[o]
}

// Publication is one publish as its sender saw it.
type Publication struct {
	ID       string   // written into the settings of every service that the document has
	Services []string // that the document has
	Outcome  PublishOutcome
	Version  configapi.Version // where accepted
	Answered time.Time         // when the last answer came
	Attempts int
}

// changes reports whether the publication changes a service's settings.
func (p Publication) changes(service string) bool { return slices.Contains(p.Services, service) }

// Observation is what a node does after it has answered for a version: what is in force there, not what the node reports.
type Observation struct {
	Node        string            `json:"node"`
	Service     string            `json:"service"`
	Incarnation int               `json:"life"` // of the node's process; rises with each start
	Version     configapi.Version `json:"version"`
	Outcome     configapi.Outcome `json:"outcome"`
	InForce     configapi.Version `json:"in_force"` // newest version applied, 0: none
	ID          string            `json:"id"`       // publication whose settings are in force, "": none
	AtNS        int64             `json:"at_ns"`    // Unix nanoseconds
}

// At is when the observation was made.
func (o Observation) At() time.Time { return time.Unix(0, o.AtNS) }

// Rule is a guarantee of configuration versions that the audit checks. Its text is what a violation prints.
type Rule string

// Rules, each with the failure that would break it.
const (
	// RuleNoRollback would be broken by a node that takes an old version from a lagging controller.
	RuleNoRollback Rule = "no node goes back to an older version"
	// RuleDurable would be broken by a controller that answers before a quorum has the version on disk.
	RuleDurable Rule = "an accepted version is kept"
	// RuleRejectedNeverApplied would be broken by a publish that is proposed after its sender was told otherwise.
	RuleRejectedNeverApplied Rule = "a refused publish never comes into force"
	// RuleSameContent would be broken by two leaders that give one number to two versions.
	RuleSameContent Rule = "a version is the same at every node"
	// RuleConvergence would be broken by a watch that misses an update which is never repeated.
	RuleConvergence Rule = "an accepted version is in force at every node that can be reached"
	// RuleTruthfulAcknowledgement would be broken by a node that acknowledges a version before it has applied it.
	RuleTruthfulAcknowledgement Rule = "an acknowledgement says what the node does"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v Violation) Error() string { return string(v.Rule) + ": " + v.Detail }

// Audit collects publications and observations of one run and finds violations of the rules. It has no clock and no I/O,
// and is not safe for concurrent use.
type Audit struct {
	// PersistedAfter is how long a version is in force until it is on the node's disk, so that a later incarnation may not
	// start with an older one; 0: nodes have no disk.
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

// violate adds a violation.
func (a *Audit) violate(rule Rule, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// Expect adds a node, so that it is missed if it never reports.
func (a *Audit) Expect(node, service string) {
	if a.nodes[node] == nil {
		a.nodes[node] = &nodeHistory{service: service}
	}
}

// Published records the end of a publish. Each ID is recorded once.
func (a *Audit) Published(p Publication) {
	a.publications = append(a.publications, p)
	a.byID[p.ID] = p
	if p.Outcome != PublishAccepted {
		return
	}
	if other, taken := a.byVersion[p.Version]; taken {
		a.violate(RuleDurable, "version %d was the answer to both %s and %s", p.Version, other.ID, p.ID)
	}
	a.byVersion[p.Version] = p
}

// Observed records what a node does. Observations of one node must come in the order in which they were made.
func (a *Audit) Observed(o Observation) {
	a.Expect(o.Node, o.Service)
	history := a.nodes[o.Node]
	if n := len(history.observations); n > 0 {
		a.checkOrder(history.observations[n-1], o)
	}
	history.observations = append(history.observations, o)
}

// checkOrder checks RuleNoRollback for an observation after a node's last one.
func (a *Audit) checkOrder(last, o Observation) {
	floor := last.InForce
	if o.Incarnation > last.Incarnation {
		floor = a.persistedVersion(o)
	}
	if o.InForce < floor {
		a.violate(RuleNoRollback, "%s had version %d in force and then %d", o.Node, floor, o.InForce)
	}
}

// persistedVersion is the newest version that the node of an observation certainly had on disk when the observation's
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

// Violations checks what can only be known at the end, and returns all violations. Newest is the last version of the
// controllers' log.
func (a *Audit) Violations(newest configapi.Version) []Violation {
	found := slices.Clone(a.violations)
	end := &Audit{publications: a.publications, byID: a.byID, byVersion: a.byVersion, nodes: a.nodes}
	end.checkLog(newest)
	for _, node := range a.sortedNodes() {
		for _, o := range a.nodes[node].observations {
			end.checkContent(o)
		}
		end.checkLast(node, newest)
	}
	return append(found, end.violations...)
}

// sortedNodes are the names of all nodes.
func (a *Audit) sortedNodes() []string {
	names := make([]string, 0, len(a.nodes))
	for name := range a.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// checkLog checks RuleDurable against the end of the controllers' log.
func (a *Audit) checkLog(newest configapi.Version) {
	for _, p := range a.publications {
		if p.Outcome == PublishAccepted && p.Version > newest {
			a.violate(RuleDurable, "%s was accepted as version %d, but the controllers' log ends at %d", p.ID, p.Version, newest)
		}
	}
}

// checkContent checks what is in force at a node against what was published.
func (a *Audit) checkContent(o Observation) {
	want, exact := a.expected(o.Service, o.InForce)
	if o.ID == want.ID {
		return
	}
	p, known := a.byID[o.ID]
	switch {
	case known && p.Outcome == PublishRejected:
		a.violate(RuleRejectedNeverApplied, "%s has %s in force at version %d", o.Node, o.ID, o.InForce)
	case known && p.Outcome == PublishUnknown && !exact:
		// It was accepted though its sender has no answer, between two accepted versions.
	default:
		a.violate(RuleSameContent, "%s has %q in force at version %d, not %q", o.Node, o.ID, o.InForce, want.ID)
	}
}

// expected is the newest accepted publication for a service up to a version. Exact means that it is the one of that
// version, so that no publish without an answer can lie between.
func (a *Audit) expected(service string, at configapi.Version) (newest Publication, exact bool) {
	for version := at; version > 0; version-- {
		p, accepted := a.byVersion[version]
		if accepted && p.changes(service) {
			return p, version == at
		}
	}
	return Publication{}, at == 0
}

// checkLast checks RuleConvergence. Rejected versions are answered for, not in force.
func (a *Audit) checkLast(node string, newest configapi.Version) {
	observations := a.nodes[node].observations
	if len(observations) == 0 {
		if newest > 0 {
			a.violate(RuleConvergence, "%s never reported a version; the log ends at %d", node, newest)
		}
		return
	}
	last := observations[len(observations)-1]
	if last.Version < newest {
		a.violate(RuleConvergence, "%s answered for version %d last; the log ends at %d", node, last.Version, newest)
	}
}

// CheckAcknowledgements checks what the controllers know of nodes against what the nodes do. Statuses are those of all
// controllers; what is compared is what an operator sees.
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
			check.violate(RuleTruthfulAcknowledgement, "no controller knows of %s", node)
		case status.Applied != last.InForce || status.LastDecided != last.Version || status.Outcome != last.Outcome:
			check.violate(RuleTruthfulAcknowledgement, "%s answered for %d (%s) with %d in force; its controller has %d (%s) with %d",
				node, last.Version, last.Outcome, last.InForce, status.LastDecided, status.Outcome, status.Applied)
		}
	}
	return check.violations
}

// newestNodeStatus is what an operator sees of each node.
func newestNodeStatus(statuses []configapi.ControllerStatus) map[string]configapi.NodeStatus {
	newest := map[string]configapi.NodeStatus{}
	for _, node := range configversion.MergeStatuses(statuses).Nodes {
		newest[node.Node] = node.NodeStatus
	}
	return newest
}

// InForce returns, for each node of a list, how long after a moment it had a version or a later one in force; a node that
// had it before that moment counts as 0. Missing are those that never had it.
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

// firstInForce is when a node first had a version or a later one in force.
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

// AnsweredByAll reports whether each node of a list has answered for a version or a later one.
func (a *Audit) AnsweredByAll(version configapi.Version, nodes []string) bool {
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
