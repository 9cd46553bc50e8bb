package loopback

import (
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// What sockets add to limits of time: a box sees the end of a connection, and a client its answer, a moment after
// they were made, the more so where all of the world shares a few cores.
const (
	socketSlack = 100 * time.Millisecond
	noticing    = 100 * time.Millisecond
)

// facts brings what many goroutines see to one auditor and one score.
type facts struct {
	mu    sync.Mutex
	audit *checker.Auditor
	score *score.Score
	sends map[string]int // attempts by root
	tries map[attemptKey]int
	rec   *blackbox.Recorder // what is seen from outside; nil: not kept
}

type attemptKey struct{ node, id string }

func newFacts(s *scenario.Scenario) *facts {
	wide := *s
	wide.Rules.Slack += socketSlack
	f := &facts{audit: checker.New(&wide), score: score.New(s), sends: map[string]int{}, tries: map[attemptKey]int{}}
	f.audit.Overlap = noticing
	return f
}

func (f *facts) do(what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what()
}

// seen records an event, under the lock that keeps the order.
func (f *facts) seen(e blackbox.Event) { f.do(func() { f.rec.Note(e) }) }

func (f *facts) handshake(now time.Duration, box string) {
	f.do(func() {
		f.score.Handshakes++
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Conn, Server: box})
	})
}

// called is a call to discovery.
func (f *facts) called(now time.Duration, node string) {
	f.seen(blackbox.Event{At: now, What: blackbox.Call, Node: node})
}

func (f *facts) started(now time.Duration, name string, known roster) {
	f.do(func() {
		f.audit.NodeStarted(name)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Start, Node: name})
		for _, h := range known.Hosts {
			f.rec.Note(blackbox.Event{At: now, What: blackbox.Told, Node: name, Server: h.Host, Ready: h.Health == "in_service"})
			f.audit.Told(now, name, h.Host, h.Health == "in_service")
		}
	})
}

func (f *facts) killed(now time.Duration, name string) {
	f.do(func() {
		f.audit.NodeKilled(name)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Kill, Node: name})
	})
}

func (f *facts) stopped(now time.Duration, name string) {
	f.do(func() {
		f.audit.NodeStopped(now, name)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Exit, Node: name})
	})
}

// told is a list, or changes, that discovery has written. A node may use what it is told before the writer knows that
// it is written, so a server in service counts as told from before; that one is not counts from after.
// told notes what discovery has written to a life of a node, on one of its watches.
func (f *facts) told(before, now time.Duration, name, watch string, n roster) {
	f.do(func() {
		for _, h := range n.Hosts {
			at := now
			if h.Health == "in_service" {
				at = before
			}
			f.rec.Note(blackbox.Event{At: at, What: blackbox.Told, Node: name, ID: watch, Server: h.Host, Ready: h.Health == "in_service"})
			f.audit.Told(now, name, h.Host, h.Health == "in_service")
		}
	})
}

func (f *facts) taken(now time.Duration, node, id string, class int, deadline time.Duration) {
	f.do(func() {
		f.audit.Taken(now, node, id, class, deadline)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Ask, Node: node, ID: id, Class: class, Budget: deadline - now})
	})
}

// noAnswer is a call whose connection never came up: it was not taken, and nothing is owed.
func (f *facts) noAnswer(now time.Duration, node, id string) {
	f.do(func() {
		f.audit.Gone(now, node, id)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Left, Node: node, ID: id})
	})
}

func (f *facts) dropped(now time.Duration, node, id string, kept bool) {
	f.do(func() {
		f.audit.Dropped(now, node, id)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Cut, Node: node, ID: id, Ready: kept})
	})
}

// unread says that no attempt of a call has reached a box.
func (f *facts) unread(node, id string) (yes bool) {
	f.do(func() { yes = f.tries[attemptKey{node, id}] == 0 })
	return yes
}

func (f *facts) answered(now time.Duration, node, id string, status int, body string) {
	how := checker.Failed
	switch status {
	case 200:
		how = checker.Served
	case 429, 503:
		how = checker.Refused
	}
	f.do(func() {
		f.audit.Answered(now, node, id, how)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Got, Node: node, ID: id, Status: status, Body: body})
		delete(f.tries, attemptKey{node, id})
	})
}

// sent is an attempt that has reached a box; its number is returned.
func (f *facts) sent(now time.Duration, node, id, box, root string, work time.Duration) (number int) {
	f.do(func() {
		f.audit.Sent(now, node, id, box)
		f.rec.Note(blackbox.Event{At: now, What: blackbox.Reach, Node: node, ID: id, Server: box, Work: work})
		f.score.Attempts++
		f.sends[root]++
		key := attemptKey{node, id}
		number = f.tries[key]
		f.tries[key]++
	})
	return number
}

func (f *facts) ran(now time.Duration, node, id, box string) {
	f.do(func() { f.audit.Ran(now, node, id, box) })
}

func (f *facts) ended(now time.Duration, node, id string, number int, e balancer.Outcome) {
	f.do(func() { f.audit.Ended(now, node, id, number, e) })
}

func (f *facts) fell(now time.Duration, node, id, box string) {
	f.do(func() {
		f.audit.Fell(now, node, id, box)
		f.score.Fell++
	})
}

func (f *facts) visited(work time.Duration, wasted bool) {
	f.do(func() {
		f.score.Work += work
		if wasted {
			f.score.Wasted += work
		}
	})
}

func (f *facts) asked(at time.Duration, class, tenant int) {
	f.do(func() {
		f.score.Asked(at, class, tenant)
		f.rec.Note(blackbox.Event{At: at, What: blackbox.Wish, Class: class})
	})
}

func (f *facts) try() { f.do(func() { f.score.Tries++ }) }

func (f *facts) refused(at time.Duration) {
	f.do(func() {
		f.score.Refused(at)
		f.rec.Note(blackbox.Event{At: at, What: blackbox.Away})
	})
}

func (f *facts) over(r *root, took time.Duration, how score.End) {
	f.do(func() {
		id := strconv.Itoa(r.number)
		f.rec.Note(blackbox.Event{At: r.At + took, What: blackbox.Over, ID: id, Class: r.Class, Budget: took, Ready: how == score.Served})
		f.score.Over(r.At, took, r.Class, r.Tenant, f.sends[id], how)
		delete(f.sends, id)
	})
}
