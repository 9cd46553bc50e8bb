// Package endpointlease implements the rules for polling discovery and the lease on the endpoint list: how long a node
// may send to the endpoints that it holds while it hears nothing from discovery.
//
// A Tracker is the state of one node's list. It is deterministic: the caller reports each event with its time, Step
// returns what to do next, and nothing in this package waits, reads a clock or does I/O. All times are durations since a
// moment that the caller chooses, on a monotonic clock, so that a step of the wall clock neither expires a lease nor
// extends it. The caller (internal/discovery) serializes all calls.
//
// The table shows what a node that holds a list does when discovery becomes unavailable, by the time since the list was
// last confirmed. A discovery that refuses connections cannot notify any node, so the node keeps serving. A discovery
// that accepts connections and stays silent may be notifying other nodes, so the node stops serving when its lease
// expires.
//
//	           connections are refused or time out   connections are accepted, but nothing is sent
//	           (unreachable)
//	0 s        the watch ends and polls begin; each  the watch falls silent; the node serves until the lease
//	           refused poll extends the lease to     expires
//	           6 s after the start of that poll
//	2.3-2.8 s  the node keeps serving                the watch counts as silent, and polls begin
//	6 s        the node keeps serving                the lease expires: requests are rejected while discovery
//	                                                 sends nothing
//	recovery   once a connection succeeds, the       requests are rejected until a list is complete or a watch
//	           lease ends 6 s after the start of     receives a heartbeat
//	           the last refused poll
//
// Where an agent pushes lists, the lease ends 100 ms after the last watch ended (pushedGracePeriod), except while polls
// are refused. In the right column it therefore ends as soon as the watch has ended, and in the left column as soon as a
// connection succeeds.
//
// An outage extends the lease only of a list that is known to have been current when the outage began (see currency.go):
// discovery confirmed it to this process or to the one that handed it over, and nothing has happened since that could hide a
// change. Otherwise the node may already count as notified of a change that it does not have, and refused polls do not
// extend the lease.
//
// A new process holds a list of unknown age. It has no lease before discovery sends a list.
//
// The rules and where they are implemented:
//
//	lease expiry                           lease.go         Expires, AdvanceLease, State
//	lease of a new process                 inheritance.go   HoldBootstrapList, Inherit
//	outages that do not extend the lease   currency.go      doubtAbout, mayHaveRecovered
//	unavailable discovery or a slow one    availability.go  PollRejected, Unreachable
//	probes during an outage                probe.go         probeDue
//	when to poll                           schedule.go      Step
//	hedged polls                           hedging.go       hedgedPollAt
//	heartbeat timeout                      stream.go        heartbeatDeadline
//	list transfer timeout                  stream.go        transferDeadline
//	backoff, also after malformed lists    backoff.go       backoff
//	address change                         events.go        AddressChanged, clearOutageBehindProxy
//
// The incident that led to this package is described in docs/incidents/2026-12-02-sends-on-an-expired-list.md. The
// alternatives that were considered are in docs/design/endpoint-lease.md.
package endpointlease

import "time"

// The limits of the discovery protocol. The lab checks that nodes comply with them.
const (
	// HeartbeatInterval is the longest time between two lines of a healthy watch. An empty line is a heartbeat.
	HeartbeatInterval = 2 * time.Second
	// NotificationDeadline is how long after discovery has a change a node counts as notified of it, if discovery is
	// reachable.
	NotificationDeadline = 6 * time.Second
	// NotificationDeadlineAfterChange is the same limit for the contents of a newly configured discovery, counted from
	// the SIGHUP that configured it.
	NotificationDeadlineAfterChange = 4 * time.Second
	// ListTransferTimeout limits the time from the first byte of a list to its last. Without it, a discovery that stops
	// in the middle of a list but sends a byte now and then would look alive forever.
	ListTransferTimeout = 4500 * time.Millisecond
)

// never is a time that is never reached.
const never = time.Duration(1<<63 - 1)

// Options are the settings that concern the endpoint list.
type Options struct {
	Pushed          bool          // an agent pushes changes, and a node counts as notified as soon as the agent has them
	MaxPollInterval time.Duration // for polled lists: while no stream is open, the lease ends this long after the last poll
	Pollers         int           // number of nodes that poll the same discovery, including this one; 0 or 1: only this one
}

// Tracker is the state of one node's endpoint list: the open polls and watches, what is known about discovery, and the
// lease. A Tracker with nothing but Options set has polled nothing and received nothing.
type Tracker struct {
	Options
	streams      []stream // open polls and watches, oldest first
	lastStreamID int
	generation   int // number of times that the configuration has named another discovery

	// The poll schedule: see Step, hedgedPollAt and backoff.
	nextPollAt          time.Duration // no poll starts before this time
	pollingStarted      bool          // the first poll was requested or made; later polls need no request
	hedgedPolls         int           // number of hedged polls since a poll was last answered
	afterSilentWatch    bool          // the open polls were started because a watch missed its heartbeat
	consecutiveFailures int           // polls that have failed since the last list
	overloaded          bool          // the last rejection was immediate: discovery is up but has too many pollers
	malformedLists      int           // consecutive answers that could not be read

	// What is known about discovery: see availability.go.
	availability      availability
	unavailablePollAt time.Duration // start of the last poll that found discovery unavailable
	// lateRejectionMeansDown says that a poll that is rejected after a wait shows that discovery is down. This holds
	// after the last watch ended within its heartbeat timeout without being closed by discovery. It does not hold while a
	// watch is open, after a watch that had fallen silent or that discovery closed, after an address change, or in a new
	// process: there the rejection may come from a slow discovery, or from one with too many pollers.
	lateRejectionMeansDown bool
	pendingAddressChanges  []addressChange

	// Whether the list held is current: see currency.go.
	doubt                   Doubt         // why discovery may have a change that the node does not have
	connectedSinceConfirmed bool          // a connection has succeeded since the list was last confirmed
	currentUntil            time.Duration // until when the list is known to be current, if nothing casts doubt on it

	probe probeState

	// The lease: see Expires.
	confirmedAt         time.Duration // when the list held was last known to be current
	confirmed           bool          // discovery has confirmed the list to this process
	lastPollAt          time.Duration // start of the last poll
	lastWatchEndedAt    time.Duration // when the last watch ended, if none is open
	expiryFixedByOutage time.Duration // end of the lease that the present outage must not extend; 0: none
}
