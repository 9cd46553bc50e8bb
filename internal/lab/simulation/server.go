package simulation

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// server is a server of the model, with the node through which it calls the next tier.
type server struct {
	*model.Server
	completionNumber uint64 // of the scheduled completion that counts; others are stale
	node             *node  // nil: the last tier
	brokenShare      float64
	tier             scenario.Tier
}

// addServers makes the servers of all tiers. Their drawn IDs say nothing of their kind, like the platform's.
func (w *World) addServers() {
	rng := model.Stream(w.scenario.Seed, "names", 0)
	for t, tier := range w.scenario.Tiers {
		var tierServers []*server
		for k := range tier.Kinds {
			for range tier.Kinds[k].Count {
				id := fmt.Sprintf("s-%08x", rng.Uint32())
				for w.byID[id] != nil {
					id = fmt.Sprintf("s-%08x", rng.Uint32())
				}
				s := &server{Server: model.NewServer(id, t, len(tierServers), &tier.Kinds[k], w.scenario.Rules), tier: tier}
				s.MeanWork = model.MeanWork(w.scenario, t)
				w.byID[id] = s
				tierServers = append(tierServers, s)
			}
		}
		w.servers = append(w.servers, tierServers)
	}
}

// addServerNodes makes the nodes through which servers call the next tier.
func (w *World) addServerNodes() {
	for t, tierServers := range w.servers[:len(w.servers)-1] {
		for i, s := range tierServers {
			s.node = w.newNode(fmt.Sprintf("%s/%s", w.scenario.Tiers[t].Name, s.ID), t+1, i, len(tierServers))
		}
	}
}

// crashServer ends a server, and its node with it. Discovery learns of a planned end at once.
func (w *World) crashServer(s *server, planned bool) {
	if s.State == model.Down {
		return
	}
	unreachable := s.Unreachable
	s.completionNumber++
	for _, j := range s.Stop() {
		v := j.Owner.(*visit)
		v.ended = true
		if !unreachable {
			v.attempt.record(blackbox.Event{Kind: blackbox.AttemptBroken})
			v.attempt.endAfter(w.jitter(w.scenario.Network.ServerLatency), balancer.ConnectionLost)
		}
	}
	if s.node != nil {
		s.node.kill()
	}
	delay := w.scenario.Discovery.CrashDelay
	if planned {
		delay = w.scenario.Discovery.DrainDelay
	}
	w.discovery.updateEndpoint(s, balancer.Removed, delay)
}

// startServer starts a server that is down, and its node with it.
func (w *World) startServer(s *server) {
	if s.State != model.Down {
		return
	}
	s.Start(w.now)
	w.record(blackbox.Event{Kind: blackbox.ServerStarted, Server: s.ID})
	if s.node != nil {
		s.node.start()
	}
	w.discovery.updateEndpoint(s, balancer.Ready, w.scenario.Discovery.AddDelay)
}

// crashOverloadedServer has a warming server fall over, and start again later.
func (w *World) crashOverloadedServer(s *server) {
	w.score.Overloads++
	w.crashServer(s, false)
	w.after(model.OverloadDowntime, func() { w.startServer(s) })
}

// scheduleCompletion schedules the server's next completion. It must follow each change of what the server works on.
func (w *World) scheduleCompletion(s *server) {
	s.completionNumber++
	at, ok := s.NextCompletion(w.now)
	if !ok {
		return
	}
	number := s.completionNumber
	w.at(at, func() {
		if s.completionNumber != number {
			return
		}
		for _, j := range s.Completed(w.now) {
			j.Owner.(*visit).stageDone()
		}
		w.scheduleCompletion(s)
	})
}

// How discovery lists the servers of a simulated world.
const (
	zone        = "benchland" // of all servers
	cellServers = 6           // that share a cell
)

// endpoint is how discovery lists the server when it is ready.
func (s *server) endpoint(index int) balancer.Server {
	return balancer.Server{ID: s.ID, Zone: zone, Kind: s.Kind.Name, Cell: index / cellServers}
}

// roundTrip is the time there and back over one hop.
func roundTrip(hop time.Duration) time.Duration { return 2 * hop }
