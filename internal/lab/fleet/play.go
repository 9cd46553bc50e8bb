package fleet

import (
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

const (
	// MaxLateness is how late the rig itself may be. Beyond it what else is late may be the machine's doing, and nothing is
	// judged.
	MaxLateness = 300 * time.Millisecond

	// startLead is the time from the order to play to the first arrival: every process has it by then.
	startLead = 100 * time.Millisecond
)

// errClientsTimeout is a play whose clients do not end.
var errClientsTimeout = errors.New("the clients do not end")

// Result is what came of a play.
type Result struct {
	Events     []blackbox.Event
	Violations []checker.Violation
	Faults     []FaultRecord // as they were made
	Lateness   time.Duration // the longest that the rig itself was late
	Folder     string        // kept, where a rule was broken; "": removed
	Nodes      int
	Workers    int
	StartTimes []time.Duration // of nodes, from their start to ready, in the play
}

// FaultRecord is when something was done.
type FaultRecord struct {
	At          time.Duration
	Description string
}

// Unreliable says that the machine was too slow for the play to show anything.
func (p *Result) Unreliable() bool { return p.Lateness > MaxLateness }

// StageError says that a play could not be staged, or not to its end: by the rig or its machine, not by a rule.
type StageError struct {
	Err error
	Dir string // with the logs of all processes
}

// Error says what happened, and where the logs are.
func (e *StageError) Error() string {
	return fmt.Sprintf("fleet: the play could not be staged: %v; logs in %s; play it again, with fewer rigs beside it", e.Err, e.Dir)
}

// Unwrap is the cause.
func (e *StageError) Unwrap() error { return e.Err }

// Play plays a scenario once. An error is a *StageError unless ctx has ended.
func Play(ctx context.Context, s *scenario.Scenario, options Options) (*Result, error) {
	r, err := startRig(ctx, s, options)
	result := &Result{}
	if err == nil {
		err = r.playAndCheck(result)
		result.Nodes, result.Workers = len(r.infos), len(r.serverWorkers)+2 // and discovery and clients
	}
	keep := err != nil && ctx.Err() == nil || len(result.Violations) > 0
	if keep {
		result.Folder = r.dir
	}
	r.shutDown(keep)
	switch {
	case err == nil:
		return result, nil
	case ctx.Err() != nil:
		return nil, fmt.Errorf("fleet: %w", context.Cause(ctx))
	}
	return nil, &StageError{err, r.dir}
}

// playAndCheck plays the scenario and holds what was seen to the rules.
func (r *rig) playAndCheck(result *Result) error {
	schedule, err := r.schedule(result)
	if err != nil {
		return err
	}
	if err := r.play(schedule, result); err != nil {
		return err
	}
	return r.check(result)
}

// play lets the clients come, does what the schedule says, and returns when all is answered.
func (r *rig) play(schedule []action, result *Result) error {
	r.startWall = time.Now().Add(startLead)
	r.startTick = loopback.Monotonic() + startLead
	r.nodes.SetClock(r.startTick, r.startWall)
	if err := r.folders.snapshot(); err != nil {
		return err
	}
	r.sendPlay()
	stop := make(chan struct{})
	defer close(stop)
	r.spawn(func() { loopback.WatchLateness(stop, func(late time.Duration) { r.lateness.Store(int64(late)) }) })
	r.spawn(func() { r.perform(schedule, result) })
	timeout := time.NewTimer(r.scenario.Length + 2*model.LongestDeadline(r.scenario) + workerTimeout)
	defer timeout.Stop()
	select {
	case <-r.clientsDone:
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-timeout.C:
		return errClientsTimeout
	}
	r.nodes.Sleep(model.LongestDeadline(r.scenario) / 2) // calls of lower tiers may outlive their clients
	result.Lateness = time.Duration(r.lateness.Load())
	r.nodes.Record(blackbox.Event{Kind: blackbox.HistoryEnded})
	return context.Cause(r.ctx)
}

// sendPlay tells all workers when the play begins.
func (r *rig) sendPlay() {
	m := loopback.Message{Operation: loopback.OpPlay, StartTick: r.startTick, StartWall: r.startWall.UnixNano()}
	for _, w := range r.serverWorkers {
		w.send(m)
	}
	r.discovery.send(m)
	m.Role = loopback.RoleClients
	r.clients.send(m)
}

// check stops the workers, so that their histories are complete, and holds what they saw to the rules.
func (r *rig) check(result *Result) error {
	r.stopWorkers()
	if err := r.recorder.Err(); err != nil {
		return err
	}
	events, err := r.mergedHistory()
	if err != nil {
		return err
	}
	result.Events = events
	for i, e := range events {
		if e.Kind == blackbox.ProcessLate && !r.causedByStop(e) {
			result.Lateness = max(result.Lateness, e.Duration)
		}
		if e.Kind == blackbox.HistoryEnded { // what a worker still recorded while it was ended does not count
			result.Events = events[:i+1]
			break
		}
	}
	if !result.Unreliable() {
		result.Violations = blackbox.Check(loopback.Head(r.scenario), result.Events)
	}
	return nil
}

// mergedHistory is the history of all processes.
func (r *rig) mergedHistory() ([]blackbox.Event, error) {
	r.mu.Lock()
	histories := slices.Clone(r.histories)
	r.mu.Unlock()
	var readers []io.Reader
	for _, name := range histories {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return blackbox.Merge(readers...)
}

// causedByStop says that a process was late because the rig itself had stopped one.
func (r *rig) causedByStop(e blackbox.Event) bool {
	for _, f := range r.scenario.Faults {
		if f.Kind == scenario.FaultStall && e.At >= f.At && e.At-e.Duration <= f.At+f.Spread+f.Duration {
			return true
		}
	}
	return false
}
