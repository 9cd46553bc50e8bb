package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// errDiscoveryMoveUnsupported means that a scenario moves discovery, which only the simulation and the loopback rig
// support.
var errDiscoveryMoveUnsupported = errors.New("a fleet does not support moving discovery")

// action is a scheduled operation of the rig.
type action struct {
	at          time.Duration
	description string
	do          func() error
}

// schedule converts the scenario's faults into actions, sorted by time.
func (r *rig) schedule(result *Result) (list []action, err error) {
	changes, err := model.WorldChanges(model.WithoutProcessFaults(r.scenario))
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		list = append(list, action{c.At, fmt.Sprintf("%v %d", c.Kind, c.Index), func() error { return r.applyChange(c, result) }})
	}
	faults, err := model.ProcessFaults(r.scenario)
	if err != nil {
		return nil, err
	}
	for _, f := range faults {
		begin, end, err := r.processFault(f)
		if err != nil {
			return nil, err
		}
		description := fmt.Sprintf("%s %s %d", f.Kind, f.Target, f.Targets[0])
		list = append(list, action{f.From, description, begin})
		if end != nil {
			list = append(list, action{f.To, description + " ended", end})
		}
	}
	slices.SortStableFunc(list, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return list, nil
}

// perform runs the actions of a schedule at their times, until the rig is shut down.
func (r *rig) perform(schedule []action, result *Result) {
	for _, a := range schedule {
		if !r.nodes.Sleep(a.at - r.nodes.Now()) {
			return
		}
		result.Faults = append(result.Faults, FaultRecord{r.nodes.Now(), a.description})
		if err := a.do(); err != nil {
			r.cancel(fmt.Errorf("%s: %w", a.description, err))
			return
		}
	}
}

// applyChange applies a change of the kinds that the simulation and the loopback rig also support.
func (r *rig) applyChange(c model.Change, result *Result) error {
	m := loopback.Message{Operation: loopback.OpChange, Change: &c}
	switch c.Kind {
	case model.NodeKill:
		r.killNode(c)
	case model.NodeTerminate:
		r.terminateNode(c)
	case model.NodeStart:
		r.spawn(func() { r.restartNode(c.Index, result) })
	case model.DiscoveryMove:
		return errDiscoveryMoveUnsupported
	case model.DiscoveryDown, model.DiscoveryUp:
		r.network.refuse(linkEnd{discoveryEnd, ""}, c.Kind == model.DiscoveryDown)
		r.discovery.send(m)
	case model.Overload, model.RetryStorm:
		r.clients.send(m)
	case model.HeavyTail:
		for _, w := range r.serverWorkers {
			w.send(m)
		}
	default:
		ids, _ := r.nodes.ServerIDs(c.Tier)
		r.workerByServer[ids[c.Index]].send(m)
	}
	return nil
}

// killNode kills an ingress node. The ingress notices it after its failure detection time.
func (r *rig) killNode(c model.Change) {
	r.terminations[c.Index].Add(1)
	r.folders.setNext(c.Index, c.Folder)
	r.network.refuse(nodeAt(r.infos[c.Index].Base), true)
	r.spawn(func() {
		r.nodes.Kill(c.Index)
		if r.nodes.Sleep(r.scenario.Ingress.FailureDetection) && !r.nodes.Running(c.Index) {
			r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: c.Index})
		}
	})
}

// terminateNode asks an ingress node to terminate. The ingress notices it after model.IngressDrainDelay. A node that is
// still starting may not handle the signal yet and die from it, so the request counts as a termination immediately.
func (r *rig) terminateNode(c model.Change) {
	r.terminating[c.Index].Store(true)
	r.terminations[c.Index].Add(1)
	r.folders.setNext(c.Index, c.Folder)
	r.nodes.Terminate(c.Index, func() {
		if r.nodes.Sleep(model.IngressDrainDelay) {
			r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: c.Index})
		}
	})
}

// restartNode starts an ingress node again and records how long it took to become ready.
func (r *rig) restartNode(i int, result *Result) {
	began := r.nodes.Now()
	if err := r.startNode(i); err != nil {
		if !errors.Is(err, errKilled) {
			r.cancel(err)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result.StartTimes = append(result.StartTimes, r.nodes.Now()-began)
}
