package soak

import (
	"fmt"
	"math"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/invariants"
)

// late is how late this machine may see what was in time: everything shares its cores.
const clockTolerance = 100 * time.Millisecond

// leastServed is the share that has to be served once all faults are over.
const minServedRatio = 0.8

// Judge says which rules were broken, a line each.
func (p *Result) Violations() (broken []string) {
	f := p.Observations
	broken = append(broken, f.Complaints...)
	broken = append(broken, checkDrains(f)...)
	broken = append(broken, checkDuplicates(f)...)
	broken = append(broken, checkAnswers(f)...)
	return append(broken, checkService(p.Plan, f)...)
}

// judgeDrains holds each arrival to what its node was told, or counts as told.
func checkDrains(f *Observations) (broken []string) {
	for _, d := range f.Drains {
		told := map[int]time.Duration{}
		for _, a := range f.Attempts {
			if a.Server != d.Server || a.At <= d.At {
				continue
			}
			life := incarnationAt(f, a.Node, a.At)
			key := life
			if _, known := told[key]; !known {
				told[key] = notifiedAt(f, d, a.Node, life)
			}
			if by := a.At - told[key] - invariants.DrainGrace - clockTolerance; by > 0 {
				broken = append(broken, fmt.Sprintf("drain: request %s came to server %d at %v, %v too late: node n%d counts as told at %v (drains since %v)",
					a.ID, a.Server, a.At, by, a.Node, told[key], d.At))
			}
		}
	}
	return broken
}

// lifeAt is the place of a node's process at a time among the lives. A request of the one before may still be on its way
// when the next has begun.
func incarnationAt(f *Observations, node int, at time.Duration) (found int) {
	found = -1
	for i, l := range f.Incarnations {
		if l.Node == node && l.Started <= at {
			found = i
		}
	}
	return found
}

// toldOf is when a process was told of a drain, or counts as told by the one clock, where lists are asked for.
func notifiedAt(f *Observations, d DrainStart, node, life int) time.Duration {
	told := time.Duration(math.MaxInt64)
	begin, end := time.Duration(0), time.Duration(math.MaxInt64)
	if life >= 0 {
		begin = f.Incarnations[life].Started
		for _, l := range f.Incarnations[life+1:] {
			if l.Node == node {
				end = l.Started
				break
			}
		}
	}
	for _, w := range f.Deliveries {
		if w.Node == node && w.Version >= d.Version && w.At >= begin && w.At < end {
			told = min(told, w.At)
		}
	}
	reached := reachableFrom(f, max(d.At, begin))
	told = min(told, reached+endpointlease.NotificationDeadline)
	for _, m := range f.AddressChanges {
		if m.Node == node && m.At >= d.At && m.At >= begin && m.At < end && reachableFrom(f, m.At) == m.At {
			told = min(told, m.At+endpointlease.NotificationDeadlineAfterChange)
		}
	}
	return told
}

// reachable is when discovery could be reached, from a time on.
func reachableFrom(f *Observations, at time.Duration) time.Duration {
	for _, down := range f.Outages {
		if at >= down.From && (down.Open || at < down.To) {
			if down.Open {
				return math.MaxInt64 / 2
			}
			at = down.To
		}
	}
	return at
}

// judgeCopies looks for requests that ran twice, or were out twice at once.
func checkDuplicates(f *Observations) (broken []string) {
	unsafe := map[string]bool{}
	for _, a := range f.Requests {
		unsafe[a.ID] = a.NonIdempotent
	}
	before := map[string][]*Attempt{}
	for _, a := range f.Attempts {
		for _, b := range before[a.ID] {
			switch {
			case unsafe[a.ID] && a.Executed && b.Executed:
				broken = append(broken, fmt.Sprintf("duplicate: request %s ran at %v and at %v", a.ID, b.At, a.At))
			case b.Finished == 0 || b.Finished > a.At+clockTolerance:
				broken = append(broken, fmt.Sprintf("duplicate: request %s came at %v while it was out since %v", a.ID, a.At, b.At))
			}
		}
		before[a.ID] = append(before[a.ID], a)
	}
	return broken
}

// judgeAnswers holds each request to its one answer in time, and its attempts to its client.
func checkAnswers(f *Observations) (broken []string) {
	at := map[string][]*Attempt{}
	for _, a := range f.Attempts {
		at[a.ID] = append(at[a.ID], a)
	}
	for _, a := range f.Requests {
		for _, r := range at[a.ID] {
			if a.ClientGone > 0 && r.At > a.ClientGone+invariants.ClientGoneGrace+clockTolerance {
				broken = append(broken, fmt.Sprintf("lost: request %s was sent %v after its client had left", a.ID, r.At-a.ClientGone))
			}
			if by := r.Budget - (a.Deadline - r.At) - invariants.BudgetSlack - clockTolerance; by > 0 {
				broken = append(broken, fmt.Sprintf("budget: request %s told its server %v too much", a.ID, by))
			}
		}
		if why := answerFault(f, a, len(at[a.ID]) > 0); why != "" {
			broken = append(broken, fmt.Sprintf("lost: request %s of %v: %s (%s)", a.ID, a.At, why, a.Err))
		}
	}
	return broken
}

// unanswered says what is wrong with the end of a request. One whose node is killed is its client's to repeat, as is one
// that crosses the end of a connection at rest, or of a process that had been told to end long before.
func answerFault(f *Observations, a *Request, forwarded bool) string {
	if a.ClientGone > 0 || a.ConnectionRefused {
		return ""
	}
	for _, l := range f.Incarnations {
		if l.Node == a.Node && l.Killed > 0 && l.Killed >= a.At && l.Killed <= a.Finished+clockTolerance {
			return ""
		}
	}
	switch {
	case a.Status == 0 && forwarded:
		return "it was forwarded and has no answer"
	case a.Status == 0 && a.NewConnection:
		return "it was on a new connection and has no answer"
	case a.Status == 0:
		return ""
	case a.Finished > a.Deadline+invariants.AnswerSlack+clockTolerance:
		return fmt.Sprintf("its answer came %v after its time", a.Finished-a.Deadline)
	case a.Status == 503 && !a.RetryAfter:
		return "it was refused without a word on when to come back"
	}
	return ""
}

// judgeService says whether the nodes serve once all faults are over.
func checkService(p Plan, f *Observations) []string {
	asked, served := 0, 0
	for _, a := range f.Requests {
		if a.At >= p.Length-serviceCheckTime && a.ClientGone == 0 {
			asked++
			if a.Status == 200 {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < minServedRatio*float64(asked) {
		return []string{fmt.Sprintf("service: %d of %d served after all faults", served, asked)}
	}
	return nil
}
