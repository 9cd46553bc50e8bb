package membership

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// simulation runs the views of several nodes in virtual time. Announcements travel over links that can be cut. The reports of
// the failure detectors follow from which nodes run and which links work. Messages are numbered, and one may be mutated.
type simulation struct {
	now                    time.Duration
	nodes                  map[string]*node
	names                  []string
	queue                  []delivery
	sent                   int // number of messages so far
	sentUntilMutationEnd   int // number of messages up to lastMutationStep
	rejoinedInTime         bool
	mutation               mutation
	cutLinks               map[string]bool
	violations             []string
	disabledGuards         guard
	detectorRounds         int
	reportedDeadByMutation Incarnation              // incarnation of the mutated NodeDead message: it may be considered failed
	lastUnreachable        map[string]time.Duration // by the names of two nodes: when the first last could not reach the second
}

// node is a simulated node.
type node struct {
	*Members
	name, site                  string
	process                     int // counts the starts of the node
	storedStart                 uint64
	running                     bool
	stalledUntil                time.Duration // end of the current stall
	resumedAt                   time.Duration // end of the last stall; negative once an announcement has been received after it
	refutations                 int
	reportedAlive, reportedDead map[string]Incarnation // by name: the last reports of the failure detector
	knownStart                  map[string]uint64      // by name: the start number in the view after the last step
}

// delivery is a message in transit.
type delivery struct {
	deliverAt time.Duration
	to        string
	process   int // of the receiver; 0: whichever runs at deliverAt
	event     Event
	number    int
}

// mutation describes how one message is changed. The zero value changes none.
type mutation struct {
	number int    // of the message
	kind   string // one of mutationKinds
}

// mutationKinds are the ways to change a message. A kind that does not apply to a message leaves it as it is.
var mutationKinds = []string{"dropped", "duplicated", "duplicated with a delay", "delayed past the next message", "delayed past a restart",
	"sent to another node", "of an earlier incarnation", "of a later incarnation", "of another site", "of an unknown site",
	"highest start number", "other digests", "no digests", "newer incarnation of the receiver", "newer incarnations of other nodes",
	"sender only"}

var tree = Tree{"dc": "", "okanagan": "dc"}

func newSimulation(m mutation, disabled guard) *simulation {
	s := &simulation{nodes: map[string]*node{}, mutation: m, cutLinks: map[string]bool{}, lastUnreachable: map[string]time.Duration{}, disabledGuards: disabled}
	for name, site := range map[string]string{"r1": "dc", "r2": "dc", "r3": "dc", "a1": "okanagan", "a2": "okanagan", "a3": "okanagan"} {
		s.nodes[name] = &node{name: name, site: site, storedStart: 0}
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	return s
}

// start starts a node whose last stored start number is storedStart.
func (s *simulation) start(name string, storedStart uint64) {
	n := s.nodes[name]
	n.process++
	n.storedStart = storedStart + 1
	local := Incarnation{name, n.storedStart, uint64(n.process)*1000 + uint64(slices.Index(s.names, name))}
	m, err := New(local, n.site, tree, DefaultLimits(), uint64(n.process))
	if err != nil {
		panic(err)
	}
	m.disabled = s.disabledGuards
	n.Members, n.running, n.refutations, n.knownStart, n.resumedAt = m, true, 0, map[string]uint64{}, 0
	n.reportedAlive, n.reportedDead = map[string]Incarnation{}, map[string]Incarnation{}
	s.step(n, Tick{})
}

// step passes an event to a node, carries out the actions, and checks the rules that hold at all times.
func (s *simulation) step(n *node, event Event) {
	if h, ok := event.(AnnouncementReceived); ok && n.resumedAt > 0 && h.From.Name != n.name {
		n.resumedAt = -n.resumedAt
	}
	for _, a := range n.Step(s.now, event) {
		switch a := a.(type) {
		case Broadcast:
			for _, to := range s.names {
				if to != n.name && s.canReach(n.name, to) {
					s.send(delivery{s.now + time.Duration(20+7*len(to)+3*slices.Index(s.names, to))*time.Millisecond, to, s.nodes[to].process, AnnouncementReceived(a), 0})
				}
			}
		case Refute:
			n.storedStart = a.Start
			n.refutations++
			if n.refutations > 3 {
				s.addViolation("%s has raised its start number %d times", n.name, n.refutations)
			}
		}
	}
	for name, h := range n.announcements {
		if k := n.members[name]; k == nil || k.Incarnation != h.From {
			s.addViolation("%s counts an announcement of %s with start number %d, which is not its known incarnation", n.name, name, h.From.Start)
		}
	}
	if n.LocalState() == Agreed && n.resumedAt > 0 {
		s.addViolation("%s is in agreement, but has received no announcement since its stall", n.name)
		n.resumedAt = 0
	}
	for _, k := range n.members {
		if k.Start < n.knownStart[k.Name] && n.knownStart[k.Name] <= s.nodes[k.Name].Local().Start { // a start number that never existed does not count
			s.addViolation("%s replaces its known incarnation of %s, start number %d, by an older one with %d", n.name, k.Name, n.knownStart[k.Name], k.Start)
		}
		n.knownStart[k.Name] = k.Start
		if o := s.nodes[k.Name]; k.State == Failed && k.Incarnation == o.Local() && k.Incarnation != s.reportedDeadByMutation && o.running && s.now >= o.stalledUntil && s.now-s.lastUnreachable[n.name+k.Name] > 3*time.Second {
			s.addViolation("%s reports %s as failed, although it can reach it", n.name, k.Name)
		}
	}
}

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// canReach reports whether both nodes run and messages from a reach b.
func (s *simulation) canReach(a, b string) bool {
	return s.nodes[a].running && s.nodes[b].running && !s.cutLinks[a+b]
}

// send queues a message, and mutates it if its number is that of the mutation.
func (s *simulation) send(d delivery) {
	s.sent++
	d.number = s.sent
	if d.number != s.mutation.number {
		s.queue = append(s.queue, d)
		return
	}
	later := func(d delivery, by time.Duration) {
		d.deliverAt += by
		s.queue = append(s.queue, d)
	}
	if lost, ok := d.event.(NodeDead); ok {
		s.reportedDeadByMutation = lost.Incarnation
	}
	announcement, isAnnouncement := d.event.(AnnouncementReceived)
	incarnation := func(f func(*Incarnation)) {
		switch e := d.event.(type) {
		case AnnouncementReceived:
			f(&e.From)
			d.event = e
		case NodeAlive:
			f(&e.Incarnation)
			d.event = e
		case NodeDead:
			f(&e.Incarnation)
			d.event = e
		}
	}
	switch s.mutation.kind {
	case "dropped":
		return
	case "duplicated":
		later(d, 0)
	case "duplicated with a delay":
		later(d, 4*time.Second)
	case "delayed past the next message":
		later(d, 1500*time.Millisecond)
		return
	case "delayed past a restart":
		d.process = 0
		later(d, 4*time.Second)
		return
	case "sent to another node":
		d.to = s.names[(slices.Index(s.names, d.to)+1)%len(s.names)]
		d.process = 0
	case "of an earlier incarnation":
		incarnation(func(l *Incarnation) { l.Start, l.Nonce = l.Start-1, l.Nonce-1000 })
	case "of a later incarnation":
		incarnation(func(l *Incarnation) { l.Start, l.Nonce = l.Start+1, l.Nonce+1000 })
	case "highest start number":
		incarnation(func(l *Incarnation) { l.Start = 1<<64 - 1 })
	case "of another site", "of an unknown site":
		site := map[string]string{"of another site": "okanagan", "of an unknown site": "nowhere"}[s.mutation.kind]
		switch e := d.event.(type) {
		case AnnouncementReceived:
			e.Site = site
			d.event = e
		case NodeAlive:
			e.Site = site
			d.event = e
		}
	case "other digests", "no digests", "newer incarnation of the receiver", "newer incarnations of other nodes", "sender only":
		if !isAnnouncement {
			break
		}
		switch s.mutation.kind {
		case "other digests":
			announcement.Digests = map[string]uint64{"dc": 1, "okanagan": 2}
		case "no digests":
			announcement.Digests = nil
		case "newer incarnation of the receiver":
			announcement.Newer = []Incarnation{{d.to, 1<<64 - 1, 7}}
		case "newer incarnations of other nodes":
			announcement.Newer = []Incarnation{{"a2", 1<<64 - 1, 7}, {"r1", 1 << 40, 7}}
		default:
			announcement.Announcement = Announcement{From: announcement.From}
		}
		d.event = announcement
	}
	s.queue = append(s.queue, d)
}

// runDetectors sends each running node the reports of its failure detector: nodes that it reaches, and, with a delay, nodes
// that it does not reach any more. Every fourth round repeats the reports.
func (s *simulation) runDetectors() {
	s.detectorRounds++
	for _, a := range s.names {
		n := s.nodes[a]
		if !n.running || s.now < n.stalledUntil {
			continue
		}
		for _, b := range s.names {
			o := s.nodes[b]
			if a == b || o.Members == nil {
				continue
			}
			known, met := n.reportedAlive[b]
			reached := s.canReach(a, b) && s.canReach(b, a) && s.now >= o.stalledUntil
			if !reached {
				s.lastUnreachable[a+b] = s.now
			}
			switch {
			case reached && (!met || known != o.Local() || s.detectorRounds%4 == 0):
				n.reportedAlive[b] = o.Local()
				s.send(delivery{s.now + 30*time.Millisecond, a, n.process, NodeAlive{o.Local(), o.site}, 0})
			case !reached && met:
				delete(n.reportedAlive, b)
				n.reportedDead[b] = known
				s.send(delivery{s.now + 1500*time.Millisecond, a, n.process, NodeDead{known, false}, 0})
			case !reached && n.reportedDead[b].Name != "" && s.detectorRounds%4 == 0:
				s.send(delivery{s.now + 30*time.Millisecond, a, n.process, NodeDead{n.reportedDead[b], false}, 0})
			}
		}
	}
}

// applyStep applies the scenario's changes for one step of half a second: a node fails and restarts with a start number that
// was reset, a node is cut off, and a process stalls.
func (s *simulation) applyStep(step int) {
	switch step {
	case 0, 1, 2, 3, 4, 5:
		s.start(s.names[step], 5)
	case 8:
		s.nodes["a2"].running = false
	case 14:
		s.start("a2", 3) // its stored start number was reset by two
	case 20, 28:
		for _, o := range s.names {
			s.cutLinks["a1"+o], s.cutLinks[o+"a1"] = step == 20, step == 20
		}
	case 32:
		n := s.nodes["r1"]
		n.stalledUntil = s.now + 3*time.Second
	case 38:
		n := s.nodes["r1"]
		n.stalledUntil, n.resumedAt = 0, s.now
		s.step(n, Stalled{3 * time.Second})
	}
}

const (
	stepCount        = 65 // steps of half a second
	rejoinStep       = 19 // the node that restarted at step 14 with a stale start number agrees, if no message is mutated
	lastMutationStep = 42 // the mutated message is one of those sent up to this step
	convergenceStep  = 64 // all views agree and are correct again
)

// run runs the scenario and returns the violations.
func (s *simulation) run() []string {
	for step := range stepCount {
		until := time.Duration(step+1) * 500 * time.Millisecond
		s.now = time.Duration(step) * 500 * time.Millisecond
		s.applyStep(step)
		s.runDetectors()
		for _, name := range s.names {
			if n := s.nodes[name]; n.running && s.now >= n.stalledUntil {
				s.step(n, Tick{})
			}
		}
		for {
			next := -1
			for i, d := range s.queue {
				if d.deliverAt < until && (next < 0 || d.deliverAt < s.queue[next].deliverAt) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			d := s.queue[next]
			s.queue = slices.Delete(s.queue, next, next+1)
			s.now = max(s.now, d.deliverAt)
			n := s.nodes[d.to]
			if n.Members == nil || !n.running || d.process != 0 && d.process != n.process {
				continue
			}
			if s.now < n.stalledUntil { // read after the stall
				d.deliverAt = n.stalledUntil
				s.queue = append(s.queue, d)
				continue
			}
			s.step(n, d.event)
		}
		if step >= 27 && step < 28 && s.nodes["a1"].LocalState() == Agreed {
			s.addViolation("a1 is in agreement while it is cut off")
		}
		switch step {
		case rejoinStep:
			s.rejoinedInTime = s.nodes["a2"].LocalState() == Agreed
		case lastMutationStep:
			s.sentUntilMutationEnd = s.sent
		case convergenceStep:
			s.checkConverged()
		}
	}
	return s.violations
}

// checkConverged checks that all nodes agree and that every view has the right state and incarnation of each other node.
func (s *simulation) checkConverged() {
	for _, a := range s.names {
		n := s.nodes[a]
		if n.LocalState() != Agreed {
			s.addViolation("%s is %v at the end", a, n.LocalState())
		}
		list := n.List()
		if len(list) != len(s.names)-1 {
			s.addViolation("%s knows %d other nodes", a, len(list))
		}
		for _, k := range list {
			if o := s.nodes[k.Name]; o == nil || k.State != Alive || k.Incarnation != o.Local() {
				s.addViolation("%s has %s in state %v with start number %d", a, k.Name, k.State, k.Start)
			}
		}
	}
}

// Without a mutation, the scenario violates no rule, and a node that restarts with a stale start number rejoins quickly.
func TestScenarioWithoutMutation(t *testing.T) {
	s := newSimulation(mutation{}, 0)
	for _, b := range s.run() {
		t.Error(b)
	}
	if !s.rejoinedInTime {
		t.Error("the node that restarted with a stale start number is not in agreement 2.5 s later")
	}
	if s.sent < 200 {
		t.Errorf("%d messages were sent, want at least 200", s.sent)
	}
	if n := s.nodes["a2"]; n.refutations != 1 || n.Local().Start != 7 {
		t.Errorf("a2 restarted with a stale start number: it has start number %d after %d refutations, want 7 after 1", n.Local().Start, n.refutations)
	}
}

// runMutations runs the scenario once for each message and each kind of mutation, and returns the mutations that caused a
// violation. By default it mutates every fifth message; with HOOKWALK_MUTANTS=all in the environment, every message.
func runMutations(disabled guard, stopAtFirst bool) (runs int, failures []string) {
	baseline := newSimulation(mutation{}, disabled)
	if b := baseline.run(); len(b) > 0 {
		return 1, []string{"without a mutation: " + b[0]}
	}
	type job struct{ mutation }
	jobs, found := make(chan job), make(chan string, 1<<16)
	var stopped atomic.Bool
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for j := range jobs {
				s := newSimulation(j.mutation, disabled)
				if b := s.run(); len(b) > 0 {
					found <- fmt.Sprintf("message %d %s: %s", j.number, j.kind, b[0])
					stopped.Store(stopAtFirst)
				}
			}
		})
	}
	stride := 5 // keeps the run short enough for CI, with the race detector
	if os.Getenv("HOOKWALK_MUTANTS") == "all" {
		stride = 1
	}
	for n := 1; n <= baseline.sentUntilMutationEnd && !stopped.Load(); n += stride {
		for _, kind := range mutationKinds {
			jobs <- job{mutation{n, kind}}
			runs++
		}
	}
	close(jobs)
	workers.Wait()
	close(found)
	for f := range found {
		failures = append(failures, f)
	}
	slices.Sort(failures)
	return runs, failures
}

// No mutation of a single message makes a view return to an older incarnation, prevents agreement, or makes a node agree too
// early.
func TestScenarioWithOneMutatedMessage(t *testing.T) {
	runs, failures := runMutations(0, false)
	t.Logf("%d runs, each with one mutated message", runs)
	if runs < 1000 {
		t.Errorf("%d runs, want at least 1000", runs)
	}
	for _, b := range failures[:min(len(failures), 12)] {
		t.Error(b)
	}
	if len(failures) > 12 {
		t.Errorf("and %d more", len(failures)-12)
	}
}

// Each guard is needed: with the guard disabled, a mutated message or the guard's dedicated scenario causes a violation.
func TestEachGuardIsNeeded(t *testing.T) {
	dedicated := map[guard]func(guard) bool{guardExpired: agreesOnExpiredAnnouncements, guardRefute: func(disabled guard) bool {
		s := newSimulation(mutation{}, disabled)
		s.run()
		return !s.rejoinedInTime // the peers wait until they consider the previous incarnation failed
	}}
	for n := range guards {
		g := guard(1) << n
		if scenario := dedicated[g]; scenario != nil {
			if scenario(0) || !scenario(g) {
				t.Errorf("guard %d: its dedicated scenario does not show that it is needed", n)
			}
		} else if _, broken := runMutations(g, true); len(broken) == 0 {
			t.Errorf("guard %d: no mutation shows that it is needed", n)
		} else {
			t.Logf("guard %d: %s", n, broken[0])
		}
	}
}

// agreesOnExpiredAnnouncements reports whether a node still agrees on the basis of expired announcements: the failure detector
// still reports the other nodes as alive, but they have been silent for so long that their views are unknown.
func agreesOnExpiredAnnouncements(disabled guard) bool {
	m, err := New(Incarnation{"r1", 1, 1}, "dc", tree, DefaultLimits(), 1)
	if err != nil {
		panic(err)
	}
	m.disabled = disabled
	for n, name := range []string{"r2", "r3"} {
		l := Incarnation{name, 1, uint64(n + 2)}
		m.Step(0, NodeAlive{l, "dc"})
	}
	for n, name := range []string{"r2", "r3"} {
		m.Step(time.Second, AnnouncementReceived{Announcement{From: Incarnation{name, 1, uint64(n + 2)}, Site: "dc", Digests: m.digests()}})
	}
	if m.LocalState() != Agreed {
		panic(m.LocalState())
	}
	m.Step(20*time.Second, Tick{})
	m.Step(25*time.Second, Tick{})
	return m.LocalState() == Agreed
}
