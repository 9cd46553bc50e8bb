package soak

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/invariants"
)

// clockTolerance is added to the bound of each rule: events may be observed late, because nodes, stand-ins and clients share
// the cores of one machine.
const clockTolerance = 100 * time.Millisecond

// minServedRatio is the share of requests that must be served after all faults. Nodes that reject every request would keep
// all other rules.
const minServedRatio = 0.8

// noOutageEnd is the end of an outage that does not end. It is half the maximum, so that adding a deadline does not overflow.
const noOutageEnd = time.Duration(math.MaxInt64 / 2)

// Violations returns the violations, one line each. A line begins with the name of the rule, or of the node that logged an
// error.
func (r *Result) Violations() (broken []string) {
	o := r.Observations
	broken = append(broken, o.NodeErrors...)
	broken = append(broken, checkDrains(r.Plan, o)...)
	broken = append(broken, checkDuplicates(o)...)
	broken = append(broken, checkAnswers(o)...)
	broken = append(broken, checkRestarts(o)...)
	return append(broken, checkService(r.Plan, o)...)
}

// checkDrains finds attempts that reached a draining server after their node was notified of the drain, or counts as
// notified.
func checkDrains(p Plan, o *Observations) (broken []string) {
	for _, drain := range o.Drains {
		notified := map[int]time.Duration{} // by index of the incarnation
		for _, a := range o.Attempts {
			if a.Server != drain.Server || a.At <= drain.At {
				continue
			}
			incarnation := incarnationAt(o, a.Node, a.At)
			if _, known := notified[incarnation]; !known {
				notified[incarnation] = notifiedAt(p, o, drain, a.Node, incarnation)
			}
			if by := a.At - notified[incarnation] - invariants.DrainGrace - clockTolerance; by > 0 {
				broken = append(broken, fmt.Sprintf("drain: request %s reached server %d at %v, %v too late: node n%d counts as notified at %v (draining since %v)",
					a.ID, a.Server, a.At, by, a.Node, notified[incarnation], drain.At))
			}
		}
	}
	return broken
}

// incarnationAt returns the index of the last incarnation of a node that had started by a time, or -1. A request of the
// previous incarnation may still be in flight when the next one has started.
func incarnationAt(o *Observations, node int, at time.Duration) (found int) {
	found = -1
	for i, incarnation := range o.Incarnations {
		if incarnation.Node == node && incarnation.Started <= at {
			found = i
		}
	}
	return found
}

// lifetime returns the interval in which an incarnation was the latest one of its node.
func lifetime(o *Observations, node, incarnation int) (begin, end time.Duration) {
	end = time.Duration(math.MaxInt64)
	if incarnation < 0 {
		return 0, end
	}
	begin = o.Incarnations[incarnation].Started
	for _, next := range o.Incarnations[incarnation+1:] {
		if next.Node == node {
			return begin, next.Started
		}
	}
	return begin, end
}

// notifiedAt returns when an incarnation was notified of a drain, or counts as notified. That is the earliest of:
//
//   - the delivery of a list with the drain;
//   - NotificationDeadline after the drain or, during an outage, after discovery is reachable again;
//   - NotificationDeadlineAfterChange after a change of discovery's address;
//   - if lists are pushed, the time from which on the agent has the change and no watch can deliver it (pushedAt).
//
// A restart does not extend these deadlines: the list of a new process may be old.
func notifiedAt(p Plan, o *Observations, drain DrainStart, node, incarnation int) time.Duration {
	notified := time.Duration(math.MaxInt64)
	begin, end := lifetime(o, node, incarnation)
	for _, d := range o.Deliveries {
		if d.Node == node && d.Version >= drain.Version && d.At >= begin && d.At < end {
			notified = min(notified, d.At)
		}
	}
	reached := reachableFrom(o, drain.At)
	notified = min(notified, reached+endpointlease.NotificationDeadline)
	if p.Pushed {
		notified = min(notified, pushedAt(o, drain.At, node))
	}
	for _, c := range o.AddressChanges {
		if c.Node == node && c.At >= drain.At && c.At >= begin && c.At < end && reachableFrom(o, c.At) == c.At {
			notified = min(notified, c.At+endpointlease.NotificationDeadlineAfterChange)
		}
	}
	return notified
}

// pushedAt returns when an agent that pushes lists counts as having notified a node of a change that no watch delivers. That is
// at once if the node has no watch, when its watch ends if it has one, and NotificationDeadline after its watch fell silent.
// After a change of the agent's address the node has NotificationDeadlineAfterChange.
func pushedAt(o *Observations, at time.Duration, node int) time.Duration {
	notified := reachableFrom(o, at)
	for _, watch := range o.Watches {
		if watch.Node != node || watch.From > at || watch.To != 0 && watch.To <= at {
			continue
		}
		ends := noOutageEnd
		if watch.To != 0 {
			ends = reachableFrom(o, watch.To)
		}
		if watch.SilentAt > 0 {
			ends = min(ends, max(watch.SilentAt+endpointlease.NotificationDeadline, at))
		}
		notified = max(notified, ends)
	}
	for _, change := range o.AddressChanges {
		if change.Node == node && change.At <= notified && notified < change.At+endpointlease.NotificationDeadlineAfterChange {
			notified = change.At + endpointlease.NotificationDeadlineAfterChange
		}
	}
	return notified
}

// reachableFrom returns the earliest time from at on at which discovery could be reached.
func reachableFrom(o *Observations, at time.Duration) time.Duration {
	for _, outage := range o.Outages {
		if at < outage.From || !outage.Open && at >= outage.To {
			continue
		}
		if outage.Open {
			return noOutageEnd
		}
		at = outage.To
	}
	return at
}

// checkDuplicates finds non-idempotent requests that were executed twice, and requests with two attempts in flight at once.
func checkDuplicates(o *Observations) (broken []string) {
	nonIdempotent := map[string]bool{}
	for _, r := range o.Requests {
		nonIdempotent[r.ID] = r.NonIdempotent
	}
	earlier := map[string][]*Attempt{}
	for _, a := range o.Attempts {
		for _, b := range earlier[a.ID] {
			switch {
			case nonIdempotent[a.ID] && a.Executed && b.Executed:
				broken = append(broken, fmt.Sprintf("duplicate: request %s was executed at %v and again at %v", a.ID, b.At, a.At))
			case b.Finished == 0 || b.Finished > a.At+clockTolerance:
				broken = append(broken, fmt.Sprintf("duplicate: an attempt of request %s arrived at %v while the attempt of %v was in flight", a.ID, a.At, b.At))
			}
		}
		earlier[a.ID] = append(earlier[a.ID], a)
	}
	return broken
}

// checkAnswers finds requests without a correct answer in time, attempts that were sent after the client had gone, and
// attempts whose budget exceeds the time that the client has left.
func checkAnswers(o *Observations) (broken []string) {
	attempts := map[string][]*Attempt{}
	for _, a := range o.Attempts {
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	for _, r := range o.Requests {
		for _, a := range attempts[r.ID] {
			if r.ClientGone > 0 && a.At > r.ClientGone+invariants.ClientGoneGrace+clockTolerance {
				broken = append(broken, fmt.Sprintf("lost: request %s was sent %v after its client had gone", r.ID, a.At-r.ClientGone))
			}
			if by := a.Budget - (r.Deadline - a.HeadRead) - invariants.BudgetSlack - clockTolerance; by > 0 && !r.unfinished() {
				broken = append(broken, fmt.Sprintf("budget: request %s of n%d gave server %d %v too much: begun %v, last byte written %v, head read by the server %v (soak process stalled for %v in between), handled %v, budget %v",
					r.ID, r.Node, a.Server, by, r.At, r.Written, a.HeadRead, o.stalledIn(r.Written, a.HeadRead), a.At, a.Budget))
			}
		}
		if e := classifyEnd(o, r, len(attempts[r.ID]) > 0); e.fault != "" {
			broken = append(broken, fmt.Sprintf("lost: request %s, sent at %v to n%d: %s (%s)", r.ID, r.At, r.Node, e.fault, r.Err))
		}
	}
	return broken
}

// checkService finds that the nodes serve too few requests after all faults.
func checkService(p Plan, o *Observations) []string {
	requests, served := 0, 0
	for _, r := range o.Requests {
		if r.At < p.Length-serviceCheckTime || r.ClientGone != 0 {
			continue
		}
		requests++
		if r.Status == http.StatusOK {
			served++
		}
	}
	if requests > 0 && float64(served) < minServedRatio*float64(requests) {
		return []string{fmt.Sprintf("service: %d of %d requests served after all faults", served, requests)}
	}
	return nil
}
