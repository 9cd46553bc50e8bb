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
	FaultCrash          = "crash"
	FaultCutOff         = "cut_off"
	FaultNeighbor       = "neighbour" // another tenant of the machine takes part of its cores
	FaultHeavyTail      = "heavy_tail"
	FaultSharedSlow     = "shared_slow" // all servers of a tier slow down at once, as behind one database
	FaultBrokenAnswers  = "broken_answers"
	FaultIdleResets     = "kept_resets"
	FaultRelease        = "release" // a rolling release of the servers
	FaultNodeRestart    = "node_restart"
	FaultNodeKill       = "node_kill"
	FaultKill           = "kill"
	FaultDiscoveryDown  = "discovery_down"
	FaultDiscoveryMoved = "discovery_moved"
	FaultOverload       = "overload"
	FaultRetryStorm     = "retry_storm"
)

// Kinds of faults that need processes with links between them.
const (
	FaultStall         = "stall" // processes are stopped, and continue later
	FaultCut           = "cut"   // links carry nothing
	FaultSlowLink      = "slow_link"
	FaultResetLink     = "reset_link"
	FaultRefuseLink    = "refuse_link"
	FaultHalfOpen      = "half_open"
	FaultBreakLink     = "break_link" // connections break after some bytes
	FaultServerKill    = "box_kill"
	FaultUpgrade       = "upgrade" // a node's process is replaced by its successor
	FaultAdminOverride = "hand"    // operators disable servers at the nodes, and enable them again
	FaultMuteWatches   = "hush"    // discovery writes nothing more on its open watches
)

// Targets and peers of faults between processes.
const (
	TargetNodes     = "nodes"
	TargetServers   = "boxes"
	TargetDiscovery = "discovery"
	TargetClients   = "clients" // as a peer only
	TargetAll       = "all"     // as a peer only
)

// Directions of a link fault, seen from the target.
const (
	DirectionBoth = "both"
	DirectionOut  = "out"
	DirectionBack = "back"
)

// Recoveries of a link after its fault.
const (
	RecoveryHeld  = "held"  // what was sent during the fault arrives
	RecoveryReset = "reset" // the connections are reset
)

// States in which a node can find its folder ($TMPDIR) at its next start.
const (
	FolderKept       = "kept"
	FolderEmptied    = "emptied"
	FolderCut        = "cut" // files are truncated at a drawn length
	FolderOld        = "old" // files are those of the beginning
	FolderOther      = "other"
	FolderUnwritable = "unwritable"
	FolderFull       = "full"
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
