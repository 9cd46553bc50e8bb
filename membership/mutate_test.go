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

// simulation plays several nodes' views in virtual time: announcements go over a network of links that can be cut, and the
// detector's reports come from who runs and who reaches whom. Every message has a number; one of them may be changed.
type simulation struct {
	now                    time.Duration
	nodes                  map[string]*node
	names                  []string
	queue                  []delivery
	sent                   int // messages so far
	sentUntilMutationEnd   int // and so many by changedBy
	rejoinedInTime         bool
	mutation               mutation
	cutLinks               map[string]bool
	violations             []string
	disabledGuards         guard
	detectorRounds         int
	reportedDeadByMutation Incarnation              // the one whose end, as it was, is the message that is changed: it may be believed until the detector speaks again
	lastUnreachable        map[string]time.Duration // when one was last out of another's reach
}

type node struct {
	*Members
	name, site                  string
	process                     int // number of the process
	storedStart                 uint64
	running                     bool
	stalledUntil                time.Duration // until then
	resumedAt                   time.Duration // the last time; no announcement has come since while >0
	refutations                 int
	reportedAlive, reportedDead map[string]Incarnation // what it has been told by the detector of each other node
	highestStart                map[string]uint64
}

type delivery struct {
	deliverAt time.Duration
	to        string
	process   int
	event     Event
	number    int
}

// mutation is what becomes of one message.
type mutation struct {
	number int
	kind   string
}

var mutationKinds = []string{"dropped", "doubled", "doubled late", "held past the next", "held past a restart", "to another", "of the incarnation before",
	"of an incarnation to come", "of another site", "of no site", "number at its end", "other views", "no views", "claims the receiver", "claims another", "cut short"}

var tree = Tree{"dc": "", "okanagan": "dc"}

func newSimulation(change mutation, off guard) *simulation {
	w := &simulation{nodes: map[string]*node{}, mutation: change, cutLinks: map[string]bool{}, lastUnreachable: map[string]time.Duration{}, disabledGuards: off}
	for name, site := range map[string]string{"r1": "dc", "r2": "dc", "r3": "dc", "a1": "okanagan", "a2": "okanagan", "a3": "okanagan"} {
		w.nodes[name] = &node{name: name, site: site, storedStart: 0}
		w.names = append(w.names, name)
	}
	slices.Sort(w.names)
	return w
}

func (w *simulation) start(name string, disk uint64) {
	n := w.nodes[name]
	n.process++
	n.storedStart = disk + 1
	me := Incarnation{name, n.storedStart, uint64(n.process)*1000 + uint64(slices.Index(w.names, name))}
	m, err := New(me, n.site, tree, DefaultLimits(), uint64(n.process))
	if err != nil {
		panic(err)
	}
	m.disabled = w.disabledGuards
	n.Members, n.running, n.refutations, n.highestStart, n.resumedAt = m, true, 0, map[string]uint64{}, 0
	n.reportedAlive, n.reportedDead = map[string]Incarnation{}, map[string]Incarnation{}
	w.step(n, Tick{})
}

// step gives an event to a node and carries out what it answers.
func (w *simulation) step(n *node, e Event) {
	if h, ok := e.(AnnouncementReceived); ok && n.resumedAt > 0 && h.From.Name != n.name {
		n.resumedAt = -n.resumedAt
	}
	for _, a := range n.Step(w.now, e) {
		switch a := a.(type) {
		case Broadcast:
			for _, to := range w.names {
				if to != n.name && w.linkUp(n.name, to) {
					w.send(delivery{w.now + time.Duration(20+7*len(to)+3*slices.Index(w.names, to))*time.Millisecond, to, w.nodes[to].process, AnnouncementReceived(a), 0})
				}
			}
		case Refute:
			n.storedStart = a.Start
			n.refutations++
			if n.refutations > 3 {
				w.addViolation("%s has raised its number %d times", n.name, n.refutations)
			}
		}
	}
	for name, h := range n.announcements {
		if k := n.members[name]; k == nil || k.Incarnation != h.From {
			w.addViolation("%s counts an announcement of %s, start %d, which does not run", n.name, name, h.From.Start)
		}
	}
	if n.LocalState() == Agreed && n.resumedAt > 0 {
		w.addViolation("%s agrees though it has heard nobody since it woke", n.name)
		n.resumedAt = 0
	}
	for _, k := range n.members {
		if k.Start < n.highestStart[k.Name] && n.highestStart[k.Name] <= w.nodes[k.Name].Local().Start { // one that never was is no start
			w.addViolation("%s takes %s back from start %d to %d", n.name, k.Name, n.highestStart[k.Name], k.Start)
		}
		n.highestStart[k.Name] = k.Start
		if o := w.nodes[k.Name]; k.State == Failed && k.Incarnation == o.Local() && k.Incarnation != w.reportedDeadByMutation && o.running && w.now >= o.stalledUntil && w.now-w.lastUnreachable[n.name+k.Name] > 3*time.Second {
			w.addViolation("%s calls %s failed, which it reaches", n.name, k.Name)
		}
	}
}

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) linkUp(a, b string) bool {
	return w.nodes[a].running && w.nodes[b].running && !w.cutLinks[a+b]
}

// send puts a message under way, changed if it is the one.
func (w *simulation) send(d delivery) {
	w.sent++
	d.number = w.sent
	if d.number != w.mutation.number {
		w.queue = append(w.queue, d)
		return
	}
	later := func(d delivery, by time.Duration) {
		d.deliverAt += by
		w.queue = append(w.queue, d)
	}
	if lost, ok := d.event.(NodeDead); ok {
		w.reportedDeadByMutation = lost.Incarnation
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
	switch w.mutation.kind {
	case "dropped":
		return
	case "doubled":
		later(d, 0)
	case "doubled late":
		later(d, 4*time.Second)
	case "held past the next":
		later(d, 1500*time.Millisecond)
		return
	case "held past a restart":
		d.process = 0 // whichever runs then
		later(d, 4*time.Second)
		return
	case "to another":
		d.to = w.names[(slices.Index(w.names, d.to)+1)%len(w.names)]
		d.process = 0
	case "of the incarnation before":
		incarnation(func(l *Incarnation) { l.Start, l.Nonce = l.Start-1, l.Nonce-1000 })
	case "of an incarnation to come":
		incarnation(func(l *Incarnation) { l.Start, l.Nonce = l.Start+1, l.Nonce+1000 })
	case "number at its end":
		incarnation(func(l *Incarnation) { l.Start = 1<<64 - 1 })
	case "of another site", "of no site":
		site := map[string]string{"of another site": "okanagan", "of no site": "nowhere"}[w.mutation.kind]
		switch e := d.event.(type) {
		case AnnouncementReceived:
			e.Site = site
			d.event = e
		case NodeAlive:
			e.Site = site
			d.event = e
		}
	case "other views", "no views", "claims the receiver", "claims another", "cut short":
		if !isAnnouncement {
			break
		}
		switch w.mutation.kind {
		case "other views":
			announcement.Digests = map[string]uint64{"dc": 1, "okanagan": 2}
		case "no views":
			announcement.Digests = nil
		case "claims the receiver":
			announcement.Newer = []Incarnation{{d.to, 1<<64 - 1, 7}}
		case "claims another":
			announcement.Newer = []Incarnation{{"a2", 1<<64 - 1, 7}, {"r1", 1 << 40, 7}}
		default:
			announcement.Announcement = Announcement{From: announcement.From}
		}
		d.event = announcement
	}
	w.queue = append(w.queue, d)
}

// runDetectors has each node told by its detector of whom it reaches, and, after a while, whom it does not.
func (w *simulation) runDetectors() {
	w.detectorRounds++
	for _, a := range w.names {
		n := w.nodes[a]
		if !n.running || w.now < n.stalledUntil {
			continue
		}
		for _, b := range w.names {
			o := w.nodes[b]
			if a == b || o.Members == nil {
				continue
			}
			known, met := n.reportedAlive[b]
			reached := w.linkUp(a, b) && w.linkUp(b, a) && w.now >= o.stalledUntil
			if !reached {
				w.lastUnreachable[a+b] = w.now
			}
			switch {
			case reached && (!met || known != o.Local() || w.detectorRounds%4 == 0): // and again, as it stands
				n.reportedAlive[b] = o.Local()
				w.send(delivery{w.now + 30*time.Millisecond, a, n.process, NodeAlive{o.Local(), o.site}, 0})
			case !reached && met:
				delete(n.reportedAlive, b)
				n.reportedDead[b] = known
				w.send(delivery{w.now + 1500*time.Millisecond, a, n.process, NodeDead{known, false}, 0})
			case !reached && n.reportedDead[b].Name != "" && w.detectorRounds%4 == 0:
				w.send(delivery{w.now + 30*time.Millisecond, a, n.process, NodeDead{n.reportedDead[b], false}, 0})
			}
		}
	}
}

// applyStep is what happens to the world, by half seconds: a death, a return with a number that has gone back, a node that is
// cut off, a stall.
func (w *simulation) applyStep(step int) {
	switch step {
	case 0, 1, 2, 3, 4, 5:
		w.start(w.names[step], 5)
	case 8:
		w.nodes["a2"].running = false
	case 14:
		w.start("a2", 3) // the disk went back by two
	case 20, 28:
		for _, o := range w.names {
			w.cutLinks["a1"+o], w.cutLinks[o+"a1"] = step == 20, step == 20
		}
	case 32:
		n := w.nodes["r1"]
		n.stalledUntil = w.now + 3*time.Second
	case 38:
		n := w.nodes["r1"]
		n.stalledUntil, n.resumedAt = 0, w.now
		w.step(n, Stalled{3 * time.Second})
	}
}

const (
	stepCount        = 65 // half seconds
	rejoinStep       = 19 // who came back at 14 with an old number agrees, if no message is changed
	lastMutationStep = 42 // messages until then are changed, one in each course,
	convergenceStep  = 64 // and all is well again by then
)

// run plays the course and says what was broken.
func (w *simulation) run() []string {
	for half := range stepCount {
		until := time.Duration(half+1) * 500 * time.Millisecond
		w.now = time.Duration(half) * 500 * time.Millisecond
		w.applyStep(half)
		w.runDetectors()
		for _, name := range w.names {
			if n := w.nodes[name]; n.running && w.now >= n.stalledUntil {
				w.step(n, Tick{})
			}
		}
		for {
			next := -1
			for i, d := range w.queue {
				if d.deliverAt < until && (next < 0 || d.deliverAt < w.queue[next].deliverAt) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			d := w.queue[next]
			w.queue = slices.Delete(w.queue, next, next+1)
			w.now = max(w.now, d.deliverAt)
			n := w.nodes[d.to]
			if n.Members == nil || !n.running || d.process != 0 && d.process != n.process {
				continue
			}
			if w.now < n.stalledUntil { // it is read when it wakes
				d.deliverAt = n.stalledUntil
				w.queue = append(w.queue, d)
				continue
			}
			w.step(n, d.event)
		}
		if half >= 27 && half < 28 && w.nodes["a1"].LocalState() == Agreed {
			w.addViolation("a1 agrees while it is cut off")
		}
		switch half {
		case rejoinStep:
			w.rejoinedInTime = w.nodes["a2"].LocalState() == Agreed
		case lastMutationStep:
			w.sentUntilMutationEnd = w.sent
		case convergenceStep:
			w.checkConverged()
		}
	}
	return w.violations
}

// checkConverged wants all of one mind, and nobody called what it is not.
func (w *simulation) checkConverged() {
	for _, a := range w.names {
		n := w.nodes[a]
		if n.LocalState() != Agreed {
			w.addViolation("%s is %v at the end", a, n.LocalState())
		}
		list := n.List()
		if len(list) != len(w.names)-1 {
			w.addViolation("%s knows %d others", a, len(list))
		}
		for _, k := range list {
			if o := w.nodes[k.Name]; o == nil || k.State != Alive || k.Incarnation != o.Local() {
				w.addViolation("%s has %s as %v, start %d", a, k.Name, k.State, k.Start)
			}
		}
	}
}

// The course as it is keeps all that is promised.
func TestScenarioWithoutMutation(t *testing.T) {
	w := newSimulation(mutation{}, 0)
	for _, b := range w.run() {
		t.Error(b)
	}
	if !w.rejoinedInTime {
		t.Error("who came back with an old number does not agree 2.5 s later")
	}
	if w.sent < 200 {
		t.Errorf("%d messages", w.sent)
	}
	if n := w.nodes["a2"]; n.refutations != 1 || n.Local().Start != 7 {
		t.Errorf("a2 came back with an old number and is start %d after %d raises", n.Local().Start, n.refutations)
	}
}

// runMutations plays the course once for each message and each way to change it, and gives those that broke something.
func runMutations(off guard, stop bool) (played int, broken []string) {
	base := newSimulation(mutation{}, off)
	if b := base.run(); len(b) > 0 {
		return 1, []string{"unchanged: " + b[0]}
	}
	type job struct{ mutation }
	jobs, found := make(chan job), make(chan string, 1<<16)
	var over atomic.Bool
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for j := range jobs {
				w := newSimulation(j.mutation, off)
				if b := w.run(); len(b) > 0 {
					found <- fmt.Sprintf("message %d %s: %s", j.number, j.kind, b[0])
					over.Store(stop)
				}
			}
		})
	}
	stride := 5 // what CI plays, with the race detector
	if os.Getenv("HOOKWALK_MUTANTS") == "all" {
		stride = 1
	}
	for n := 1; n <= base.sentUntilMutationEnd && !over.Load(); n += stride {
		for _, how := range mutationKinds {
			jobs <- job{mutation{n, how}}
			played++
		}
	}
	close(jobs)
	all.Wait()
	close(found)
	for f := range found {
		broken = append(broken, f)
	}
	slices.Sort(broken)
	return played, broken
}

// No single message, whatever becomes of it, makes a view go back, keeps nodes from agreeing, or has one agree too early.
func TestScenarioWithOneMutatedMessage(t *testing.T) {
	played, broken := runMutations(0, false)
	t.Logf("%d courses, each with one message changed", played)
	if played < 1000 {
		t.Errorf("%d courses", played)
	}
	for _, b := range broken[:min(len(broken), 12)] {
		t.Error(b)
	}
	if len(broken) > 12 {
		t.Errorf("and %d more", len(broken)-12)
	}
}

// Each guard is there for something: without it some message, changed, does harm; or the course of its own below.
func TestEachGuardIsNeeded(t *testing.T) {
	own := map[guard]func(guard) bool{guardExpired: agreesOnExpiredAnnouncements, guardRefute: func(off guard) bool {
		w := newSimulation(mutation{}, off)
		w.run()
		return !w.rejoinedInTime // its peers wait until they take the incarnation before for failed
	}}
	for n := range guards {
		g := guard(1) << n
		if course := own[g]; course != nil {
			if course(0) || !course(g) {
				t.Errorf("guard %d: its course shows nothing", n)
			}
		} else if _, broken := runMutations(g, true); len(broken) == 0 {
			t.Errorf("guard %d: no course shows what it is for", n)
		} else {
			t.Logf("guard %d: %s", n, broken[0])
		}
	}
}

// agreesOnExpiredAnnouncements says that a node goes on to agree by the announcements of others that the detector still has, but that have long
// been silent: what their view is by now, nobody knows.
func agreesOnExpiredAnnouncements(off guard) bool {
	m, err := New(Incarnation{"r1", 1, 1}, "dc", tree, DefaultLimits(), 1)
	if err != nil {
		panic(err)
	}
	m.disabled = off
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
