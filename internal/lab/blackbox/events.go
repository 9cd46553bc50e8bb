// Package blackbox holds a recorded history to the promises of a node by what can be seen without looking into a node:
// what clients sent and received, what servers received and answered, what discovery wrote, and the signals that processes
// got. It feeds package checker.
//
// Two of the checker's facts are known only to a node itself in virtual time: that it sends an attempt, and the outcome as
// the node sees it. Here an attempt is what reached a server, and its outcome is what that server did or saw. Two checks
// are added: a warming server's load is computed from what reached it, and an answer is compared with what servers
// answered for its request.
package blackbox

import "time"

// EventKind is what an Event is. Its values are the words that histories hold.
type EventKind string

// Kinds of events, with the words that histories hold.
const (
	NodeStarted        EventKind = "start" // a node's process begins, knowing nothing but what it is notified of from here on
	NodeKilled         EventKind = "kill"  // it is ended from outside, at once
	NodeTerminating    EventKind = "term"  // it is asked to end
	NodeExited         EventKind = "exit"  // it has ended by itself
	EndpointNotified   EventKind = "told"  // discovery has written to the node, or the node counts as notified, whether a server is ready
	RequestSent        EventKind = "ask"   // a client has written the last byte of a request
	AnswerReceived     EventKind = "got"   // a client has the last byte of an answer
	ConnectionCut      EventKind = "cut"   // a client's connection ended without a complete answer
	ClientLeft         EventKind = "left"  // a client has closed its connection
	AttemptArrived     EventKind = "reach" // a server has the last byte of a request
	AttemptAnswered    EventKind = "reply" // it has answered it
	AttemptBroken      EventKind = "broke" // it has ended the connection without an answer, or its process died
	AttemptCanceled    EventKind = "given" // it saw the node close the connection
	ServerStarted      EventKind = "boot"  // a server's process has started, to warm up
	SuccessorReady     EventKind = "heir"  // the successor of the node's process is ready, and takes over when this one exits
	EndpointOverridden EventKind = "hand"  // the node has confirmed an operator's call that disables a server, or enables it if Ready
	HistoryEnded       EventKind = "end"   // nothing is recorded after
)

// Kinds of events of worlds whose parts are processes of their own.
const (
	ServerDied     EventKind = "down"   // a server's process has died, with all attempts that were out at it
	ProcessStopped EventKind = "stall"  // a node's or a server's process is stopped, and its machine goes on
	ProcessResumed EventKind = "resume" // and runs again
	WatchMuted     EventKind = "deaf"   // what discovery writes to the node, on one of its watches or on all, does not arrive from now on; Ready: the end of the watch will be seen
	WatchUnmuted   EventKind = "hears"  // and from now on it does. Ready: on the same connection; otherwise the node gave that one up Duration ago
	LinkHeld       EventKind = "hold"   // what goes between the node and the server is held up
	LinkReleased   EventKind = "free"   // and arrives, what was held first
	ClientsMuted   EventKind = "mute"   // what goes between clients and the node is held up
	ClientsUnmuted EventKind = "speak"  // and arrives
	ClientsReset   EventKind = "sever"  // connections between clients and the node are reset, by neither side
)

// Kinds of events that only reports use; no rule is about them.
const (
	ConnectionOpened EventKind = "conn" // a connection has come up at a server
	DiscoveryCalled  EventKind = "call" // a node has called discovery
	TryRejected      EventKind = "away" // a client's try was rejected
	RequestBegun     EventKind = "wish" // a client's first try
	ProcessLate      EventKind = "late" // a process of the rig was late by Duration: the machine is too slow, or the process was stopped
	RequestEnded     EventKind = "over" // a client's request ended Duration after its first try; Ready: it was served
)

// Event is something that was seen. Which fields matter depends on its kind.
type Event struct {
	At       time.Duration `json:"at"`
	Kind     EventKind     `json:"what"`
	Node     string        `json:"node,omitempty"` // an incarnation of a node
	ID       string        `json:"id,omitempty"`   // of a request, or of a watch
	Server   string        `json:"server,omitempty"`
	Ready    bool          `json:"ready,omitempty"`  // see the kinds; of ConnectionCut: the connection had carried a request before
	Class    int           `json:"class,omitempty"`  // of RequestSent
	Duration time.Duration `json:"budget,omitempty"` // of RequestSent: until the deadline; else see the kinds
	Work     time.Duration `json:"work,omitempty"`   // of AttemptArrived
	Status   int           `json:"status,omitempty"` // of AnswerReceived and AttemptAnswered
	NeverRan bool          `json:"never,omitempty"`  // of AttemptAnswered: the server rejected it
	Body     string        `json:"body,omitempty"`   // of AnswerReceived and AttemptAnswered: tells one answer from another; "": not recorded
}

// What Ready stands for, by kind.

// announcesReady: of EndpointNotified, the server is announced as ready.
func (e Event) announcesReady() bool { return e.Ready }

// enables: of EndpointOverridden, the operator's call enables the server.
func (e Event) enables() bool { return e.Ready }

// endVisible: of WatchMuted, the node will see the end of the watch.
func (e Event) endVisible() bool { return e.Ready }

// onSameConnection: of WatchUnmuted, the watch goes on on the connection that it had.
func (e Event) onSameConnection() bool { return e.Ready }

// onReusedConnection: of ConnectionCut, the connection had carried a request before.
func (e Event) onReusedConnection() bool { return e.Ready }
