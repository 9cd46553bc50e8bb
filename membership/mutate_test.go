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

// world plays several nodes' views in virtual time: announcements go over a network of links that can be cut, and the
// detector's reports come from who runs and who reaches whom. Every message has a number; one of them may be changed.
type world struct {
	t       time.Duration
	nodes   map[string]*node
	names   []string
	queue   []delivery
	sent    int // messages so far
	early   int // and so many by changedBy
	settled bool
	change  mutation
	cut     map[string]bool
	broken  []string
	off     guard
	reports int
	excused Incarnation              // the one whose end, as it was, is the message that is changed: it may be believed until the detector speaks again
	apart   map[string]time.Duration // when one was last out of another's reach
}

type node struct {
	*Members
	name, site string
	run        int // number of the process
	disk       uint64
	up         bool
	asleep     time.Duration // until then
	woke       time.Duration // the last time; no announcement has come since while >0
	raises     int
	seen, lost map[string]Incarnation // what it has been told by the detector of each other node
	starts     map[string]uint64
}

type delivery struct {
	at  time.Duration
	to  string
	run int
	e   Event
	n   int
}

// mutation is what becomes of one message.
type mutation struct {
	n   int
	how string
}

var ways = []string{"dropped", "doubled", "doubled late", "held past the next", "held past a restart", "to another", "of the incarnation before",
	"of an incarnation to come", "of another site", "of no site", "number at its end", "other views", "no views", "claims the receiver", "claims another", "cut short"}

var tree = Tree{"dc": "", "okanagan": "dc"}

func newWorld(change mutation, off guard) *world {
	w := &world{nodes: map[string]*node{}, change: change, cut: map[string]bool{}, apart: map[string]time.Duration{}, off: off}
	for name, site := range map[string]string{"r1": "dc", "r2": "dc", "r3": "dc", "a1": "okanagan", "a2": "okanagan", "a3": "okanagan"} {
		w.nodes[name] = &node{name: name, site: site, disk: 0}
		w.names = append(w.names, name)
	}
	slices.Sort(w.names)
	return w
}

func (w *world) start(name string, disk uint64) {
	n := w.nodes[name]
	n.run++
	n.disk = disk + 1
	me := Incarnation{name, n.disk, uint64(n.run)*1000 + uint64(slices.Index(w.names, name))}
	m, err := New(me, n.site, tree, DefaultLimits(), uint64(n.run))
	if err != nil {
		panic(err)
	}
	m.disabled = w.off
	n.Members, n.up, n.raises, n.starts, n.woke = m, true, 0, map[string]uint64{}, 0
	n.seen, n.lost = map[string]Incarnation{}, map[string]Incarnation{}
	w.step(n, Tick{})
}

// step gives an event to a node and carries out what it answers.
func (w *world) step(n *node, e Event) {
	if h, ok := e.(AnnouncementReceived); ok && n.woke > 0 && h.From.Name != n.name {
		n.woke = -n.woke
	}
	for _, a := range n.Step(w.t, e) {
		switch a := a.(type) {
		case Broadcast:
			for _, to := range w.names {
				if to != n.name && w.reach(n.name, to) {
					w.send(delivery{w.t + time.Duration(20+7*len(to)+3*slices.Index(w.names, to))*time.Millisecond, to, w.nodes[to].run, AnnouncementReceived(a), 0})
				}
			}
		case Refute:
			n.disk = a.Start
			n.raises++
			if n.raises > 3 {
				w.fault("%s has raised its number %d times", n.name, n.raises)
			}
		}
	}
	for name, h := range n.announcements {
		if k := n.members[name]; k == nil || k.Incarnation != h.From {
			w.fault("%s counts an announcement of %s, start %d, which does not run", n.name, name, h.From.Start)
		}
	}
	if n.LocalState() == Agreed && n.woke > 0 {
		w.fault("%s agrees though it has heard nobody since it woke", n.name)
		n.woke = 0
	}
	for _, k := range n.members {
		if k.Start < n.starts[k.Name] && n.starts[k.Name] <= w.nodes[k.Name].Local().Start { // one that never was is no start
			w.fault("%s takes %s back from start %d to %d", n.name, k.Name, n.starts[k.Name], k.Start)
		}
		n.starts[k.Name] = k.Start
		if o := w.nodes[k.Name]; k.State == Failed && k.Incarnation == o.Local() && k.Incarnation != w.excused && o.up && w.t >= o.asleep && w.t-w.apart[n.name+k.Name] > 3*time.Second {
			w.fault("%s calls %s failed, which it reaches", n.name, k.Name)
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.t)+fmt.Sprintf(format, args...))
}

func (w *world) reach(a, b string) bool {
	return w.nodes[a].up && w.nodes[b].up && !w.cut[a+b]
}

// send puts a message under way, changed if it is the one.
func (w *world) send(d delivery) {
	w.sent++
	d.n = w.sent
	if d.n != w.change.n {
		w.queue = append(w.queue, d)
		return
	}
	later := func(d delivery, by time.Duration) {
		d.at += by
		w.queue = append(w.queue, d)
	}
	if lost, ok := d.e.(NodeDead); ok {
		w.excused = lost.Incarnation
	}
	announcement, isAnnouncement := d.e.(AnnouncementReceived)
	incarnation := func(f func(*Incarnation)) {
		switch e := d.e.(type) {
		case AnnouncementReceived:
			f(&e.From)
			d.e = e
		case NodeAlive:
			f(&e.Incarnation)
			d.e = e
		case NodeDead:
			f(&e.Incarnation)
			d.e = e
		}
	}
	switch w.change.how {
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
		d.run = 0 // whichever runs then
		later(d, 4*time.Second)
		return
	case "to another":
		d.to = w.names[(slices.Index(w.names, d.to)+1)%len(w.names)]
		d.run = 0
	case "of the incarnation before":
		incarnation(func(l *Incarnation) { l.Start, l.Nonce = l.Start-1, l.Nonce-1000 })
	case "of an incarnation to come":
		incarnation(func(l *Incarnation) { l.Start, l.Nonce = l.Start+1, l.Nonce+1000 })
	case "number at its end":
		incarnation(func(l *Incarnation) { l.Start = 1<<64 - 1 })
	case "of another site", "of no site":
		site := map[string]string{"of another site": "okanagan", "of no site": "nowhere"}[w.change.how]
		switch e := d.e.(type) {
		case AnnouncementReceived:
			e.Site = site
			d.e = e
		case NodeAlive:
			e.Site = site
			d.e = e
		}
	case "other views", "no views", "claims the receiver", "claims another", "cut short":
		if !isAnnouncement {
			break
		}
		switch w.change.how {
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
		d.e = announcement
	}
	w.queue = append(w.queue, d)
}

// detect has each node told by its detector of whom it reaches, and, after a while, whom it does not.
func (w *world) detect() {
	w.reports++
	for _, a := range w.names {
		n := w.nodes[a]
		if !n.up || w.t < n.asleep {
			continue
		}
		for _, b := range w.names {
			o := w.nodes[b]
			if a == b || o.Members == nil {
				continue
			}
			known, met := n.seen[b]
			reached := w.reach(a, b) && w.reach(b, a) && w.t >= o.asleep
			if !reached {
				w.apart[a+b] = w.t
			}
			switch {
			case reached && (!met || known != o.Local() || w.reports%4 == 0): // and again, as it stands
				n.seen[b] = o.Local()
				w.send(delivery{w.t + 30*time.Millisecond, a, n.run, NodeAlive{o.Local(), o.site}, 0})
			case !reached && met:
				delete(n.seen, b)
				n.lost[b] = known
				w.send(delivery{w.t + 1500*time.Millisecond, a, n.run, NodeDead{known, false}, 0})
			case !reached && n.lost[b].Name != "" && w.reports%4 == 0:
				w.send(delivery{w.t + 30*time.Millisecond, a, n.run, NodeDead{n.lost[b], false}, 0})
			}
		}
	}
}

// course is what happens to the world, by half seconds: a death, a return with a number that has gone back, a node that is
// cut off, a stall.
func (w *world) course(half int) {
	switch half {
	case 0, 1, 2, 3, 4, 5:
		w.start(w.names[half], 5)
	case 8:
		w.nodes["a2"].up = false
	case 14:
		w.start("a2", 3) // the disk went back by two
	case 20, 28:
		for _, o := range w.names {
			w.cut["a1"+o], w.cut[o+"a1"] = half == 20, half == 20
		}
	case 32:
		n := w.nodes["r1"]
		n.asleep = w.t + 3*time.Second
	case 38:
		n := w.nodes["r1"]
		n.asleep, n.woke = 0, w.t
		w.step(n, Stalled{3 * time.Second})
	}
}

const (
	courseLen = 65 // half seconds
	settledBy = 19 // who came back at 14 with an old number agrees, if no message is changed
	changedBy = 42 // messages until then are changed, one in each course,
	agreesBy  = 64 // and all is well again by then
)

// run plays the course and says what was broken.
func (w *world) run() []string {
	for half := range courseLen {
		until := time.Duration(half+1) * 500 * time.Millisecond
		w.t = time.Duration(half) * 500 * time.Millisecond
		w.course(half)
		w.detect()
		for _, name := range w.names {
			if n := w.nodes[name]; n.up && w.t >= n.asleep {
				w.step(n, Tick{})
			}
		}
		for {
			next := -1
			for i, d := range w.queue {
				if d.at < until && (next < 0 || d.at < w.queue[next].at) {
					next = i
				}
			}
			if next < 0 {
				break
			}
			d := w.queue[next]
			w.queue = slices.Delete(w.queue, next, next+1)
			w.t = max(w.t, d.at)
			n := w.nodes[d.to]
			if n.Members == nil || !n.up || d.run != 0 && d.run != n.run {
				continue
			}
			if w.t < n.asleep { // it is read when it wakes
				d.at = n.asleep
				w.queue = append(w.queue, d)
				continue
			}
			w.step(n, d.e)
		}
		if half >= 27 && half < 28 && w.nodes["a1"].LocalState() == Agreed {
			w.fault("a1 agrees while it is cut off")
		}
		switch half {
		case settledBy:
			w.settled = w.nodes["a2"].LocalState() == Agreed
		case changedBy:
			w.early = w.sent
		case agreesBy:
			w.judge()
		}
	}
	return w.broken
}

// judge wants all of one mind, and nobody called what it is not.
func (w *world) judge() {
	for _, a := range w.names {
		n := w.nodes[a]
		if n.LocalState() != Agreed {
			w.fault("%s is %v at the end", a, n.LocalState())
		}
		list := n.List()
		if len(list) != len(w.names)-1 {
			w.fault("%s knows %d others", a, len(list))
		}
		for _, k := range list {
			if o := w.nodes[k.Name]; o == nil || k.State != Alive || k.Incarnation != o.Local() {
				w.fault("%s has %s as %v, start %d", a, k.Name, k.State, k.Start)
			}
		}
	}
}

// The course as it is keeps all that is promised.
func TestCourse(t *testing.T) {
	w := newWorld(mutation{}, 0)
	for _, b := range w.run() {
		t.Error(b)
	}
	if !w.settled {
		t.Error("who came back with an old number does not agree 2.5 s later")
	}
	if w.sent < 200 {
		t.Errorf("%d messages", w.sent)
	}
	if n := w.nodes["a2"]; n.raises != 1 || n.Local().Start != 7 {
		t.Errorf("a2 came back with an old number and is start %d after %d raises", n.Local().Start, n.raises)
	}
}

// mutants plays the course once for each message and each way to change it, and gives those that broke something.
func mutants(off guard, stop bool) (played int, broken []string) {
	base := newWorld(mutation{}, off)
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
				w := newWorld(j.mutation, off)
				if b := w.run(); len(b) > 0 {
					found <- fmt.Sprintf("message %d %s: %s", j.n, j.how, b[0])
					over.Store(stop)
				}
			}
		})
	}
	stride := 5 // what CI plays, with the race detector
	if os.Getenv("HOOKWALK_MUTANTS") == "all" {
		stride = 1
	}
	for n := 1; n <= base.early && !over.Load(); n += stride {
		for _, how := range ways {
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
func TestOneMessageChanged(t *testing.T) {
	played, broken := mutants(0, false)
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
	own := map[guard]func(guard) bool{guardExpired: falls, guardRefute: func(off guard) bool {
		w := newWorld(mutation{}, off)
		w.run()
		return !w.settled // its peers wait until they take the incarnation before for failed
	}}
	for n := range guards {
		g := guard(1) << n
		if course := own[g]; course != nil {
			if course(0) || !course(g) {
				t.Errorf("guard %d: its course shows nothing", n)
			}
		} else if _, broken := mutants(g, true); len(broken) == 0 {
			t.Errorf("guard %d: no course shows what it is for", n)
		} else {
			t.Logf("guard %d: %s", n, broken[0])
		}
	}
}

// falls says that a node goes on to agree by the announcements of others that the detector still has, but that have long
// been silent: what their view is by now, nobody knows.
func falls(off guard) bool {
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
