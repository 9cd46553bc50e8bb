package soak

import (
	"fmt"
	"math"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/invariants"
)

// late is how late this machine may see what was in time: everything shares its cores.
const late = 100 * time.Millisecond

// leastServed is the share that has to be served once all faults are over.
const leastServed = 0.8

// Judge says which rules were broken, a line each.
func (p *Played) Judge() (broken []string) {
	f := p.Facts
	broken = append(broken, f.Complaint...)
	broken = append(broken, judgeDrains(f)...)
	broken = append(broken, judgeCopies(f)...)
	broken = append(broken, judgeAnswers(f)...)
	return append(broken, judgeService(p.Plan, f)...)
}

// judgeDrains holds each arrival to what its node was told, or counts as told.
func judgeDrains(f *Facts) (broken []string) {
	for _, d := range f.Drains {
		told := map[int]time.Duration{}
		for _, a := range f.Arrivals {
			if a.Server != d.Server || a.At <= d.At {
				continue
			}
			life := lifeAt(f, a.Node, a.At)
			key := life
			if _, known := told[key]; !known {
				told[key] = toldOf(f, d, a.Node, life)
			}
			if by := a.At - told[key] - invariants.DrainGrace - late; by > 0 {
				broken = append(broken, fmt.Sprintf("drain: request %s came to server %d at %v, %v too late: node n%d counts as told at %v (drains since %v)",
					a.ID, a.Server, a.At, by, a.Node, told[key], d.At))
			}
		}
	}
	return broken
}

// lifeAt is the place of a node's process at a time among the lives. A request of the one before may still be on its way
// when the next has begun.
func lifeAt(f *Facts, node int, at time.Duration) (found int) {
	found = -1
	for i, l := range f.Lives {
		if l.Node == node && l.From <= at {
			found = i
		}
	}
	return found
}

// toldOf is when a process was told of a drain, or counts as told by the one clock, where lists are asked for.
func toldOf(f *Facts, d Drained, node, life int) time.Duration {
	told := time.Duration(math.MaxInt64)
	begin, end := time.Duration(0), time.Duration(math.MaxInt64)
	if life >= 0 {
		begin = f.Lives[life].From
		for _, l := range f.Lives[life+1:] {
			if l.Node == node {
				end = l.From
				break
			}
		}
	}
	for _, w := range f.Written {
		if w.Node == node && w.Version >= d.Version && w.At >= begin && w.At < end {
			told = min(told, w.At)
		}
	}
	reached := reachable(f, max(d.At, begin))
	told = min(told, reached+endpointlease.NotificationDeadline)
	for _, m := range f.Moves {
		if m.Node == node && m.At >= d.At && m.At >= begin && m.At < end && reachable(f, m.At) == m.At {
			told = min(told, m.At+endpointlease.NotificationDeadlineAfterChange)
		}
	}
	return told
}

// reachable is when discovery could be reached, from a time on.
func reachable(f *Facts, at time.Duration) time.Duration {
	for _, down := range f.Downs {
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
func judgeCopies(f *Facts) (broken []string) {
	unsafe := map[string]bool{}
	for _, a := range f.Asked {
		unsafe[a.ID] = a.Unsafe
	}
	before := map[string][]*Arrival{}
	for _, a := range f.Arrivals {
		for _, b := range before[a.ID] {
			switch {
			case unsafe[a.ID] && a.Ran && b.Ran:
				broken = append(broken, fmt.Sprintf("duplicate: request %s ran at %v and at %v", a.ID, b.At, a.At))
			case b.Over == 0 || b.Over > a.At+late:
				broken = append(broken, fmt.Sprintf("duplicate: request %s came at %v while it was out since %v", a.ID, a.At, b.At))
			}
		}
		before[a.ID] = append(before[a.ID], a)
	}
	return broken
}

// judgeAnswers holds each request to its one answer in time, and its attempts to its client.
func judgeAnswers(f *Facts) (broken []string) {
	at := map[string][]*Arrival{}
	for _, a := range f.Arrivals {
		at[a.ID] = append(at[a.ID], a)
	}
	for _, a := range f.Asked {
		for _, r := range at[a.ID] {
			if a.Left > 0 && r.At > a.Left+invariants.ClientGoneGrace+late {
				broken = append(broken, fmt.Sprintf("lost: request %s was sent %v after its client had left", a.ID, r.At-a.Left))
			}
			if by := r.Left - (a.Deadline - r.At) - invariants.BudgetSlack - late; by > 0 {
				broken = append(broken, fmt.Sprintf("budget: request %s told its server %v too much", a.ID, by))
			}
		}
		if why := unanswered(f, a, len(at[a.ID]) > 0); why != "" {
			broken = append(broken, fmt.Sprintf("lost: request %s of %v: %s (%s)", a.ID, a.At, why, a.Err))
		}
	}
	return broken
}

// unanswered says what is wrong with the end of a request. One whose node is killed is its client's to repeat, as is one
// that crosses the end of a connection at rest, or of a process that had been told to end long before.
func unanswered(f *Facts, a *Asked, forwarded bool) string {
	if a.Left > 0 || a.Refused {
		return ""
	}
	for _, l := range f.Lives {
		if l.Node == a.Node && l.Killed > 0 && l.Killed >= a.At && l.Killed <= a.Over+late {
			return ""
		}
	}
	switch {
	case a.Status == 0 && forwarded:
		return "it was forwarded and has no answer"
	case a.Status == 0 && a.Fresh:
		return "it was on a new connection and has no answer"
	case a.Status == 0:
		return ""
	case a.Over > a.Deadline+invariants.AnswerSlack+late:
		return fmt.Sprintf("its answer came %v after its time", a.Over-a.Deadline)
	case a.Status == 503 && !a.Advice:
		return "it was refused without a word on when to come back"
	}
	return ""
}

// judgeService says whether the nodes serve once all faults are over.
func judgeService(p Plan, f *Facts) []string {
	asked, served := 0, 0
	for _, a := range f.Asked {
		if a.At >= p.Length-judgedTime && a.Left == 0 {
			asked++
			if a.Status == 200 {
				served++
			}
		}
	}
	if asked > 0 && float64(served) < leastServed*float64(asked) {
		return []string{fmt.Sprintf("service: %d of %d served after all faults", served, asked)}
	}
	return nil
}
