// Boxes that are killed and come back while a scenario is played.

package fleet

import (
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/outside"
	"hookwalk.example/hookwalk/internal/lab/sockets"
)

// boxKill ends a process of boxes as a machine dies, with the nodes beside them.
func (r *rig) boxKill(p *part, folder string) {
	if p.downs++; p.downs > 1 { // it is down already
		return
	}
	p.signal(syscall.SIGKILL)
	for _, at := range p.boxes {
		ids, _ := r.nodes.BoxNames(at[0])
		id := ids[at[1]]
		r.gone(id)
		r.nodes.Note(outside.Event{What: outside.Down, Server: id})
		for n, info := range r.infos {
			if info.HostName == id {
				r.folders.met(n, folder)
			}
		}
		r.killHosted(id)
		r.tellList(sockets.Message{Do: sockets.DoLearn, Tier: at[0], Index: at[1], Health: "terminated", Wait: r.s.Discovery.Notice})
	}
}

func (r *rig) tellList(m sockets.Message) {
	r.lists.learn(m)
	r.discovery.tell(m)
}

// boxBack starts them again, cold, each once its node is ready; where several troubles have them down, after the last.
func (r *rig) boxBack(p *part) error {
	if p.downs--; p.downs > 0 {
		return nil
	}
	r.own(func() {
		if _, err := p.start(sockets.Message{Cold: true, Began: r.began, Wall: r.wall.UnixNano()}); err != nil {
			r.end(err)
			return
		}
		for _, at := range p.boxes {
			p.tell(sockets.Message{Do: sockets.DoChange, Change: &model.Change{What: model.Boot, Tier: at[0], Index: at[1], Class: -1}})
		}
	})
	return nil
}
