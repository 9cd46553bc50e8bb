// Boxes that are killed and come back while a scenario is played.

package fleet

import (
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// killServers ends a process of boxes as a machine dies, with the nodes beside them.
func (r *rig) killServers(p *worker, folder string) {
	if p.activeFaults++; p.activeFaults > 1 { // it is down already
		return
	}
	p.signal(syscall.SIGKILL)
	for _, at := range p.servers {
		ids, _ := r.nodes.ServerIDs(at[0])
		id := ids[at[1]]
		r.serverGone(id)
		r.nodes.Record(blackbox.Event{Kind: blackbox.ServerDied, Server: id})
		for n, info := range r.infos {
			if info.HostID == id {
				r.folders.setNext(n, folder)
			}
		}
		r.killHosted(id)
		r.publishState(loopback.Message{Operation: loopback.OpEndpointState, Tier: at[0], Index: at[1], Health: "terminated", Delay: r.scenario.Discovery.CrashDelay})
	}
}

func (r *rig) publishState(m loopback.Message) {
	r.lists.update(m)
	r.discovery.send(m)
}

// restartServers starts them again, cold, each once its node is ready; where several troubles have them down, after the last.
func (r *rig) restartServers(p *worker) error {
	if p.activeFaults--; p.activeFaults > 0 {
		return nil
	}
	r.goOwned(func() {
		if _, err := p.start(loopback.Message{Down: true, StartTick: r.startTick, StartWall: r.startWall.UnixNano()}); err != nil {
			r.cancel(err)
			return
		}
		for _, at := range p.servers {
			p.send(loopback.Message{Operation: loopback.OpChange, Change: &model.Change{Kind: model.Start, Tier: at[0], Index: at[1], Class: -1}})
		}
	})
	return nil
}
