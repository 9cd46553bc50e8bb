package simulation

import (
	"fmt"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// server is a model.Server with the node through which it calls the next tier.
type server struct {
	*model.Server
	completionNumber uint64 // of the latest scheduled completion; earlier ones are ignored
	node             *node  // nil: the server is in the last tier
	brokenShare      float64
	tier             scenario.Tier
}

// addServers creates the servers of all tiers. Their IDs are random and do not reveal their kind, like those of the
// real platform.
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

// addServerNodes creates the nodes through which servers call the next tier.
func (w *World) addServerNodes() {
	for t, tierServers := range w.servers[:len(w.servers)-1] {
		for i, s := range tierServers {
			s.node = w.newNode(fmt.Sprintf("%s/%s", w.scenario.Tiers[t].Name, s.ID), t+1, i, len(tierServers))
		}
	}
}

// crashServer ends a server and its node. Discovery lists a planned end after DrainDelay, and any other after
// CrashDelay.
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

// startServer starts a server that is down, and its node.
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

// crashOverloadedServer crashes a warming server that is overloaded, and starts it again after OverloadDowntime.
func (w *World) crashOverloadedServer(s *server) {
	w.score.Overloads++
	w.crashServer(s, false)
	w.after(model.OverloadDowntime, func() { w.startServer(s) })
}

// scheduleCompletion schedules the server's next completion. It must be called after each change of the server's jobs
// or speed.
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

// Zone and cells of the servers in discovery's lists.
const (
	zone        = "benchland" // zone of all servers
	cellServers = 6           // number of servers in a cell
)

// endpoint returns the entry of a ready server in discovery's list.
func (s *server) endpoint(index int) balancer.Server {
	return balancer.Server{ID: s.ID, Zone: zone, Kind: s.Kind.Name, Cell: index / cellServers}
}

// roundTrip returns the round-trip time for a one-way latency.
func roundTrip(hop time.Duration) time.Duration { return 2 * hop }
