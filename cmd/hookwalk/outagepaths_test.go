package main

import (
	"fmt"
	"testing"
	"time"
)

// Timing of the scenarios on the paths through an outage.
const (
	outageLoadBefore = 2500 * time.Millisecond // longer than the interval of the heartbeats
	longOutage       = 9 * time.Second         // longer than a lease, the delay of the scenario's other steps, and the grace period
)

// Guards against a node that rejects requests in an outage although its list is known to be current: it had a watch until
// the outage began, or took over from a process that had. It must serve all requests, also after a SIGHUP that names an
// address which refuses connections, too.
func TestConfirmedListServesThroughAnOutage(t *testing.T) {
	subtests := map[string]func(*testing.T){}
	paths := map[string]func(*outageScenario){
		"nothing else":       func(*outageScenario) {},
		"upgraded":           (*outageScenario).upgrade,
		"upgraded twice":     func(s *outageScenario) { s.upgrade(); time.Sleep(time.Second); s.upgrade() },
		"address that fails": func(s *outageScenario) { s.reload(s.discovery.newAddress) },
	}
	for _, mode := range []string{"on_request", "pushed"} {
		for name, path := range paths {
			subtests[mode+"/"+name] = func(t *testing.T) {
				s := newOutageScenario(t, mode)
				s.start()
				stop := s.load()
				time.Sleep(outageLoadBefore)
				s.discovery.set(refusing)
				down := s.now()
				time.Sleep(2 * time.Second)
				path(s)
				time.Sleep(down + longOutage - s.now())
				stop()
				s.checkAnswers(0, s.now())
				s.logAnswers(down)
			}
		}
	}
	runAtOnce(t, subtests)
}

// Guards against a process that takes over a list which its predecessor could not rely on: its refused polls must not renew
// the lease. Before the outage discovery has the drain of a server and is reachable, but sends nothing.
func TestInheritedListIsNotRenewedByAnOutage(t *testing.T) {
	subtests := map[string]func(*testing.T){}
	for _, mode := range []string{"on_request", "pushed"} {
		for name, startedInOutage := range map[string]bool{"running before": false, "started in the outage": true} {
			subtests[mode+"/"+name] = func(t *testing.T) {
				s := newOutageScenario(t, mode)
				s.start()
				stop := s.load()
				time.Sleep(outageLoadBefore)
				s.discovery.set(silentUp)
				s.discovery.drain("terminating")
				if startedInOutage {
					s.known = s.listWithoutDrain
					endProcess(s.process)
				}
				time.Sleep(time.Second)
				s.discovery.set(refusing)
				down := s.now()
				time.Sleep(500 * time.Millisecond)
				if startedInOutage {
					s.start()
				}
				time.Sleep(500 * time.Millisecond)
				s.upgrade()
				time.Sleep(time.Second)
				s.upgrade()
				time.Sleep(down + longOutage - s.now())
				stop()
				s.checkDrain()
				s.checkAnswers(0, 0)
				s.logAnswers(down)
			}
		}
	}
	runAtOnce(t, subtests)
}

// Guards against two outages taken for one: discovery returns for a short time, in which a server begins to drain, and sends
// nothing, half of a list, or the list. A node must not send to that server after it counts as notified, also if it was
// started between the two outages.
func TestDrainDuringAShortReturnOfDiscovery(t *testing.T) {
	subtests := map[string]func(*testing.T){}
	states := map[string]outageState{"nothing": silentUp, "half of a list": halfLists, "list": answering}
	for _, mode := range []string{"on_request", "pushed"} {
		for name, state := range states {
			for restarted, returned := range map[bool]time.Duration{false: 100 * time.Millisecond, true: 700 * time.Millisecond} {
				subtests[fmt.Sprintf("%s/%s/%v/restarted %v", mode, name, returned, restarted)] = func(t *testing.T) {
					s := newOutageScenario(t, mode)
					s.start()
					stop := s.load()
					time.Sleep(outageLoadBefore)
					s.discovery.set(refusing)
					time.Sleep(1700 * time.Millisecond)
					s.discovery.set(state)
					s.discovery.drain("terminating")
					time.Sleep(returned / 2)
					if restarted {
						s.known = s.listWithoutDrain
						endProcess(s.process)
						s.launch()
					}
					time.Sleep(returned / 2)
					s.discovery.set(refusing)
					down := s.now()
					time.Sleep(longOutage)
					stop()
					s.checkDrain()
					s.checkAnswers(0, 0)
					s.logAnswers(down)
				}
			}
		}
	}
	runAtOnce(t, subtests)
}

// Guards against a lease that outlives a SIGHUP to an address that answers: the node counts as notified of what discovery has
// there, and must serve all requests soon after the list has arrived.
func TestAddressThatAnswersEndsAnOutage(t *testing.T) {
	subtests := map[string]func(*testing.T){}
	for _, mode := range []string{"on_request", "pushed"} {
		for name, restarted := range map[string]bool{"running before": false, "started in the outage": true} {
			subtests[mode+"/"+name] = func(t *testing.T) {
				s := newOutageScenario(t, mode)
				s.start()
				stop := s.load()
				time.Sleep(outageLoadBefore)
				if restarted {
					s.kill()
				}
				s.discovery.drain("terminating")
				time.Sleep(500 * time.Millisecond)
				s.discovery.set(refusing)
				time.Sleep(time.Second)
				if restarted {
					s.start()
				}
				time.Sleep(2 * time.Second)
				s.discovery.move()
				s.reload(s.discovery.newAddress)
				moved := s.now()
				time.Sleep(6 * time.Second)
				stop()
				s.checkDrain()
				s.checkAnswers(moved+time.Second, s.now())
				s.logAnswers(moved)
			}
		}
	}
	runAtOnce(t, subtests)
}
