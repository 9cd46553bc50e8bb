package soak

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/invariants"
)

// clockTolerance is how much later than it happened an event may be observed: nodes, stand-ins and clients share the
// machine's cores. It is added to the bound of each rule.
const clockTolerance = 100 * time.Millisecond

// bootstrapTime is for how long a new process may use the list that it was given, which may be old.
const bootstrapTime = 3 * time.Second

// minServedRatio is the share of requests that has to be served once all faults are over: nodes that stay in a refusing
// state would pass every other rule.
const minServedRatio = 0.8

// noOutageEnd stands for the time when discovery is back where an outage has no end; half the range, so that a deadline
// can be added to it.
const noOutageEnd = time.Duration(math.MaxInt64 / 2)

// Violations says which rules were broken, a line each that begins with the rule's name.
func (r *Result) Violations() (broken []string) {
	o := r.Observations
	broken = append(broken, o.NodeErrors...)
	broken = append(broken, checkDrains(o)...)
	broken = append(broken, checkDuplicates(o)...)
	broken = append(broken, checkAnswers(o)...)
	broken = append(broken, checkRestarts(o)...)
	return append(broken, checkService(r.Plan, o)...)
}

// checkDrains finds attempts at a draining server after their node was notified of the drain, or counts as notified.
func checkDrains(o *Observations) (broken []string) {
	for _, drain := range o.Drains {
		notified := map[int]time.Duration{} // by index of the incarnation
		for _, a := range o.Attempts {
			if a.Server != drain.Server || a.At <= drain.At {
				continue
			}
			incarnation := incarnationAt(o, a.Node, a.At)
			if _, known := notified[incarnation]; !known {
				notified[incarnation] = notifiedAt(o, drain, a.Node, incarnation)
			}
			if by := a.At - notified[incarnation] - invariants.DrainGrace - clockTolerance; by > 0 {
				broken = append(broken, fmt.Sprintf("drain: request %s came to server %d at %v, %v too late: node n%d counts as notified at %v (drains since %v)",
					a.ID, a.Server, a.At, by, a.Node, notified[incarnation], drain.At))
			}
		}
	}
	return broken
}

// incarnationAt is the index of a node's last incarnation that had started by a time; -1: none. A request of the one
// before may still be under way when the next has started.
func incarnationAt(o *Observations, node int, at time.Duration) (found int) {
	found = -1
	for i, incarnation := range o.Incarnations {
		if incarnation.Node == node && incarnation.Started <= at {
			found = i
		}
	}
	return found
}

// lifetime is from when to when an incarnation was its node's last one.
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

// notifiedAt is when an incarnation was notified of a drain, or counts as notified where lists are polled: the earliest
// of a list that has the drain, and of the deadlines that run from the drain, from the return of discovery and from a
// change of its address. A restart puts none of them off, but for the time that a new process has to hear of the drain.
func notifiedAt(o *Observations, drain DrainStart, node, incarnation int) time.Duration {
	notified := time.Duration(math.MaxInt64)
	begin, end := lifetime(o, node, incarnation)
	for _, d := range o.Deliveries {
		if d.Node == node && d.Version >= drain.Version && d.At >= begin && d.At < end {
			notified = min(notified, d.At)
		}
	}
	reached := reachableFrom(o, drain.At)
	notified = min(notified, max(reached+endpointlease.NotificationDeadline, begin+bootstrapTime))
	for _, c := range o.AddressChanges {
		if c.Node == node && c.At >= drain.At && c.At >= begin && c.At < end && reachableFrom(o, c.At) == c.At {
			notified = min(notified, c.At+endpointlease.NotificationDeadlineAfterChange)
		}
	}
	return notified
}

// reachableFrom is the first time, not before one that is given, at which discovery could be reached.
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

// checkDuplicates finds requests that were executed twice, or had two attempts out at once.
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
				broken = append(broken, fmt.Sprintf("duplicate: request %s ran at %v and at %v", a.ID, b.At, a.At))
			case b.Finished == 0 || b.Finished > a.At+clockTolerance:
				broken = append(broken, fmt.Sprintf("duplicate: request %s came at %v while it was out since %v", a.ID, a.At, b.At))
			}
		}
		earlier[a.ID] = append(earlier[a.ID], a)
	}
	return broken
}

// checkAnswers finds requests without their one answer in time, attempts for clients that are gone, and attempts that
// were promised more time than their client has left.
func checkAnswers(o *Observations) (broken []string) {
	attempts := map[string][]*Attempt{}
	for _, a := range o.Attempts {
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	for _, r := range o.Requests {
		for _, a := range attempts[r.ID] {
			if r.ClientGone > 0 && a.At > r.ClientGone+invariants.ClientGoneGrace+clockTolerance {
				broken = append(broken, fmt.Sprintf("lost: request %s was sent %v after its client was gone", r.ID, a.At-r.ClientGone))
			}
			if by := a.Budget - (r.Deadline - a.HeadRead) - invariants.BudgetSlack - clockTolerance; by > 0 {
				broken = append(broken, fmt.Sprintf("budget: request %s of n%d gave server %d %v too much: begun %v, last byte written %v, head read by the server %v (the rig stalled for %v of that), handled %v, %v left",
					r.ID, r.Node, a.Server, by, r.At, r.Written, a.HeadRead, o.stalledIn(r.Written, a.HeadRead), a.At, a.Budget))
			}
		}
		if e := classifyEnd(o, r, len(attempts[r.ID]) > 0); e.fault != "" {
			broken = append(broken, fmt.Sprintf("lost: request %s of %v at n%d: %s (%s)", r.ID, r.At, r.Node, e.fault, r.Err))
		}
	}
	return broken
}

// checkService says whether the nodes serve once all faults are over.
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
		return []string{fmt.Sprintf("service: %d of %d served after all faults", served, requests)}
	}
	return nil
}
