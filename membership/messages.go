package membership

import "time"

// MaxNewer is the largest number of incarnations in the Newer list of an announcement.
const MaxNewer = 8

// Announcement describes the sender's view to the other nodes. The JSON names are part of the protocol between nodes.
type Announcement struct {
	From    Incarnation       `json:"From"`
	Site    string            `json:"Site"`
	Digests map[string]uint64 `json:"Views"`  // by site: hash of the running incarnations of the site and its parent, in the sender's view
	Newer   []Incarnation     `json:"Claims"` // known incarnations of nodes that restarted with a start number that is not higher
	Request bool              `json:"Wants"`  // the sender has no valid announcements of the others and asks for them
}

// Event is an input of Members.Step: one of the types below.
type Event interface{ event() }

type (
	// NodeAlive is the failure detector's report that an incarnation runs. It may be repeated.
	NodeAlive struct {
		Incarnation
		Site string
	}
	// NodeSuspect is the failure detector's suspicion that an incarnation has failed.
	NodeSuspect struct{ Incarnation }
	// NodeDead is the end of an incarnation: the failure detector has declared it failed, or it has announced that it leaves.
	NodeDead struct {
		Incarnation
		Left bool
	}
	// AnnouncementReceived is the receipt of another node's announcement.
	AnnouncementReceived struct{ Announcement }
	// Stalled reports that the local process did not run for a while.
	Stalled struct{ Duration time.Duration }
	// Tick is the passing of time.
	Tick struct{}
)

func (NodeAlive) event()            {}
func (NodeSuspect) event()          {}
func (NodeDead) event()             {}
func (AnnouncementReceived) event() {}
func (Stalled) event()              {}
func (Tick) event()                 {}

// Action is an output of Members.Step that the host carries out: one of the types below.
type Action interface{ action() }

type (
	// Broadcast asks the host to send an announcement to all members.
	Broadcast struct{ Announcement }
	// Reconnect asks the host to connect to a failed member at its last known address.
	Reconnect struct{ Name string }
	// Refute asks the host to store the raised start number of the local incarnation and to have the failure detector spread
	// it. The number is higher than any that other nodes are known to have.
	Refute struct{ Incarnation }
	// LocalStateChanged reports that the state of the local node has changed.
	LocalStateChanged struct{ From, To LocalState }
	// Warn reports something that an operator should know.
	Warn struct{ Err error }
)

func (Broadcast) action()         {}
func (Reconnect) action()         {}
func (Refute) action()            {}
func (LocalStateChanged) action() {}
func (Warn) action()              {}
