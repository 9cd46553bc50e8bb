// Package blackbox checks a recorded history against the rules of package checker, using only what can be observed from
// outside a node: what clients sent and received, what servers received and answered, what discovery wrote, and which
// signals processes got.
//
// Two facts can be recorded inside a node only in virtual time: that it sends an attempt, and which outcome it sees. Here
// an attempt is a request that reached a server, and its outcome is what that server did or observed. The package adds
// two checks: it computes the load of a warming server from the requests that reached it, and it compares each success
// that a client received with the answers that servers gave to that request.
package blackbox

import "time"

// EventKind is the kind of an Event. Its values are stored in histories.
type EventKind string

// Kinds of events in every history.
const (
	NodeStarted        EventKind = "start" // a node's process starts; it knows only what it is notified of from now on
	NodeKilled         EventKind = "kill"  // the node is killed
	NodeTerminating    EventKind = "term"  // the node is asked to stop
	NodeExited         EventKind = "exit"  // the node's process has exited by itself
	EndpointNotified   EventKind = "told"  // the node was notified of a server's state, or counts as notified; Ready: the server is ready
	RequestSent        EventKind = "ask"   // a client has written the last byte of a request
	AnswerReceived     EventKind = "got"   // a client has received the last byte of an answer
	ConnectionCut      EventKind = "cut"   // a client's connection ended without a complete answer
	ClientLeft         EventKind = "left"  // a client has closed its connection
	AttemptArrived     EventKind = "reach" // a server has received the last byte of a request
	AttemptAnswered    EventKind = "reply" // the server has answered the request
	AttemptBroken      EventKind = "broke" // the server has closed the connection without an answer, or its process has died
	AttemptCanceled    EventKind = "given" // the server saw the node close the connection
	ServerStarted      EventKind = "boot"  // a server's process has started and warms up
	SuccessorReady     EventKind = "heir"  // the successor of the node's process is ready and takes over when that process exits
	EndpointOverridden EventKind = "hand"  // the node has confirmed an administrative override; Ready: the server is enabled, otherwise disabled
	HistoryEnded       EventKind = "end"   // the history ends
)

// Kinds of events in runs whose nodes and servers are separate processes.
const (
	ServerDied     EventKind = "down"   // a server's process has died, and with it all attempts in flight to the server
	ProcessStopped EventKind = "stall"  // the process of a node or a server is stopped, while its machine keeps running
	ProcessResumed EventKind = "resume" // the process runs again
	WatchMuted     EventKind = "deaf"   // updates from discovery stop arriving at the node, on the watch ID or on all its watches; Ready: the end of the watch will be recorded
	WatchUnmuted   EventKind = "hears"  // updates arrive again; Ready: on the same connection; otherwise the node closed that connection Duration ago
	LinkHeld       EventKind = "hold"   // data between the node and the server is held up
	LinkReleased   EventKind = "free"   // data between the node and the server arrives again, the held data first
	ClientsMuted   EventKind = "mute"   // data between clients and the node is held up
	ClientsUnmuted EventKind = "speak"  // data between clients and the node arrives again
	ClientsReset   EventKind = "sever"  // the network has reset the connections between clients and the node
)

// Kinds of events that only reports use; no rule depends on them.
const (
	ConnectionOpened EventKind = "conn" // a server has accepted a connection
	DiscoveryCalled  EventKind = "call" // a node has called discovery
	TryRejected      EventKind = "away" // a try of a client's request was rejected; the client may try again
	RequestBegun     EventKind = "wish" // a client has begun the first try of a request
	ProcessLate      EventKind = "late" // a process of the lab was late by Duration: the machine is too slow, or the process was stopped
	RequestEnded     EventKind = "over" // a client's request ended Duration after its first try; Ready: it was served
)

// Event is one observation. Its kind determines which fields are used.
type Event struct {
	At       time.Duration `json:"at"`
	Kind     EventKind     `json:"what"`
	Node     string        `json:"node,omitempty"` // an incarnation of a node
	ID       string        `json:"id,omitempty"`   // of a request, or of a watch
	Server   string        `json:"server,omitempty"`
	Ready    bool          `json:"ready,omitempty"`  // see the kinds; of ConnectionCut: an earlier request had used the connection
	Class    int           `json:"class,omitempty"`  // of RequestSent
	Duration time.Duration `json:"budget,omitempty"` // of RequestSent: until the deadline; otherwise see the kinds
	Work     time.Duration `json:"work,omitempty"`   // of AttemptArrived
	Status   int           `json:"status,omitempty"` // of AnswerReceived and AttemptAnswered
	NeverRan bool          `json:"never,omitempty"`  // of AttemptAnswered: the server rejected it
	Body     string        `json:"body,omitempty"`   // of AnswerReceived and AttemptAnswered: identifies an answer; "": not recorded
}

// The methods below name what Ready means for each kind.

// announcesReady reports whether an EndpointNotified event announces the server as ready.
func (e Event) announcesReady() bool { return e.Ready }

// enables reports whether an EndpointOverridden event enables the server.
func (e Event) enables() bool { return e.Ready }

// endVisible reports whether the end of the watch will be recorded, for a WatchMuted event.
func (e Event) endVisible() bool { return e.Ready }

// onSameConnection reports whether the watch continues on its previous connection, for a WatchUnmuted event.
func (e Event) onSameConnection() bool { return e.Ready }

// onReusedConnection reports whether an earlier request had used the connection, for a ConnectionCut event.
func (e Event) onReusedConnection() bool { return e.Ready }
