package main

import (
	"testing"
	"time"
)

// outageStart is a start of the node in an outage of discovery, after a server has begun to drain.
type outageStart struct {
	mode      string
	health    string        // of the server that drains; empty: it leaves the list
	reachable time.Duration // discovery has the drain and is up; 0: the server drains during the outage
	startedIn time.Duration // the start, counted from the beginning of the outage
	outage    time.Duration
	restarts  int // further kills in the outage, each restartAge after a start
	state     outageState
}

// restartAge is the age of a process that is killed again.
const restartAge = 2500 * time.Millisecond

// Time from discovery's return until all requests must be served.
const (
	recoveryAfterRefusal = 500 * time.Millisecond
	recoveryAfterSilence = 3500 * time.Millisecond // polls that failed are followed by up to 2.5 s without one
)

// Guards against this failure: a node that starts in an outage of discovery sends to a server that has drained before, for as
// long as the outage lasts, because each refused poll renewed the lease of a list that discovery had never confirmed to it.
func TestStartInAnOutageSendsNothingToADrainingServer(t *testing.T) {
	subtests := map[string]func(*testing.T){}
	for name, play := range map[string]outageStart{
		"polled":                  {mode: "on_request", health: "terminating", reachable: 2 * time.Second, startedIn: 800 * time.Millisecond, outage: 9 * time.Second},
		"polled, brief":           {mode: "on_request", health: "terminating", reachable: 500 * time.Millisecond, startedIn: 50 * time.Millisecond, outage: 9 * time.Second},
		"polled, long after":      {mode: "on_request", health: "terminating", reachable: 5 * time.Second, startedIn: 7 * time.Second, outage: 9 * time.Second},
		"polled, server gone":     {mode: "on_request", reachable: 2 * time.Second, startedIn: time.Second, outage: 9 * time.Second},
		"polled, killed again":    {mode: "on_request", health: "terminating", reachable: 2 * time.Second, startedIn: time.Second, outage: 10 * time.Second, restarts: 2},
		"polled, silent":          {mode: "on_request", health: "terminating", reachable: 5 * time.Second, startedIn: time.Second, outage: 6 * time.Second, state: silentUp},
		"polled, half of a list":  {mode: "on_request", health: "terminating", reachable: 5 * time.Second, startedIn: time.Second, outage: 6 * time.Second, state: halfLists},
		"pushed":                  {mode: "pushed", health: "terminating", reachable: 2 * time.Second, startedIn: 800 * time.Millisecond, outage: 6 * time.Second},
		"pushed, killed again":    {mode: "pushed", health: "terminating", reachable: 2 * time.Second, startedIn: time.Second, outage: 6 * time.Second, restarts: 2},
		"pushed, silent":          {mode: "pushed", health: "terminating", reachable: 2 * time.Second, startedIn: time.Second, outage: 6 * time.Second, state: silentUp},
		"polled, drain in outage": {mode: "on_request", health: "terminating", startedIn: time.Second, outage: 6 * time.Second},
		"pushed, drain in outage": {mode: "pushed", health: "terminating", startedIn: time.Second, outage: 6 * time.Second},
	} {
		subtests[name] = play.run
	}
	runAtOnce(t, subtests)
}

// run plays the start, and checks the requests to the draining server and the answers to clients.
func (p outageStart) run(t *testing.T) {
	if p.state == answering {
		p.state = refusing
	}
	s := newOutageScenario(t, p.mode)
	s.start()
	stop := s.load()
	time.Sleep(time.Second)
	s.kill()
	if p.reachable > 0 {
		s.discovery.drain(p.health)
		time.Sleep(p.reachable)
	}
	s.discovery.set(p.state)
	down := s.now()
	if p.reachable == 0 {
		s.discovery.drain(p.health)
	}
	time.Sleep(p.startedIn)
	s.start()
	started := s.now()
	for range p.restarts {
		time.Sleep(restartAge)
		endProcess(s.process)
		s.start()
	}
	time.Sleep(down + p.outage - s.now())
	s.discovery.set(answering)
	up := s.now()
	recovery := recoveryAfterRefusal
	if p.state != refusing {
		recovery = recoveryAfterSilence
	}
	time.Sleep(recovery + time.Second)
	stop()
	s.checkDrain()
	s.checkAnswers(up+recovery, up+recovery+time.Second)
	s.logAnswers(down)
	t.Logf("ready %v after the beginning of the outage; first served %v after its end", started-down, s.firstServedAfter(up))
}
