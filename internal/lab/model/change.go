package model

import (
	"time"
)

// ChangeKind says what a Change does.
type ChangeKind int

// Kinds of changes of the world. Tier and Index select the server, Index alone the ingress node.
const (
	Crash                ChangeKind = iota // the server's process dies
	Start                                  // the server's process starts and warms up
	Drain                                  // the server accepts no new requests; a Crash follows later
	Disconnect                             // the server's machine leaves the network
	Reconnect                              // the server's machine is back on the network
	ScaleSpeed                             // the server's speed is multiplied by Magnitude
	HeavyTail                              // a Share of class Class has Magnitude times the work; Magnitude 1 ends it
	BreakAnswers                           // a Share of the server's answers can't be read; Magnitude 0 ends it
	ResetIdleConnections                   // a Share of the idle connections to the server are reset when next used
	NodeTerminate                          // the ingress node receives SIGTERM
	NodeKill                               // the ingress node receives SIGKILL
	NodeStart                              // a new process of the ingress node starts
	DiscoveryDown                          // calls fail and watches end
	DiscoveryUp                            // calls succeed again
	DiscoveryMove                          // watches end; calls succeed at the new address
	Overload                               // the arrival rate is multiplied by Magnitude; 1 ends it
	RetryStorm                             // rejected clients retry at once and Magnitude times as often; 1 ends it
)

// changeNames lists the names of all kinds, indexed by ChangeKind.
var changeNames = [...]string{"crash", "boot", "drain", "cut off", "rejoin", "slow", "heavy tail", "broken answers",
	"reset kept", "node leaves", "node killed", "node starts", "discovery down", "discovery up", "discovery moved",
	"overload", "retry storm"}

// String returns the name that is printed in schedules and errors.
func (k ChangeKind) String() string { return changeNames[k] }

// Change is one scheduled change of the world.
type Change struct {
	At        time.Duration
	Kind      ChangeKind
	Tier      int // of the server
	Index     int // of the server in its tier, or of the ingress node
	Magnitude float64
	Share     float64
	Class     int    // -1: all
	Folder    string // state of a stopped node's folder at its next start: one of scenario.FolderStates
}
