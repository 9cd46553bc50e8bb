// Package endpointlease has the rules for polling discovery and for the lease on the endpoint list: until when a node may
// send to the endpoints that it holds without hearing from discovery.
//
// A Tracker is the state of one node's list. It is pure: the caller notes each event with its time, Step says what to do
// next, and nothing here waits, reads a clock or does I/O. All times are durations since one moment of the caller's
// choosing, on a monotonic clock, so that a step of the wall clock neither expires a lease nor prolongs it. The caller
// (internal/discovery) serializes all calls.
//
// What happens to a node that holds a list when discovery goes away, by the time since the list was last confirmed. A
// discovery that refuses connections can notify nobody, so that the node serves on. One that accepts them and stays silent
// may be notifying others, so that the node first stops:
//
//	           refuses connections, or they do       accepts connections and sends nothing
//	           not come up (unreachable)
//	0 s        the watch ends and polls begin: each  the watch falls silent; the node serves until the lease
//	           that is refused renews the lease, to  expires
//	           6 s after the poll's begin
//	2.3-2.8 s  the node serves on                    the watch counts as silent, and polls begin
//	6 s        the node serves on                    the lease expires: requests are rejected for as long as
//	                                                 nothing comes
//	back       as a connection comes up the lease    requests are rejected until a list is complete or a watch has
//	           ends 6 s after the begin of the       a heartbeat
//	           last refused poll
//
// Where an agent pushes lists, the lease ends 100 ms after its last watch (pushedGrace), but while polls are refused: in the
// right column at once if the watch has ended, and in the left one as soon as a connection comes up.
//
// A new process holds a list of unknown age: bootstrapListAge of its lease have gone as it starts.
//
// A change that discovery may have had before it became unavailable is an exception: see changeMayPredateOutage.
//
// The rules, and where they stand:
//
//	lease expiry                        lease.go         Expires, AdvanceLease, State
//	lease of a new process              events.go        HoldBootstrapList, InheritAge
//	no renewal by an outage             availability.go  changeMayPredateOutage, mayHaveReturned
//	unavailable or slow                 availability.go  PollRejected, Unreachable
//	when to poll                        schedule.go      Step
//	parallel polls                      parallel.go      parallelPollAt
//	heartbeat time-out                  stream.go        heartbeatDeadline
//	list transfer time-out              stream.go        transferDeadline
//	backoff, limit on malformed lists   backoff.go       backoff
//	address change                      events.go        DiscoveryChanged, forgetOutageBehindProxy
//
// The incident that this package answers to is docs/incidents/2026-12-02-sends-on-an-expired-list.md; the alternatives
// that were weighed are in docs/design/endpoint-lease.md.
package endpointlease

import "time"

// The limits that discovery's protocol sets. The lab's checker holds nodes to them.
const (
	// HeartbeatInterval is the longest time between two lines of a healthy watch; an empty line is a heartbeat.
	HeartbeatInterval = 2 * time.Second
	// NotificationDeadline is how long after discovery had a change, and could be reached, a node counts as notified of it.
	NotificationDeadline = 6 * time.Second
	// NotificationDeadlineAfterChange is the same for what a new discovery has, counted from the SIGHUP that named it.
	NotificationDeadlineAfterChange = 4 * time.Second
	// ListTransferTimeout is the time from the first byte of a list to its last. Without it a discovery that stops in the
	// middle of a list, and sends a byte now and then, would look alive for ever.
	ListTransferTimeout = 4500 * time.Millisecond
)

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// Options are what the settings say about the endpoint list.
type Options struct {
	Pushed          bool          // an agent pushes changes, and a node counts as notified of what the agent has at once
	MaxPollInterval time.Duration // where lists are polled: the lease of a list without a watch ends so long after the last poll
	Pollers         int           // nodes that poll the same discovery, this one included; 0 or 1: it is alone
}

// Tracker is the state of one node's endpoint list: the polls and watches that are open, what is known of discovery, and
// the lease. The zero Tracker with Options has polled nothing and heard nothing.
type Tracker struct {
	Options
	streams      []stream // open polls and watches, the oldest first
	lastStreamID int
	generation   int // how many times the configuration named another discovery

	// The poll schedule: see Step, parallelPollAt and backoff.
	nextPollAt          time.Duration // no poll before this where none is open
	pollingStarted      bool          // the first poll was requested or made: later ones need no request
	hedgedPolls         int           // consecutive polls without an answer that another was opened beside
	afterSilentWatch    bool          // the poll that began them was made because a watch missed its heartbeat
	consecutiveFailures int           // polls that failed since the last list
	overloaded          bool          // the last poll was rejected at once: discovery is up, with too many pollers
	malformedLists      int           // consecutive answers that could not be read

	// What is known of discovery: see availability.go.
	availability      availability
	unavailablePollAt time.Duration // the begin of the last poll that found discovery unavailable
	// lateRejectionMeansDown: a poll that is rejected after a wait shows that discovery is down, for the last watch has ended,
	// within its heartbeat and not in order. While a watch is open, after one that had fallen silent or that discovery closed,
	// after a change of the address and in a new process it does not: a slow discovery, or one with too many pollers, may have rejected it.
	lateRejectionMeansDown bool
	reachedSinceConfirmed  bool // discovery could be reached since the list was last confirmed, and sent nothing
	pendingAddressChanges  []addressChange

	// The lease: see Expires.
	confirmedAt         time.Duration // when the list held was last known to be all that discovery had
	lastPollAt          time.Duration // the begin of the last poll
	lastWatchEndedAt    time.Duration // when the last watch ended, where none is open
	expiryFixedByOutage time.Duration // the end that the lease had as an outage began, which the outage does not put off; 0: none
}
