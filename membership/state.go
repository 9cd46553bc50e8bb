package membership

import "time"

// Incarnation is one run of a node. A node that restarts is another incarnation, and reports of the one before are stale.
type Incarnation struct {
	Name  string `json:"Name"`
	Start uint64 `json:"Start"` // the number of the start, kept on disk: it rises with each start and with each refutation
	Nonce uint64 `json:"Nonce"` // drawn at each start: it tells incarnations apart that claim the same number
}

// NewerThan says that an incarnation has a higher start number than another one of its name.
func (i Incarnation) NewerThan(other Incarnation) bool { return i.Start > other.Start }

// State is the state of a member in the local node's view.
type State int

// States of a member.
const (
	Alive   State = iota // printed "here": the detector gets answers
	Suspect              // printed "suspected": the detector had no answer and waits for a refutation
	Failed               // printed "failed": the detector has given it up
	Left                 // printed "left": it announced that it leaves
)

// String is the word that commands print, in which an alive member is "here".
func (s State) String() string { return [...]string{"here", "suspected", "failed", "left"}[s] }

// running says that a member counts as running.
func (s State) running() bool { return s == Alive || s == Suspect }

// Member is what the local node knows of another one.
type Member struct {
	Incarnation
	Site  string
	State State
	Since time.Duration // when it came to be in this state

	lastReconnect  time.Duration // of a failed one
	reconnectDelay time.Duration
	hasAnnounced   bool        // this incarnation has sent an announcement itself
	detected       Incarnation // the one that the detector reports instead, with a start number that is not higher
}

// LocalState is how the local node stands among the members that concern it.
type LocalState int

// States of the local node.
const (
	Joining  LocalState = iota // printed "joining": it has not agreed with anybody yet
	Agreed                     // printed "agreed": a majority of the known members of its own site and its parent has the same view
	Disputed                   // printed "disputed": a majority is reachable but has another view, or the local process stood still
	Minority                   // printed "cut off": it reaches half of them or fewer
	Isolated                   // printed "alone": it reaches none of them
)

// String is the word that commands and logs print.
func (s LocalState) String() string {
	return [...]string{"joining", "agreed", "disputed", "cut off", "alone"}[s]
}

// Operation is something that a node may do on the strength of its view. Failover chains are not built yet: nothing but
// tests asks May for an operation today.
type Operation int

// Operations, from the most harmless to those that need agreement.
const (
	Keep     Operation = iota // leave in force what was adopted before
	Withdraw                  // take back a grant, make a share smaller
	Redirect                  // send clients where a grant still lets them go
	Grant                     // promise, or take on, something new
	Adopt                     // put another version of the chains in force
)

// May says whether a node in this state may carry out an operation.
func (s LocalState) May(operation Operation) bool {
	switch operation {
	case Keep, Withdraw:
		return true
	case Redirect: // the load on others stays within what they granted; a node that joins has no grants yet
		return s != Joining
	}
	return s == Agreed
}
