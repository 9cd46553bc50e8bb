package scenario

import "time"

// Fault is something that goes wrong for a while. Which fields matter depends on its kind.
type Fault struct {
	Kind        string
	Position    string // file and line, for errors
	At          time.Duration
	Duration    time.Duration
	Tier        string  // the last one where the file names none
	TargetShare float64 // share of the tier's servers, or of the nodes, that the fault hits
	Magnitude   float64
	Share       float64       // of requests
	Period      time.Duration // alternates between on and off, for so long each; 0: on throughout
	Class       string        // "": all

	// Faults between processes:
	Target         string        // TargetNodes, TargetServers or TargetDiscovery
	Peer           string        // the other side of the links: a target, TargetClients or TargetAll
	Spread         time.Duration // each target is hit at a drawn time up to so long after At
	Direction      string        // one of the Direction constants
	Recovery       string        // one of the Recovery constants
	Delay          time.Duration
	BytesPerSecond float64
	Bytes          int
	Folder         string // one of FolderStates: what an ended node finds of its folder at its next start
}

// Kinds of faults that every way of playing a scenario knows. FaultKill also takes a spread and a folder state.
const (
	FaultCrash          = "crash"           // processes of servers die, and start again
	FaultCutOff         = "cut_off"         // machines of servers leave the network, and come back
	FaultNeighbor       = "neighbour"       // another tenant of the machine takes part of its cores
	FaultHeavyTail      = "heavy_tail"      // some requests have many times the work
	FaultSharedSlow     = "shared_slow"     // all servers of a tier slow down at once, as behind one database
	FaultBrokenAnswers  = "broken_answers"  // some answers break off
	FaultIdleResets     = "kept_resets"     // idle connections are reset when next used
	FaultRelease        = "release"         // a rolling release of the servers
	FaultNodeRestart    = "node_restart"    // ingress nodes get SIGTERM, one after another
	FaultNodeKill       = "node_kill"       // ingress nodes get SIGKILL, one after another
	FaultKill           = "kill"            // ingress nodes get SIGKILL together, or in a crash loop
	FaultDiscoveryDown  = "discovery_down"  // calls fail and watches end
	FaultDiscoveryMoved = "discovery_moved" // discovery has another address
	FaultOverload       = "overload"        // more requests arrive
	FaultRetryStorm     = "retry_storm"     // rejected clients retry at once, and more often
)

// Kinds of faults that need processes with links between them.
const (
	FaultStall         = "stall"       // processes are stopped, and continue later
	FaultCut           = "cut"         // links carry nothing
	FaultSlowLink      = "slow_link"   // links delay and limit what they carry
	FaultResetLink     = "reset_link"  // connections are reset once
	FaultRefuseLink    = "refuse_link" // links refuse new connections
	FaultHalfOpen      = "half_open"   // one side of a connection is gone, and the other is not told
	FaultBreakLink     = "break_link"  // connections break after some bytes
	FaultServerKill    = "box_kill"    // a machine of servers dies with the nodes on it
	FaultUpgrade       = "upgrade"     // a node's process is replaced by its successor
	FaultAdminOverride = "hand"        // operators disable servers at the nodes, and enable them again
	FaultMuteWatches   = "hush"        // discovery writes nothing more on its open watches
)

// Targets and peers of faults between processes.
const (
	TargetNodes     = "nodes"     // ingress nodes
	TargetServers   = "boxes"     // the machines of a tier
	TargetDiscovery = "discovery" // the service
	TargetClients   = "clients"   // as a peer only
	TargetAll       = "all"       // as a peer only
)

// Directions of a link fault, seen from the target.
const (
	DirectionBoth = "both" // both ways
	DirectionOut  = "out"  // what the target sends
	DirectionBack = "back" // what the target receives
)

// Recoveries of a link after its fault.
const (
	RecoveryHeld  = "held"  // what was sent during the fault arrives
	RecoveryReset = "reset" // the connections are reset
)

// States in which a node can find its folder ($TMPDIR) at its next start.
const (
	FolderKept       = "kept"       // as it was left
	FolderEmptied    = "emptied"    // without its files
	FolderCut        = "cut"        // files are truncated at a drawn length
	FolderOld        = "old"        // files are those of the beginning
	FolderOther      = "other"      // with another node's files
	FolderUnwritable = "unwritable" // it can't be made
	FolderFull       = "full"       // no file can grow
)

// WorldFaultKinds are the faults that every way of playing a scenario knows.
var WorldFaultKinds = []string{FaultCrash, FaultCutOff, FaultNeighbor, FaultHeavyTail, FaultSharedSlow, FaultBrokenAnswers,
	FaultIdleResets, FaultRelease, FaultNodeRestart, FaultNodeKill, FaultDiscoveryDown, FaultDiscoveryMoved, FaultOverload,
	FaultRetryStorm, FaultKill}

// ProcessFaultKinds are the faults that only a fleet of processes can have. Their order is part of a drawn schedule.
var ProcessFaultKinds = []string{FaultStall, FaultCut, FaultSlowLink, FaultResetLink, FaultRefuseLink, FaultHalfOpen,
	FaultBreakLink, FaultServerKill, FaultUpgrade, FaultAdminOverride, FaultMuteWatches}

// FolderStates are all states of a node's folder. Their order is part of a drawn schedule; the first is the default.
var FolderStates = []string{FolderKept, FolderEmptied, FolderCut, FolderOld, FolderOther, FolderUnwritable, FolderFull}
