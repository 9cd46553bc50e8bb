package membership

import "time"

// Incarnation is one run of a node, from a start to the next. Reports about an earlier incarnation are stale.
type Incarnation struct {
	Name  string `json:"Name"`
	Start uint64 `json:"Start"` // start number, stored on disk; increases with each start and each refutation
	Nonce uint64 `json:"Nonce"` // random for each start: distinguishes incarnations with the same start number
}

// NewerThan reports whether an incarnation has a higher start number than another one with the same name.
func (i Incarnation) NewerThan(other Incarnation) bool { return i.Start > other.Start }

// State is the state of a member in the local node's view.
type State int

// States of a member.
const (
	Alive   State = iota // printed "here": the member answers the failure detector
	Suspect              // printed "suspected": the member did not answer, and the failure detector waits for a refutation
	Failed               // printed "failed": the failure detector has declared the member failed
	Left                 // printed "left": the member announced that it leaves
)

// String returns the word that commands print.
func (s State) String() string { return [...]string{"here", "suspected", "failed", "left"}[s] }

// running reports whether a member in this state counts as running.
func (s State) running() bool { return s == Alive || s == Suspect }

// Member is what the local node knows about another node.
type Member struct {
	Incarnation
	Site  string
	State State
	Since time.Duration // when the member entered this state

	lastReconnect  time.Duration // when the last reconnect was requested, or when the member failed
	reconnectDelay time.Duration // until the next reconnect
	hasAnnounced   bool          // this incarnation has sent an announcement itself
	detected       Incarnation   // another incarnation that the failure detector reports, with a start number that is not accepted
}

// LocalState says whether, and how, the local node agrees with the members that concern it.
type LocalState int

// States of the local node.
const (
	// Joining means that no majority has agreed with the local node yet. It is printed "joining".
	Joining LocalState = iota
	// Agreed means that a majority of the known members of the node's site and its parent site has the same view. It is
	// printed "agreed".
	Agreed
	// Disputed means that a majority is reachable but does not agree, that the local process has stalled, or that another
	// running node uses the same name. It is printed "disputed".
	Disputed
	// Minority means that at most half of the known members run. It is printed "cut off".
	Minority
	// Isolated means that no other member runs. It is printed "alone".
	Isolated
)

// String returns the word that commands and logs print.
func (s LocalState) String() string {
	return [...]string{"joining", "agreed", "disputed", "cut off", "alone"}[s]
}

// Operation is an operation that a node's local state may forbid. Failover chains do not exist yet, so only tests call May.
type Operation int

// Operations, from those that are always allowed to those that need agreement.
const (
	Keep     Operation = iota // continue to use what was adopted before
	Withdraw                  // withdraw a grant or reduce a share
	Redirect                  // send clients to where an existing grant allows them
	Grant                     // grant or accept something new
	Adopt                     // activate another version of the failover chains
)

// May reports whether a node in this state may carry out an operation.
func (s LocalState) May(operation Operation) bool {
	switch operation {
	case Keep, Withdraw:
		return true
	case Redirect: // the load on other nodes stays within their grants; a joining node has no grants yet
		return s != Joining
	}
	return s == Agreed
}
