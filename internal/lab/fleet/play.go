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
	// MaxLateness is the maximum delay of the rig itself. Beyond it, other delays may be caused by the machine, and the rules
	// are not checked.
	MaxLateness = 300 * time.Millisecond

	// startLead is the time from the OpRun messages to the start of the play, so that every process has received its message.
	startLead = 100 * time.Millisecond
)

// errClientsTimeout means that the clients did not finish in time.
var errClientsTimeout = errors.New("the clients did not finish in time")

// Result is the result of a play.
type Result struct {
	Events     []blackbox.Event
	Violations []checker.Violation
	Faults     []FaultRecord // at the times at which they were injected
	Lateness   time.Duration // maximum delay of the rig itself
	Folder     string        // rig's folder, kept if a rule was broken; "": removed
	Nodes      int
	Workers    int
	StartTimes []time.Duration // time to readiness of each ingress node restart during the play
}

// FaultRecord is an action of the fault schedule and the time at which it was performed.
type FaultRecord struct {
	At          time.Duration
	Description string
}

// Unreliable reports whether the machine was too slow for the play to be checked.
func (p *Result) Unreliable() bool { return p.Lateness > MaxLateness }

// RigError means that the rig or the machine failed before a play was complete. It says nothing about the rules.
type RigError struct {
	Err error
	Dir string // contains the logs of all processes
}

// Error returns the cause and the folder of the logs.
func (e *RigError) Error() string {
	return fmt.Sprintf("fleet: the rig could not complete the play: %v; logs are in %s; retry with fewer concurrent rigs", e.Err, e.Dir)
}

// Unwrap returns the cause.
func (e *RigError) Unwrap() error { return e.Err }

// Play plays a scenario once. An error is a *RigError unless ctx has ended.
func Play(ctx context.Context, s *scenario.Scenario, options Options) (*Result, error) {
	r, err := startRig(ctx, s, options)
	result := &Result{}
	if err == nil {
		err = r.playAndCheck(result)
		result.Nodes, result.Workers = len(r.infos), len(r.serverWorkers)+2 // plus discovery and clients
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
	return nil, &RigError{err, r.dir}
}

// playAndCheck plays the scenario and checks the recorded history against the rules.
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

// play starts the clients, performs the schedule, and returns when the clients are done.
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
	r.nodes.Sleep(model.LongestDeadline(r.scenario) / 2) // calls between tiers may outlast the clients' requests
	result.Lateness = time.Duration(r.lateness.Load())
	r.nodes.Record(blackbox.Event{Kind: blackbox.HistoryEnded})
	return context.Cause(r.ctx)
}

// sendPlay sends all workers the start time of the play.
func (r *rig) sendPlay() {
	m := loopback.Message{Operation: loopback.OpRun, StartTick: r.startTick, StartWall: r.startWall.UnixNano()}
	for _, w := range r.serverWorkers {
		w.send(m)
	}
	r.discovery.send(m)
	m.Role = loopback.RoleClients
	r.clients.send(m)
}

// check stops the workers, so that their histories are complete, and checks the merged history against the rules.
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
		if e.Kind == blackbox.HistoryEnded { // ignore events that workers recorded while they were being stopped
			result.Events = events[:i+1]
			break
		}
	}
	if !result.Unreliable() {
		result.Violations = blackbox.Check(loopback.HistoryHeader(r.scenario), result.Events)
	}
	return nil
}

// mergedHistory returns the merged history of all processes.
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

// causedByStop reports whether a process may have been late because the rig had stopped a process.
func (r *rig) causedByStop(e blackbox.Event) bool {
	for _, f := range r.scenario.Faults {
		if f.Kind == scenario.FaultStall && e.At >= f.At && e.At-e.Duration <= f.At+f.Spread+f.Duration {
			return true
		}
	}
	return false
}
