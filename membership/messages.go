package membership

import "time"

// MaxNewer is how many incarnations an announcement may list as Newer.
const MaxNewer = 8

// Announcement is what a node tells the members that it concerns of its view. The names in JSON are those of the protocol
// between nodes.
type Announcement struct {
	From    Incarnation       `json:"From"`
	Site    string            `json:"Site"`
	Digests map[string]uint64 `json:"Views"`  // by site: of the running members of it and its parent, as the sender has them
	Newer   []Incarnation     `json:"Claims"` // known incarnations of nodes that came back with a start number not above them
	Request bool              `json:"Wants"`  // the sender has no announcements to go by and asks for them
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// NodeAlive is the detector's report that an incarnation runs. It may be repeated.
	NodeAlive struct {
		Incarnation
		Site string
	}
	// NodeSuspect is the detector's suspicion that an incarnation has failed.
	NodeSuspect struct{ Incarnation }
	// NodeDead is the end of an incarnation: the detector has given it up, or it has announced that it leaves.
	NodeDead struct {
		Incarnation
		Left bool
	}
	// AnnouncementReceived brings the announcement of another node.
	AnnouncementReceived struct{ Announcement }
	// Stalled says that the local process stood still.
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

// Action is something for the host to do: one of the types below.
type Action interface{ action() }

type (
	// Broadcast sends an announcement to all members.
	Broadcast struct{ Announcement }
	// Reconnect tries to reach a failed member at its last known address.
	Reconnect struct{ Name string }
	// Refute raises the start number of the local incarnation above a stale one that others know: the host stores it and
	// has the detector spread it.
	Refute struct{ Incarnation }
	// LocalStateChanged reports another state of the local node.
	LocalStateChanged struct{ From, To LocalState }
	// Warn reports something that an operator should know.
	Warn struct{ Err error }
)

func (Broadcast) action()         {}
func (Reconnect) action()         {}
func (Refute) action()            {}
func (LocalStateChanged) action() {}
func (Warn) action()              {}
