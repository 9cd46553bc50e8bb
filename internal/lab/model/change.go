package model

import (
	"time"
)

// ChangeKind is what a Change does.
type ChangeKind int

// Changes of the world.
const (
	Crash                ChangeKind = iota // the process of server Tier, Index dies
	Start                                  // it starts, warming up
	Drain                                  // it accepts nothing new; a Crash follows when it has finished
	Disconnect                             // the machine leaves the network
	Reconnect                              // and is back
	ScaleSpeed                             // the server's speed is multiplied by Magnitude
	HeavyTail                              // from now on a Share of class Class has Magnitude times the work; 1 ends it
	BreakAnswers                           // from now on a Share of the server's answers can't be read; Magnitude 0 ends it
	ResetIdleConnections                   // a Share of the idle connections to the server are reset when next used
	NodeTerminate                          // SIGTERM to ingress node Index
	NodeKill                               // SIGKILL
	NodeStart                              // it starts from nothing
	DiscoveryDown                          // calls fail, watches end
	DiscoveryUp                            // calls succeed again
	DiscoveryMove                          // watches end, calls succeed at the new address
	Overload                               // the arrival rate is multiplied by Magnitude; 1 ends it
	RetryStorm                             // rejected clients retry at once, and Magnitude times as often; 1 ends it
)

// changeNames are the names of all kinds, in their order.
var changeNames = [...]string{"crash", "boot", "drain", "cut off", "rejoin", "slow", "heavy tail", "broken answers",
	"reset kept", "node leaves", "node killed", "node starts", "discovery down", "discovery up", "discovery moved",
	"overload", "retry storm"}

// String is the name that schedules and errors print.
func (k ChangeKind) String() string { return changeNames[k] }

// Change is one thing that happens to the world.
type Change struct {
	At        time.Duration
	Kind      ChangeKind
	Tier      int // of a server
	Index     int // of a server in its tier, or of an ingress node
	Magnitude float64
	Share     float64
	Class     int    // -1: all
	Folder    string // what an ended node finds of its folder at its next start: one of scenario.FolderStates
}
