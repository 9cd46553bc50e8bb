// Package blackbox holds a history to the promises of a node by what can be seen without looking into one: what
// clients sent and got, what servers got and answered, what discovery wrote, and the signals that processes got. It
// feeds the lab's auditor. Two of the auditor's facts are a node's own in virtual time, the decision to send and what
// the node was told of an attempt's end: here an attempt is what reached a server, and its end is what that server did
// or saw. Two are new: a cold server's load is reckoned from what reached it, and an answer is compared with what
// servers sent for its request.
package blackbox

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// What happened.
const (
	Start = "start" // a node's process begins, knowing nothing but what is told from here on
	Kill  = "kill"  // it is ended from outside, at once
	Term  = "term"  // it is asked to end
	Exit  = "exit"  // it has ended by itself
	Told  = "told"  // discovery has written to the node, or the node counts as told, whether a server is ready
	Ask   = "ask"   // a client has written the last byte of a request
	Got   = "got"   // a client has the last byte of an answer
	Cut   = "cut"   // a client's connection ended without a whole answer
	Left  = "left"  // a client has closed its connection
	Reach = "reach" // a server has the last byte of a request
	Reply = "reply" // it has answered it
	Broke = "broke" // it has ended the connection without an answer, or its process died
	Given = "given" // it saw the node close the connection: the attempt was given up
	Boot  = "boot"  // its process has started, cold
	Heir  = "heir"  // another process of the node has said yes beside it, and goes on when this one exits
	Hand  = "hand"  // the node has said yes to an operator who takes a server out, or back if it is ready
	End   = "end"   // nothing is recorded after

	// Where the world's parts are processes of their own:
	Down   = "down"   // a server's process has died, with all that was out at it
	Stall  = "stall"  // a node's or a server's process is stopped, and its machine goes on
	Resume = "resume" // and runs again
	Deaf   = "deaf"   // what discovery writes to the node, on one watch of its or on all, does not arrive from now on; ready: its end will be seen
	Hears  = "hears"  // and from now on it does; ready: on the connection that it has had all along; else it gave that one up Budget ago
	Hold   = "hold"   // what goes between the node and the server is held up
	Free   = "free"   // and arrives, what was held at first
	Mute   = "mute"   // what goes between clients and the node is held up
	Speak  = "speak"  // and arrives
	Sever  = "sever"  // connections between clients and the node are reset, by neither

	// For reports; no rule is about them.
	Conn = "conn" // a connection has come up at a server
	Call = "call" // a node has called discovery
	Away = "away" // a client's try was turned away
	Wish = "wish" // a client's first try
	Late = "late" // a process of the rig was late by Budget: the machine is too slow, or the process was stopped
	Over = "over" // its end: Budget after the first try, Ready if it was served
)

// Event is something that was seen.
type Event struct {
	At     time.Duration `json:"at"`
	What   string        `json:"what"`
	Node   string        `json:"node,omitempty"`
	ID     string        `json:"id,omitempty"`
	Server string        `json:"server,omitempty"`
	Ready  bool          `json:"ready,omitempty"`  // told; cut: the connection had carried a request before
	Class  int           `json:"class,omitempty"`  // ask
	Budget time.Duration `json:"budget,omitempty"` // ask
	Work   time.Duration `json:"work,omitempty"`   // reach
	Status int           `json:"status,omitempty"` // got, reply
	Never  bool          `json:"never,omitempty"`  // reply: turned away
	Body   string        `json:"body,omitempty"`   // got, reply: tells one answer from another; "": not recorded
}

// Head is the first line of a history: the rules and the world that they are about.
type Head struct {
	Rules   scenario.Rules           `json:"rules"`
	Classes []scenario.Class         `json:"classes"`
	Kinds   map[string]scenario.Kind `json:"kinds"`   // of servers, by id
	Means   map[string]time.Duration `json:"means"`   // work of a request there
	Overlap time.Duration            `json:"overlap"` // how late a server may notice what a node does
}

// HeadOf is the head of a history of a scenario, without servers.
func HeadOf(s *scenario.Scenario, overlap time.Duration) Head {
	return Head{Rules: s.Rules, Classes: s.Classes, Kinds: map[string]scenario.Kind{}, Means: map[string]time.Duration{}, Overlap: overlap}
}

// Recorder writes a history, from any goroutine. A nil Recorder writes nothing.
type Recorder struct {
	mu  sync.Mutex
	out *json.Encoder
	err error
}

// NewRecorder begins a history.
func NewRecorder(w io.Writer, h Head) *Recorder {
	r := &Recorder{out: json.NewEncoder(w)}
	r.err = r.out.Encode(h)
	return r
}

// Note adds an event.
func (r *Recorder) Note(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.out.Encode(e)
	}
}

// Err is why the history is not whole.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

const longestLine = 1 << 20

// Read reads a history.
func Read(in io.Reader) (h Head, events []Event, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for n := 1; lines.Scan(); n++ {
		if n == 1 {
			err = json.Unmarshal(lines.Bytes(), &h)
		} else {
			var e Event
			if err = json.Unmarshal(lines.Bytes(), &e); err == nil && e.What == Ask && (e.Class < 0 || e.Class >= len(h.Classes)) {
				err = errors.New("no such class")
			}
			events = append(events, e)
		}
		if err != nil {
			return h, nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return h, events, lines.Err()
}

// call is a request of one node.
type call struct{ node, id string }

// seen is what servers did with a call.
type seen struct {
	out    []string // the server of each attempt; "": it has ended
	bodies map[string]bool
}

// evaluator turns events into the auditor's facts.
type evaluator struct {
	head    Head
	audit   *checker.Auditor
	servers map[string]*model.Box
	news    map[string]*start // of servers that have started
	calls   map[call]*seen
	heirs   map[string]int
	stalled map[string]time.Duration    // servers, until when what is seen of them says nothing of its time
	held    map[[2]string]time.Duration // the same of a node and a server
	mine    []checker.Violation
}

// lateNews is how long a server that was stopped may take to have noted all that came meanwhile.
const lateNews = 300 * time.Millisecond

// Check names the rules that a history breaks. Events are in the order of their times.
func Check(h Head, events []Event) []checker.Violation {
	c := &evaluator{head: h, audit: checker.New(&scenario.Scenario{Rules: h.Rules, Classes: h.Classes}),
		servers: map[string]*model.Box{}, news: map[string]*start{}, calls: map[call]*seen{}, heirs: map[string]int{},
		stalled: map[string]time.Duration{}, held: map[[2]string]time.Duration{}}
	c.audit.Overlap = h.Overlap
	last := time.Duration(0)
	if len(events) > 0 {
		last = events[len(events)-1].At
	}
	for _, e := range clocked(events) {
		if e.At <= last {
			c.take(e)
		}
	}
	c.audit.Finish(last)
	return append(c.audit.Violations(), c.mine...)
}

func (c *evaluator) take(e Event) {
	switch key := (call{e.Node, e.ID}); e.What {
	case Start:
		c.audit.NodeStarted(e.Node)
	case Stall, Resume, Down, Hold, Free, Mute, Speak, Sever:
		c.upset(e)
	case Kill:
		c.audit.NodeKilled(e.Node)
	case Heir:
		c.heirs[e.Node]++
	case Exit:
		if c.heirs[e.Node] > 0 { // what the process owed shows by itself; the node goes on
			c.heirs[e.Node]--
			return
		}
		c.audit.NodeStopped(e.At, e.Node)
	case Hand:
		c.audit.Handed(e.At, e.Node, e.Server, !e.Ready)
	case Told:
		c.audit.Told(e.At, e.Node, e.Server, e.Ready)
		if s := c.news[e.Server]; s != nil && e.Ready {
			s.told[e.Node] = true
		}
	case Ask:
		c.audit.Taken(e.At, e.Node, e.ID, e.Class, e.At+e.Budget)
		c.calls[key] = &seen{bodies: map[string]bool{}}
	case Got:
		c.got(e, key)
	case Cut:
		if s := c.calls[key]; e.Ready && s != nil && len(s.out) == 0 {
			c.audit.Gone(e.At, e.Node, e.ID) // the end of a kept connection crossed a request that was not read
			return
		}
		c.audit.Dropped(e.At, e.Node, e.ID)
	case Left:
		c.audit.Gone(e.At, e.Node, e.ID)
	case Reach:
		c.reach(e, key)
	case Reply:
		how := balancer.Failure
		switch {
		case e.Status == 200:
			how = balancer.Success
			if s := c.calls[key]; s != nil {
				s.bodies[e.Body] = true
			}
		case e.Never:
			how = balancer.Overloaded
		}
		c.ended(e, key, how)
	case Broke:
		c.ended(e, key, balancer.ConnectionLost)
	case Given:
		c.ended(e, key, balancer.TimedOut)
	case Boot:
		c.boot(e)
	}
}

// upset is what happens to a process, or between two.
func (c *evaluator) upset(e Event) {
	switch {
	case e.What == Down:
		for key, s := range c.calls {
			for n, server := range s.out {
				if server == e.Server {
					s.out[n] = ""
					c.audit.Ended(e.At, key.node, key.id, n, balancer.ConnectionLost)
				}
			}
		}
		delete(c.stalled, e.Server)
	case e.What == Hold:
		c.held[[2]string{e.Node, e.Server}] = forEver
		c.unseen(e, e.Node)
	case e.What == Free:
		c.held[[2]string{e.Node, e.Server}] = e.At + lateNews
	case e.What == Sever:
		c.audit.Severed(e.Node)
	case e.Node != "" && (e.What == Mute || e.What == Stall):
		c.audit.NodeAway(e.At, e.Node)
	case e.What == Speak:
		more := time.Duration(0) // a node's time for what arrives now may begin now
		for _, k := range c.head.Classes {
			more = max(more, k.Deadline)
		}
		c.audit.NodeBack(e.At, e.Node, more)
	case e.Node != "":
		c.audit.NodeBack(e.At, e.Node, 0)
	case e.What == Stall:
		c.stalled[e.Server] = forEver
		c.unseen(e, "")
	default:
		c.stalled[e.Server] = e.At + lateNews
	}
}

// unseen says of the attempts that are out at a server, of one node or of all, that their end is not to be seen.
func (c *evaluator) unseen(e Event, node string) {
	for key, s := range c.calls {
		for n, server := range s.out {
			if server == e.Server && (node == "" || node == key.node) {
				c.audit.Unseen(e.At, key.node, key.id, n)
			}
		}
	}
}

const forEver = time.Duration(1<<63 - 1)

// got is an answer. One that says served must be what a server has said.
func (c *evaluator) got(e Event, key call) {
	how := checker.Failed
	switch e.Status {
	case 200:
		how = checker.Served
	case 429, 503:
		how = checker.Refused
	}
	if s := c.calls[key]; how == checker.Served && s != nil && len(s.out) > 0 && !s.bodies[e.Body] {
		c.mine = append(c.mine, checker.Violation{Rule: checker.MadeUp, At: e.At, Node: e.Node, Request: e.ID,
			What: "served with what no server has answered"})
	}
	c.audit.Answered(e.At, e.Node, e.ID, how)
}

// reach is an attempt. Whatever becomes of it, it loads the server.
func (c *evaluator) reach(e Event, key call) {
	if e.At < max(c.stalled[e.Server], c.held[[2]string{e.Node, e.Server}]) { // it was sent at some time of the stop, or given up meanwhile
		if s := c.calls[key]; s != nil {
			s.out = append(s.out, e.Server)
			c.audit.SentUnseen(e.At, e.Node, e.ID, e.Server)
		}
		return
	}
	c.audit.Sent(e.At, e.Node, e.ID, e.Server)
	if s := c.calls[key]; s != nil {
		s.out = append(s.out, e.Server)
	}
	if b := c.servers[e.Server]; b != nil {
		s := c.news[e.Server]
		s.note(e, c.head.Rules.Fall)
		if b.Sent(e.At, e.Work) && s.known() {
			c.audit.Fell(e.At, e.Node, e.ID, e.Server)
		}
	}
}

// ended is the end of the latest attempt of a call that is out at a server.
func (c *evaluator) ended(e Event, key call, how balancer.Outcome) {
	s := c.calls[key]
	if s == nil {
		return
	}
	for n := len(s.out) - 1; n >= 0; n-- {
		if s.out[n] == e.Server {
			s.out[n] = ""
			if how != balancer.Overloaded {
				c.audit.Ran(e.At, e.Node, e.ID, e.Server)
			}
			c.audit.Ended(e.At, e.Node, e.ID, n, how)
			return
		}
	}
}

// boot starts a server cold.
func (c *evaluator) boot(e Event) {
	kind, ok := c.head.Kinds[e.Server]
	if !ok {
		return
	}
	b := model.NewBox(e.Server, 0, 0, &kind, c.head.Rules)
	b.Mean = c.head.Means[e.Server]
	b.Start(e.At)
	c.servers[e.Server] = b
	c.news[e.Server] = &start{at: e.At, told: map[string]bool{}}
}

// Continue records without a head: one of several histories of a world, which Merge brings together.
func Continue(w io.Writer) *Recorder { return &Recorder{out: json.NewEncoder(w)} }

// Merge reads histories without heads and gives their events in the order of their times; of equal times those of the
// earlier history come first. A process that is killed ends in the middle of a line: such a last line is left out.
func Merge(histories ...io.Reader) (events []Event, err error) {
	for n, in := range histories {
		text := bufio.NewReader(in)
		for line := 1; ; line++ {
			b, err := text.ReadBytes('\n')
			if errors.Is(err, io.EOF) {
				break // of what stands here the end is missing
			}
			if err != nil {
				return nil, fmt.Errorf("history %d, line %d: %w", n, line, err)
			}
			var e Event
			if err := json.Unmarshal(b, &e); err != nil {
				return nil, fmt.Errorf("history %d, line %d: %w", n, line, err)
			}
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events, nil
}
