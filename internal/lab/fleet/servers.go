// Boxes that are killed and come back while a scenario is played.

package fleet

import (
	"syscall"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/model"
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
		r.nodes.Note(blackbox.Event{What: blackbox.Down, Server: id})
		for n, info := range r.infos {
			if info.HostName == id {
				r.folders.met(n, folder)
			}
		}
		r.killHosted(id)
		r.tellList(loopback.Message{Do: loopback.DoLearn, Tier: at[0], Index: at[1], Health: "terminated", Wait: r.s.Discovery.Notice})
	}
}

func (r *rig) tellList(m loopback.Message) {
	r.lists.learn(m)
	r.discovery.tell(m)
}

// boxBack starts them again, cold, each once its node is ready; where several troubles have them down, after the last.
func (r *rig) boxBack(p *part) error {
	if p.downs--; p.downs > 0 {
		return nil
	}
	r.own(func() {
		if _, err := p.start(loopback.Message{Cold: true, Began: r.began, Wall: r.wall.UnixNano()}); err != nil {
			r.end(err)
			return
		}
		for _, at := range p.boxes {
			p.tell(loopback.Message{Do: loopback.DoChange, Change: &model.Change{What: model.Boot, Tier: at[0], Index: at[1], Class: -1}})
		}
	})
	return nil
}
