package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// act is one thing that the rig does at a time.
type act struct {
	at   time.Duration
	what string
	do   func() error
}

// Played is what came of a play.
type Played struct {
	Events  []blackbox.Event
	Broken  []checker.Violation
	Faults  []Fault       // as they were made
	Late    time.Duration // the longest that the rig itself was late
	Folder  string        // kept, where something was broken
	Nodes   int
	Parts   int
	Restart []time.Duration // how long nodes took from their start to ready, in the play
}

// Fault is when something was done.
type Fault struct {
	At   time.Duration
	What string
}

// TooLate is how late the rig itself may be: beyond it what is late may be the machine's doing, and nothing is judged.
const TooLate = 300 * time.Millisecond

// TooLate says that the machine was too slow for the play to tell anything.
func (p *Played) TooLate() bool { return p.Late > TooLate }

// Play plays a scenario once.
func Play(ctx context.Context, s *scenario.Scenario, opt Options) (*Played, error) {
	result := &Played{}
	acts := func(r *rig) ([]act, error) { return r.schedule(result) }
	r, err := up(ctx, s, opt)
	if err != nil {
		r.down(ctx.Err() == nil)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("fleet: %w", context.Cause(ctx))
		}
		return nil, &StageError{err, r.dir}
	}
	list, err := acts(r)
	if err == nil {
		err = r.play(list, result)
	}
	if err == nil {
		err = r.judge(result)
	}
	keep := err != nil && ctx.Err() == nil || len(result.Broken) > 0
	result.Nodes, result.Parts = len(r.infos), len(r.boxes)+2
	if keep {
		result.Folder = r.dir
	}
	r.down(keep)
	if err != nil && ctx.Err() == nil {
		return nil, &StageError{err, r.dir}
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return result, nil
}

// StageError says that a play could not be staged, or not to its end: by the rig or its machine, not by a rule.
type StageError struct {
	Err error
	Dir string // with the logs of all processes
}

func (e *StageError) Error() string {
	return fmt.Sprintf("fleet: the play could not be staged: %v; logs in %s; play it again, with fewer rigs beside it", e.Err, e.Dir)
}
func (e *StageError) Unwrap() error { return e.Err }

const (
	lead = 100 * time.Millisecond // from the word to play to the first arrival
)

// play lets the clients come, does what the schedule says, and returns when all is answered.
func (r *rig) play(list []act, result *Played) error {
	r.wall = time.Now().Add(lead)
	r.began = loopback.Monotonic() + lead
	r.nodes.SetClock(r.began, r.wall)
	if err := r.folders.remember(); err != nil {
		return err
	}
	begin := loopback.Message{Do: loopback.DoPlay, Began: r.began, Wall: r.wall.UnixNano()}
	for _, p := range r.boxes {
		p.tell(begin)
	}
	r.discovery.tell(begin)
	begin.Has = "clients"
	r.clients.tell(begin)
	stop := make(chan struct{})
	defer close(stop)
	r.own(func() { loopback.Lateness(stop, func(late time.Duration) { r.late.Store(int64(late)) }) })
	r.own(func() {
		for _, a := range list {
			if !r.nodes.Sleep(a.at - r.nodes.Now()) {
				return
			}
			result.Faults = append(result.Faults, Fault{r.nodes.Now(), a.what})
			if err := a.do(); err != nil {
				r.end(fmt.Errorf("%s: %w", a.what, err))
				return
			}
		}
	})
	most := time.NewTimer(r.s.Length + 2*model.LongestDeadline(r.s) + partReady)
	defer most.Stop()
	select {
	case <-r.done:
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-most.C:
		return fmt.Errorf("the clients do not end")
	}
	r.nodes.Sleep(model.LongestDeadline(r.s) / 2) // calls of lower tiers may outlive their clients
	result.Late = time.Duration(r.late.Load())
	r.nodes.Note(blackbox.Event{What: blackbox.End})
	return context.Cause(r.ctx)
}

// judge stops the parts, for their histories to be whole, and holds what they saw to the rules.
func (r *rig) judge(result *Played) error {
	r.mu.Lock()
	files := slices.Clone(r.files)
	r.mu.Unlock()
	parts := append(slices.Clone(r.boxes), r.clients, r.discovery)
	each(len(parts), func(i int) error {
		parts[i].stop()
		return nil
	})
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	if err := r.rec.Err(); err != nil {
		return err
	}
	var err error
	if result.Events, err = blackbox.Merge(readers...); err != nil {
		return err
	}
	for i, e := range result.Events {
		if e.What == blackbox.Late && !r.stopped(e) {
			result.Late = max(result.Late, e.Budget)
		}
		if e.What == blackbox.End { // what a part still noted while it was ended is nothing
			result.Events = result.Events[:i+1]
			break
		}
	}
	if !result.TooLate() {
		result.Broken = blackbox.Check(loopback.Head(r.s), result.Events)
	}
	return nil
}

// stopped says that a process was late since the rig itself had stopped one.
func (r *rig) stopped(e blackbox.Event) bool {
	for _, t := range r.s.Troubles {
		if t.Kind == "stall" && e.At >= t.At && e.At-e.Budget <= t.At+t.Spread+t.Length {
			return true
		}
	}
	return false
}

// schedule turns the scenario's troubles into what the rig does.
func (r *rig) schedule(result *Played) (list []act, err error) {
	changes, err := model.Troubles(model.WithoutUpsets(r.s))
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		list = append(list, act{c.At, fmt.Sprintf("%v %d", c.What, c.Index), func() error { return r.change(c, result) }})
	}
	upsets, err := model.Upsets(r.s)
	if err != nil {
		return nil, err
	}
	for _, u := range upsets {
		begin, end, err := r.upset(u)
		if err != nil {
			return nil, err
		}
		list = append(list, act{u.From, fmt.Sprintf("%s %s %d", u.Kind, u.Trouble.Who, u.Who[0]), begin})
		if end != nil {
			list = append(list, act{u.To, fmt.Sprintf("%s %s %d over", u.Kind, u.Trouble.Who, u.Who[0]), end})
		}
	}
	slices.SortStableFunc(list, func(a, b act) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// change carries out what every way of playing knows.
func (r *rig) change(c model.Change, result *Played) error {
	m := loopback.Message{Do: loopback.DoChange, Change: &c}
	switch c.What {
	case model.NodeKill:
		place := r.infos[c.Index].Place
		r.kills[c.Index].Add(1)
		r.folders.met(c.Index, c.Folder)
		r.wires.refuse(toNode(place), true)
		r.own(func() {
			r.nodes.Kill(c.Index)
			r.frontNotices(c.Index)
		})
	case model.NodeLeave:
		r.leaves[c.Index].Store(true)
		r.kills[c.Index].Add(1) // one that just starts may not even hear it as a word yet
		r.folders.met(c.Index, c.Folder)
		r.nodes.Stop(c.Index, func() {
			if r.nodes.Sleep(model.FrontDeals) {
				r.clients.tell(loopback.Message{Do: loopback.DoHear, Index: c.Index})
			}
		})
	case model.NodeStart:
		r.own(func() {
			began := r.nodes.Now()
			if err := r.startNode(c.Index); err != nil {
				if !errors.Is(err, errKilled) {
					r.end(err)
				}
				return
			}
			r.mu.Lock()
			result.Restart = append(result.Restart, r.nodes.Now()-began)
			r.mu.Unlock()
		})
	case model.DiscoveryMove:
		return fmt.Errorf("discovery does not move in a fleet")
	case model.DiscoveryDown, model.DiscoveryUp:
		r.wires.refuse(end{theList, ""}, c.What == model.DiscoveryDown)
		r.discovery.tell(m)
	case model.Overload, model.Storm:
		r.clients.tell(m)
	case model.HeavyTail:
		for _, p := range r.boxes {
			p.tell(m)
		}
	default:
		ids, _ := r.nodes.BoxNames(c.Tier)
		r.at[ids[c.Index]].tell(m)
	}
	return nil
}

// frontNotices has the front learn, after a while, that a node does not run.
func (r *rig) frontNotices(i int) {
	if r.nodes.Sleep(r.s.Front.Notice) && !r.nodes.Runs(i) {
		r.clients.tell(loopback.Message{Do: loopback.DoHear, Index: i})
	}
}
