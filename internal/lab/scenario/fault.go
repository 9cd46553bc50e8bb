package scenario

import "time"

// Fault is a fault that the lab injects for a limited time. Its kind determines which fields are used.
type Fault struct {
	Kind        string
	Position    string // file and line, for error messages
	At          time.Duration
	Duration    time.Duration
	Tier        string  // the last tier if the file names none
	TargetShare float64 // share of the tier's servers, or of the nodes, that the fault hits
	Magnitude   float64
	Share       float64       // of requests that the fault affects
	Period      time.Duration // the fault alternates between on and off, each for this long; 0: always on
	Class       string        // "": all classes

	// Faults between processes:
	Target         string        // TargetNodes, TargetServers or TargetDiscovery
	Peer           string        // the other side of the links: a target, TargetClients or TargetAll
	Spread         time.Duration // each target is hit at a random time between At and At+Spread
	Direction      string        // one of the Direction constants
	Recovery       string        // one of the Recovery constants
	Delay          time.Duration
	BytesPerSecond float64
	Bytes          int
	Folder         string // one of FolderStates: the state of a stopped node's folder at its next start
}

// Kinds of faults that both the simulation and a fleet of processes support. FaultKill also takes a spread and a folder
// state.
const (
	FaultCrash              = "crash"           // server processes die and restart
	FaultUnreachable        = "cut_off"         // server machines lose their network connection and regain it
	FaultNoisyNeighbor      = "neighbour"       // another tenant of the machine uses part of its cores
	FaultHeavyTail          = "heavy_tail"      // some requests take many times the work
	FaultSharedSlowdown     = "shared_slow"     // all servers of a tier slow down at once, as with a shared database
	FaultTruncatedResponses = "broken_answers"  // some responses end early
	FaultIdleResets         = "kept_resets"     // idle connections are reset at their next use
	FaultRollingRelease     = "release"         // a rolling release of the servers
	FaultNodeRestart        = "node_restart"    // ingress nodes get SIGTERM, one after another
	FaultNodeKill           = "node_kill"       // ingress nodes get SIGKILL, one after another
	FaultKill               = "kill"            // ingress nodes get SIGKILL together, or in a crash loop
	FaultDiscoveryDown      = "discovery_down"  // calls fail and watches end
	FaultDiscoveryMoved     = "discovery_moved" // discovery moves to another address
	FaultOverload           = "overload"        // more requests arrive
	FaultRetryStorm         = "retry_storm"     // rejected clients retry at once, and more often
)

// Kinds of faults that need separate processes with network links between them.
const (
	FaultStall         = "stall"       // processes are paused and later resumed
	FaultLinkDown      = "cut"         // links carry nothing
	FaultSlowLink      = "slow_link"   // links delay data and limit its rate
	FaultResetLink     = "reset_link"  // connections are reset once
	FaultRefuseLink    = "refuse_link" // links refuse new connections
	FaultHalfOpen      = "half_open"   // one side of a connection is gone, and the other side is not notified
	FaultBreakLink     = "break_link"  // connections break after a number of bytes
	FaultServerKill    = "box_kill"    // a server machine dies together with the nodes on it
	FaultUpgrade       = "upgrade"     // a node's process is replaced by its successor
	FaultAdminOverride = "hand"        // operators disable servers on the nodes and enable them again
	FaultMuteWatches   = "hush"        // discovery sends nothing more on its open watches
)

// Targets and peers of faults between processes.
const (
	TargetNodes     = "nodes"     // ingress nodes
	TargetServers   = "boxes"     // the server machines of a tier
	TargetDiscovery = "discovery" // the discovery service
	TargetClients   = "clients"   // only as a peer
	TargetAll       = "all"       // only as a peer
)

// Directions of a link fault, from the target's point of view.
const (
	DirectionBoth = "both" // both ways
	DirectionOut  = "out"  // what the target sends
	DirectionBack = "back" // what the target receives
)

// Ways in which a link recovers after its fault.
const (
	RecoveryHeld  = "held"  // data sent during the fault arrives
	RecoveryReset = "reset" // the connections are reset
)

// States in which a node can find its folder ($TMPDIR) at its next start.
const (
	FolderKept       = "kept"       // unchanged
	FolderEmptied    = "emptied"    // its files are deleted
	FolderTruncated  = "cut"        // its files are truncated at a random length
	FolderOld        = "old"        // its files are those from the start of the run
	FolderOther      = "other"      // it holds another node's files
	FolderUnwritable = "unwritable" // it can't be created
	FolderFull       = "full"       // no file can grow
)

// WorldFaultKinds are the fault kinds that both the simulation and a fleet of processes support.
var WorldFaultKinds = []string{FaultCrash, FaultUnreachable, FaultNoisyNeighbor, FaultHeavyTail, FaultSharedSlowdown,
	FaultTruncatedResponses, FaultIdleResets, FaultRollingRelease, FaultNodeRestart, FaultNodeKill, FaultDiscoveryDown,
	FaultDiscoveryMoved, FaultOverload, FaultRetryStorm, FaultKill}

// ProcessFaultKinds are the fault kinds that only a fleet of processes supports. Random fault schedules depend on their
// order.
var ProcessFaultKinds = []string{FaultStall, FaultLinkDown, FaultSlowLink, FaultResetLink, FaultRefuseLink, FaultHalfOpen,
	FaultBreakLink, FaultServerKill, FaultUpgrade, FaultAdminOverride, FaultMuteWatches}

// FolderStates are all states of a node's folder. Random fault schedules depend on their order; the first is the
// default.
var FolderStates = []string{FolderKept, FolderEmptied, FolderTruncated, FolderOld, FolderOther, FolderUnwritable, FolderFull}
