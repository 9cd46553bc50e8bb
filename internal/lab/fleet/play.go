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

// action is one thing that the rig does at a time.
type action struct {
	at          time.Duration
	description string
	do          func() error
}

// Result is what came of a play.
type Result struct {
	Events     []blackbox.Event
	Violations []checker.Violation
	Faults     []FaultRecord // as they were made
	Lateness   time.Duration // the longest that the rig itself was late
	Folder     string        // kept, where something was broken
	Nodes      int
	Workers    int
	StartTimes []time.Duration // how long nodes took from their start to ready, in the play
}

// FaultRecord is when something was done.
type FaultRecord struct {
	At          time.Duration
	Description string
}

// MaxLateness is how late the rig itself may be: beyond it what is late may be the machine's doing, and nothing is judged.
const MaxLateness = 300 * time.Millisecond

// Unreliable says that the machine was too slow for the play to tell anything.
func (p *Result) Unreliable() bool { return p.Lateness > MaxLateness }

// Play plays a scenario once.
func Play(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	result := &Result{}
	acts := func(r *rig) ([]action, error) { return r.schedule(result) }
	r, err := startRig(ctx, s, opt)
	if err != nil {
		r.shutDown(ctx.Err() == nil)
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
	keep := err != nil && ctx.Err() == nil || len(result.Violations) > 0
	result.Nodes, result.Workers = len(r.infos), len(r.serverWorkers)+2
	if keep {
		result.Folder = r.dir
	}
	r.shutDown(keep)
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
	startLead = 100 * time.Millisecond // from the word to play to the first arrival
)

// play lets the clients come, does what the schedule says, and returns when all is answered.
func (r *rig) play(list []action, result *Result) error {
	r.startWall = time.Now().Add(startLead)
	r.startTick = loopback.Monotonic() + startLead
	r.nodes.SetClock(r.startTick, r.startWall)
	if err := r.folders.snapshot(); err != nil {
		return err
	}
	begin := loopback.Message{Operation: loopback.OpPlay, StartTick: r.startTick, StartWall: r.startWall.UnixNano()}
	for _, p := range r.serverWorkers {
		p.send(begin)
	}
	r.discovery.send(begin)
	begin.Role = "clients"
	r.clients.send(begin)
	stop := make(chan struct{})
	defer close(stop)
	r.goOwned(func() { loopback.WatchLateness(stop, func(late time.Duration) { r.late.Store(int64(late)) }) })
	r.goOwned(func() {
		for _, a := range list {
			if !r.nodes.Sleep(a.at - r.nodes.Now()) {
				return
			}
			result.Faults = append(result.Faults, FaultRecord{r.nodes.Now(), a.description})
			if err := a.do(); err != nil {
				r.cancel(fmt.Errorf("%s: %w", a.description, err))
				return
			}
		}
	})
	most := time.NewTimer(r.scenario.Length + 2*model.LongestDeadline(r.scenario) + workerTimeout)
	defer most.Stop()
	select {
	case <-r.clientsDone:
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-most.C:
		return fmt.Errorf("the clients do not end")
	}
	r.nodes.Sleep(model.LongestDeadline(r.scenario) / 2) // calls of lower tiers may outlive their clients
	result.Lateness = time.Duration(r.late.Load())
	r.nodes.Record(blackbox.Event{Kind: blackbox.HistoryEnded})
	return context.Cause(r.ctx)
}

// judge stops the parts, for their histories to be whole, and holds what they saw to the rules.
func (r *rig) judge(result *Result) error {
	r.mu.Lock()
	files := slices.Clone(r.histories)
	r.mu.Unlock()
	parts := append(slices.Clone(r.serverWorkers), r.clients, r.discovery)
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
	if err := r.recorder.Err(); err != nil {
		return err
	}
	var err error
	if result.Events, err = blackbox.Merge(readers...); err != nil {
		return err
	}
	for i, e := range result.Events {
		if e.Kind == blackbox.ProcessLate && !r.causedByStop(e) {
			result.Lateness = max(result.Lateness, e.Duration)
		}
		if e.Kind == blackbox.HistoryEnded { // what a part still noted while it was ended is nothing
			result.Events = result.Events[:i+1]
			break
		}
	}
	if !result.Unreliable() {
		result.Violations = blackbox.Check(loopback.Head(r.scenario), result.Events)
	}
	return nil
}

// causedByStop says that a process was late since the rig itself had stopped one.
func (r *rig) causedByStop(e blackbox.Event) bool {
	for _, t := range r.scenario.Faults {
		if t.Kind == "stall" && e.At >= t.At && e.At-e.Duration <= t.At+t.Spread+t.Duration {
			return true
		}
	}
	return false
}

// schedule turns the scenario's troubles into what the rig does.
func (r *rig) schedule(result *Result) (list []action, err error) {
	changes, err := model.WorldChanges(model.WithoutProcessFaults(r.scenario))
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		list = append(list, action{c.At, fmt.Sprintf("%v %d", c.Kind, c.Index), func() error { return r.applyChange(c, result) }})
	}
	upsets, err := model.ProcessFaults(r.scenario)
	if err != nil {
		return nil, err
	}
	for _, u := range upsets {
		begin, end, err := r.processFault(u)
		if err != nil {
			return nil, err
		}
		list = append(list, action{u.From, fmt.Sprintf("%s %s %d", u.Kind, u.Fault.Target, u.Targets[0]), begin})
		if end != nil {
			list = append(list, action{u.To, fmt.Sprintf("%s %s %d over", u.Kind, u.Fault.Target, u.Targets[0]), end})
		}
	}
	slices.SortStableFunc(list, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// changeFolder carries out what every way of playing knows.
func (r *rig) applyChange(c model.Change, result *Result) error {
	m := loopback.Message{Operation: loopback.OpChange, Change: &c}
	switch c.Kind {
	case model.NodeKill:
		place := r.infos[c.Index].Base
		r.endings[c.Index].Add(1)
		r.folders.setNext(c.Index, c.Folder)
		r.network.refuse(nodeAt(place), true)
		r.goOwned(func() {
			r.nodes.Kill(c.Index)
			r.ingressNotices(c.Index)
		})
	case model.NodeTerminate:
		r.terminating[c.Index].Store(true)
		r.endings[c.Index].Add(1) // one that just starts may not even hear it as a word yet
		r.folders.setNext(c.Index, c.Folder)
		r.nodes.Stop(c.Index, func() {
			if r.nodes.Sleep(model.IngressDrainDelay) {
				r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: c.Index})
			}
		})
	case model.NodeStart:
		r.goOwned(func() {
			began := r.nodes.Now()
			if err := r.startNode(c.Index); err != nil {
				if !errors.Is(err, errKilled) {
					r.cancel(err)
				}
				return
			}
			r.mu.Lock()
			result.StartTimes = append(result.StartTimes, r.nodes.Now()-began)
			r.mu.Unlock()
		})
	case model.DiscoveryMove:
		return fmt.Errorf("discovery does not move in a fleet")
	case model.DiscoveryDown, model.DiscoveryUp:
		r.network.refuse(end{discoveryEnd, ""}, c.Kind == model.DiscoveryDown)
		r.discovery.send(m)
	case model.Overload, model.RetryStorm:
		r.clients.send(m)
	case model.HeavyTail:
		for _, p := range r.serverWorkers {
			p.send(m)
		}
	default:
		ids, _ := r.nodes.ServerIDs(c.Tier)
		r.workerByServer[ids[c.Index]].send(m)
	}
	return nil
}

// ingressNotices has the front learn, after a while, that a node does not run.
func (r *rig) ingressNotices(i int) {
	if r.nodes.Sleep(r.scenario.Ingress.FailureDetection) && !r.nodes.Running(i) {
		r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: i})
	}
}
