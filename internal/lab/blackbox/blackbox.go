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

// Kinds of events, as histories have them.
const (
	NodeStarted        = "start" // a node's process begins, knowing nothing but what is told from here on
	NodeKilled         = "kill"  // it is ended from outside, at once
	NodeTerminating    = "term"  // it is asked to end
	NodeExited         = "exit"  // it has ended by itself
	EndpointNotified   = "told"  // discovery has written to the node, or the node counts as told, whether a server is ready
	RequestSent        = "ask"   // a client has written the last byte of a request
	AnswerReceived     = "got"   // a client has the last byte of an answer
	ConnectionCut      = "cut"   // a client's connection ended without a whole answer
	ClientLeft         = "left"  // a client has closed its connection
	AttemptArrived     = "reach" // a server has the last byte of a request
	AttemptAnswered    = "reply" // it has answered it
	AttemptBroken      = "broke" // it has ended the connection without an answer, or its process died
	AttemptCanceled    = "given" // it saw the node close the connection: the attempt was given up
	ServerStarted      = "boot"  // its process has started, cold
	SuccessorReady     = "heir"  // another process of the node has said yes beside it, and goes on when this one exits
	EndpointOverridden = "hand"  // the node has said yes to an operator who takes a server out, or back if it is ready
	HistoryEnded       = "end"   // nothing is recorded after

	// Where the world's parts are processes of their own:
	ServerDied     = "down"   // a server's process has died, with all that was out at it
	ProcessStopped = "stall"  // a node's or a server's process is stopped, and its machine goes on
	ProcessResumed = "resume" // and runs again
	WatchMuted     = "deaf"   // what discovery writes to the node, on one watch of its or on all, does not arrive from now on; ready: its end will be seen
	WatchUnmuted   = "hears"  // and from now on it does; ready: on the connection that it has had all along; else it gave that one up Budget ago
	LinkHeld       = "hold"   // what goes between the node and the server is held up
	LinkReleased   = "free"   // and arrives, what was held at first
	ClientsMuted   = "mute"   // what goes between clients and the node is held up
	ClientsUnmuted = "speak"  // and arrives
	ClientsReset   = "sever"  // connections between clients and the node are reset, by neither

	// For reports; no rule is about them.
	ConnectionOpened = "conn" // a connection has come up at a server
	DiscoveryCalled  = "call" // a node has called discovery
	TryRejected      = "away" // a client's try was turned away
	RequestBegun     = "wish" // a client's first try
	ProcessLate      = "late" // a process of the rig was late by Budget: the machine is too slow, or the process was stopped
	RequestEnded     = "over" // its end: Budget after the first try, Ready if it was served
)

// Event is something that was seen.
type Event struct {
	At       time.Duration `json:"at"`
	Kind     string        `json:"what"`
	Node     string        `json:"node,omitempty"`
	ID       string        `json:"id,omitempty"`
	Server   string        `json:"server,omitempty"`
	Ready    bool          `json:"ready,omitempty"`  // told; cut: the connection had carried a request before
	Class    int           `json:"class,omitempty"`  // ask
	Duration time.Duration `json:"budget,omitempty"` // ask
	Work     time.Duration `json:"work,omitempty"`   // reach
	Status   int           `json:"status,omitempty"` // got, reply
	NeverRan bool          `json:"never,omitempty"`  // reply: turned away
	Body     string        `json:"body,omitempty"`   // got, reply: tells one answer from another; "": not recorded
}

// Header is the first line of a history: the rules and the world that they are about.
type Header struct {
	Rules   scenario.Rules                 `json:"rules"`
	Classes []scenario.Class               `json:"classes"`
	Kinds   map[string]scenario.ServerKind `json:"kinds"`   // of servers, by id
	Means   map[string]time.Duration       `json:"means"`   // work of a request there
	Overlap time.Duration                  `json:"overlap"` // how late a server may notice what a node does
}

// NewHeader is the head of a history of a scenario, without servers.
func NewHeader(s *scenario.Scenario, overlap time.Duration) Header {
	return Header{Rules: s.Rules, Classes: s.Classes, Kinds: map[string]scenario.ServerKind{}, Means: map[string]time.Duration{}, Overlap: overlap}
}

// Recorder writes a history, from any goroutine. A nil Recorder writes nothing.
type Recorder struct {
	mu  sync.Mutex
	out *json.Encoder
	err error
}

// NewRecorder begins a history.
func NewRecorder(w io.Writer, h Header) *Recorder {
	r := &Recorder{out: json.NewEncoder(w)}
	r.err = r.out.Encode(h)
	return r
}

// Record adds an event.
func (r *Recorder) Record(e Event) {
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
func Read(in io.Reader) (h Header, events []Event, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for n := 1; lines.Scan(); n++ {
		if n == 1 {
			err = json.Unmarshal(lines.Bytes(), &h)
		} else {
			var e Event
			if err = json.Unmarshal(lines.Bytes(), &e); err == nil && e.Kind == RequestSent && (e.Class < 0 || e.Class >= len(h.Classes)) {
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

// requestKey is a request of one node.
type requestKey struct{ node, id string }

// endVisible is what servers did with a call.
type requestState struct {
	attemptServers []string // the server of each attempt; "": it has ended
	bodies         map[string]bool
}

// evaluator turns events into the auditor's facts.
type evaluator struct {
	header       Header
	checker      *checker.Checker
	servers      map[string]*model.Server
	starts       map[string]*serverStart // of servers that have started
	calls        map[requestKey]*requestState
	successors   map[string]int
	stoppedUntil map[string]time.Duration    // servers, until when what is seen of them says nothing of its time
	heldUntil    map[[2]string]time.Duration // the same of a node and a server
	violations   []checker.Violation
}

// resumeAllowance is how long a server that was stopped may take to have noted all that came meanwhile.
const resumeAllowance = 300 * time.Millisecond

// Check names the rules that a history breaks. Events are in the order of their times.
func Check(h Header, events []Event) []checker.Violation {
	c := &evaluator{header: h, checker: checker.New(&scenario.Scenario{Rules: h.Rules, Classes: h.Classes}),
		servers: map[string]*model.Server{}, starts: map[string]*serverStart{}, calls: map[requestKey]*requestState{}, successors: map[string]int{},
		stoppedUntil: map[string]time.Duration{}, heldUntil: map[[2]string]time.Duration{}}
	c.checker.ObservationLag = h.Overlap
	last := time.Duration(0)
	if len(events) > 0 {
		last = events[len(events)-1].At
	}
	for _, e := range countNotifications(events) {
		if e.At <= last {
			c.apply(e)
		}
	}
	c.checker.Finish(last)
	return append(c.checker.Violations(), c.violations...)
}

func (c *evaluator) apply(e Event) {
	switch key := (requestKey{e.Node, e.ID}); e.Kind {
	case NodeStarted:
		c.checker.NodeStarted(e.Node)
	case ProcessStopped, ProcessResumed, ServerDied, LinkHeld, LinkReleased, ClientsMuted, ClientsUnmuted, ClientsReset:
		c.applyProcessFault(e)
	case NodeKilled:
		c.checker.NodeKilled(e.Node)
	case SuccessorReady:
		c.successors[e.Node]++
	case NodeExited:
		if c.successors[e.Node] > 0 { // what the process owed shows by itself; the node goes on
			c.successors[e.Node]--
			return
		}
		c.checker.NodeStopped(e.At, e.Node)
	case EndpointOverridden:
		c.checker.EndpointOverridden(e.At, e.Node, e.Server, !e.Ready)
	case EndpointNotified:
		c.checker.EndpointNotified(e.At, e.Node, e.Server, e.Ready)
		if s := c.starts[e.Server]; s != nil && e.Ready {
			s.notifiedNodes[e.Node] = true
		}
	case RequestSent:
		c.checker.RequestAccepted(e.At, e.Node, e.ID, e.Class, e.At+e.Duration)
		c.calls[key] = &requestState{bodies: map[string]bool{}}
	case AnswerReceived:
		c.answerReceived(e, key)
	case ConnectionCut:
		if s := c.calls[key]; e.Ready && s != nil && len(s.attemptServers) == 0 {
			c.checker.ClientGone(e.At, e.Node, e.ID) // the end of a kept connection crossed a request that was not read
			return
		}
		c.checker.ConnectionDropped(e.At, e.Node, e.ID)
	case ClientLeft:
		c.checker.ClientGone(e.At, e.Node, e.ID)
	case AttemptArrived:
		c.attemptArrived(e, key)
	case AttemptAnswered:
		how := balancer.Failure
		switch {
		case e.Status == 200:
			how = balancer.Success
			if s := c.calls[key]; s != nil {
				s.bodies[e.Body] = true
			}
		case e.NeverRan:
			how = balancer.Overloaded
		}
		c.attemptEnded(e, key, how)
	case AttemptBroken:
		c.attemptEnded(e, key, balancer.ConnectionLost)
	case AttemptCanceled:
		c.attemptEnded(e, key, balancer.TimedOut)
	case ServerStarted:
		c.serverStarted(e)
	}
}

// applyProcessFault is what happens to a process, or between two.
func (c *evaluator) applyProcessFault(e Event) {
	switch {
	case e.Kind == ServerDied:
		for key, s := range c.calls {
			for n, server := range s.attemptServers {
				if server == e.Server {
					s.attemptServers[n] = ""
					c.checker.AttemptEnded(e.At, key.node, key.id, n, balancer.ConnectionLost)
				}
			}
		}
		delete(c.stoppedUntil, e.Server)
	case e.Kind == LinkHeld:
		c.heldUntil[[2]string{e.Node, e.Server}] = forever
		c.attemptsUnobserved(e, e.Node)
	case e.Kind == LinkReleased:
		c.heldUntil[[2]string{e.Node, e.Server}] = e.At + resumeAllowance
	case e.Kind == ClientsReset:
		c.checker.ConnectionsReset(e.Node)
	case e.Node != "" && (e.Kind == ClientsMuted || e.Kind == ProcessStopped):
		c.checker.NodeUnresponsive(e.At, e.Node)
	case e.Kind == ClientsUnmuted:
		more := time.Duration(0) // a node's time for what arrives now may begin now
		for _, k := range c.header.Classes {
			more = max(more, k.Deadline)
		}
		c.checker.NodeResponsive(e.At, e.Node, more)
	case e.Node != "":
		c.checker.NodeResponsive(e.At, e.Node, 0)
	case e.Kind == ProcessStopped:
		c.stoppedUntil[e.Server] = forever
		c.attemptsUnobserved(e, "")
	default:
		c.stoppedUntil[e.Server] = e.At + resumeAllowance
	}
}

// attemptsUnobserved says of the attempts that are out at a server, of one node or of all, that their end is not to be seen.
func (c *evaluator) attemptsUnobserved(e Event, node string) {
	for key, s := range c.calls {
		for n, server := range s.attemptServers {
			if server == e.Server && (node == "" || node == key.node) {
				c.checker.AttemptUnobserved(e.At, key.node, key.id, n)
			}
		}
	}
}

const forever = time.Duration(1<<63 - 1)

// answerReceived is an answer. One that says served must be what a server has said.
func (c *evaluator) answerReceived(e Event, key requestKey) {
	how := checker.Failed
	switch e.Status {
	case 200:
		how = checker.Served
	case 429, 503:
		how = checker.Rejected
	}
	if s := c.calls[key]; how == checker.Served && s != nil && len(s.attemptServers) > 0 && !s.bodies[e.Body] {
		c.violations = append(c.violations, checker.Violation{Rule: checker.GenuineAnswer, At: e.At, Node: e.Node, Request: e.ID,
			Detail: "served with what no server has answered"})
	}
	c.checker.RequestAnswered(e.At, e.Node, e.ID, how)
}

// attemptArrived is an attempt. Whatever becomes of it, it loads the server.
func (c *evaluator) attemptArrived(e Event, key requestKey) {
	if e.At < max(c.stoppedUntil[e.Server], c.heldUntil[[2]string{e.Node, e.Server}]) { // it was sent at some time of the stop, or given up meanwhile
		if s := c.calls[key]; s != nil {
			s.attemptServers = append(s.attemptServers, e.Server)
			c.checker.SentUnobserved(e.At, e.Node, e.ID, e.Server)
		}
		return
	}
	c.checker.AttemptSent(e.At, e.Node, e.ID, e.Server)
	if s := c.calls[key]; s != nil {
		s.attemptServers = append(s.attemptServers, e.Server)
	}
	if b := c.servers[e.Server]; b != nil {
		s := c.starts[e.Server]
		s.recordArrival(e, c.header.Rules.OverloadWindow)
		if b.RecordArrival(e.At, e.Work) && s.mostlyFromNotified() {
			c.checker.ServerOverloaded(e.At, e.Node, e.ID, e.Server)
		}
	}
}

// attemptEnded is the end of the latest attempt of a call that is out at a server.
func (c *evaluator) attemptEnded(e Event, key requestKey, how balancer.Outcome) {
	s := c.calls[key]
	if s == nil {
		return
	}
	for n := len(s.attemptServers) - 1; n >= 0; n-- {
		if s.attemptServers[n] == e.Server {
			s.attemptServers[n] = ""
			if how != balancer.Overloaded {
				c.checker.AttemptExecuted(e.At, e.Node, e.ID, e.Server)
			}
			c.checker.AttemptEnded(e.At, e.Node, e.ID, n, how)
			return
		}
	}
}

// serverStarted starts a server cold.
func (c *evaluator) serverStarted(e Event) {
	kind, ok := c.header.Kinds[e.Server]
	if !ok {
		return
	}
	b := model.NewServer(e.Server, 0, 0, &kind, c.header.Rules)
	b.MeanWork = c.header.Means[e.Server]
	b.Start(e.At)
	c.servers[e.Server] = b
	c.starts[e.Server] = &serverStart{startedAt: e.At, notifiedNodes: map[string]bool{}}
}

// NewHeadlessRecorder records without a head: one of several histories of a world, which Merge brings together.
func NewHeadlessRecorder(w io.Writer) *Recorder { return &Recorder{out: json.NewEncoder(w)} }

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
