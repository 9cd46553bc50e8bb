package fleet

import (
	"fmt"
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// processFault returns the functions that begin and end a fault between processes; end may be nil.
func (r *rig) processFault(f model.ProcessFault) (begin, end func() error, err error) {
	switch f.Kind {
	case scenario.FaultStall:
		begin, end = r.stopFault(f)
	case scenario.FaultAdminOverride:
		begin, end = r.overrideFault(f)
	case scenario.FaultMuteWatches:
		begin, end = r.muteFault(f)
	case scenario.FaultUpgrade:
		begin = func() error { r.replaceNode(f.Targets[0]); return nil }
	case scenario.FaultServerKill:
		w := r.workersOfTier(f.Tier)[f.Targets[0]]
		begin = func() error { r.killServers(w, f.Folder); return nil }
		end = func() error { r.restartServers(w); return nil }
	default:
		return r.linkFault(f)
	}
	return begin, end, nil
}

// muteFault returns functions that mute and unmute a node's watches at discovery.
func (r *rig) muteFault(f model.ProcessFault) (begin, end func() error) {
	base := r.infos[f.Targets[0]].Base
	set := func(serving bool) func() error {
		return func() error {
			r.discovery.send(loopback.Message{Operation: loopback.OpMuteWatches, Node: base, Serving: serving})
			return nil
		}
	}
	return set(false), set(true)
}

// stopFault returns functions that stop processes with SIGSTOP and resume them.
func (r *rig) stopFault(f model.ProcessFault) (begin, end func() error) {
	switch f.Target {
	case scenario.TargetNodes:
		return r.stopNode(f)
	case scenario.TargetDiscovery:
		return func() error { r.discovery.signal(syscall.SIGSTOP); return nil },
			func() error { r.discovery.signal(syscall.SIGCONT); return nil }
	}
	w := r.workersOfTier(f.Tier)[f.Targets[0]]
	return func() error {
			w.signal(syscall.SIGSTOP)
			r.recordServers(w, blackbox.ProcessStopped, blackbox.ClientsMuted)
			return nil
		}, func() error {
			r.recordServers(w, blackbox.ProcessResumed, blackbox.ClientsUnmuted)
			w.signal(syscall.SIGCONT)
			return nil
		}
}

// stopNode returns functions that stop and resume an ingress node. The ingress detects the stop after its failure detection
// time, and the resumption at once.
func (r *rig) stopNode(f model.ProcessFault) (begin, end func() error) {
	i := f.Targets[0]
	begin = func() error {
		if r.nodes.SetPaused(i, true) {
			r.spawn(func() {
				if r.nodes.Sleep(min(r.scenario.Ingress.FailureDetection, f.Duration)) && r.nodes.Now() < f.To {
					r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: i})
				}
			})
		}
		return nil
	}
	end = func() error {
		if r.nodes.SetPaused(i, false) && !r.terminating[i].Load() { // a terminating node is not ready
			r.clients.send(loopback.Message{Operation: loopback.OpNodeServing, Index: i, Serving: true})
		}
		return nil
	}
	return begin, end
}

// recordServers records an event for each server of a worker and one for each node on its machine, because a stopped server
// is also a client that does not read.
func (r *rig) recordServers(w *worker, ofServer, ofNode blackbox.EventKind) {
	for _, id := range r.serverIDs(w) {
		r.nodes.Record(blackbox.Event{Kind: ofServer, Server: id})
		for n, info := range r.infos {
			if info.HostID == id {
				name, _ := r.nodes.Incarnation(n)
				r.nodes.Record(blackbox.Event{Kind: ofNode, Node: name})
			}
		}
	}
}

// workersOfTier returns the workers that run a tier's servers.
func (r *rig) workersOfTier(tier string) (list []*worker) {
	for _, w := range r.serverWorkers {
		if r.scenario.Tiers[w.servers[0][0]].Name == tier {
			list = append(list, w)
		}
	}
	return list
}

// serverIDs returns the IDs of a worker's servers, in the order of w.servers.
func (r *rig) serverIDs(w *worker) (list []string) {
	for _, at := range w.servers {
		ids, _ := r.nodes.ServerIDs(at[0])
		list = append(list, ids[at[1]])
	}
	return list
}

// replaceNode replaces a node's process with its successor. Both run concurrently during the handover.
func (r *rig) replaceNode(i int) {
	if r.terminating[i].Load() { // a process that has been asked to terminate is not replaced: it would be ended twice
		return
	}
	terminations := r.terminations[i].Load()
	if r.folders.folderMissing(i) { // the successor cannot learn the administrative overrides
		ids, _ := r.nodes.ServerIDs(r.infos[i].Tier)
		for _, id := range ids {
			r.overrides.recordEnabled(i, id)
		}
	}
	r.spawn(func() {
		if err := r.nodes.Replace(r.ctx, i); err != nil && r.terminations[i].Load() == terminations && !r.terminating[i].Load() {
			r.cancel(fmt.Errorf("upgrade: %w", err))
		}
	})
}

// killServers kills a process of servers and the nodes on their machine, as in a machine failure. folder is the state in
// which those nodes find their folders. If several faults keep the process down, only the first kills it.
func (r *rig) killServers(w *worker, folder string) {
	if w.activeFaults++; w.activeFaults > 1 {
		return
	}
	w.signal(syscall.SIGKILL)
	for n, id := range r.serverIDs(w) {
		r.serverGone(id)
		r.nodes.Record(blackbox.Event{Kind: blackbox.ServerDied, Server: id})
		for i, info := range r.infos {
			if info.HostID == id {
				r.folders.setNext(i, folder)
			}
		}
		r.killHosted(id)
		r.publishState(loopback.Message{Operation: loopback.OpEndpointState, Tier: w.servers[n][0], Index: w.servers[n][1],
			Health: loopback.HealthRemoved, Delay: r.scenario.Discovery.CrashDelay})
	}
}

// restartServers restarts a process of servers, each server once its node is ready. If several faults keep the process
// down, only the end of the last one restarts it.
func (r *rig) restartServers(w *worker) {
	if w.activeFaults--; w.activeFaults > 0 {
		return
	}
	r.spawn(func() {
		if _, err := w.start(loopback.Message{Down: true, StartTick: r.startTick, StartWall: r.startWall.UnixNano()}); err != nil {
			r.cancel(err)
			return
		}
		for _, at := range w.servers {
			change := model.Change{Kind: model.Start, Tier: at[0], Index: at[1], Class: -1}
			w.send(loopback.Message{Operation: loopback.OpChange, Change: &change})
		}
	})
}

// publishState updates a server's state in discovery's lists and in the rig's copy of them.
func (r *rig) publishState(m loopback.Message) {
	r.lists.update(m)
	r.discovery.send(m)
}
