// Package hotrestart lets a new process of a node take over from the old one while both run, as Envoy's hot restart does:
// clients see no refused connection, and nothing that the node has learned or that operators said is lost.
//
// The two processes meet at a Unix socket. The protocol, of which Version is the version:
//
//  1. The new process connects (TakeOver).
//  2. The old one sends one byte with the descriptor of the clients' listening socket, then the HandoverState as one JSON
//     object (Conn.HandOver).
//  3. From then on both send Messages, one JSON object each: what operators say at one of them, and from the new process
//     once that it serves. Each is answered after the other side has taken it (Conn.Send, Conn.Run).
//  4. The connection ends as one of the processes does.
//
// The processes may be of different builds: that is how a node is upgraded. So the forms must not change while Version is
// the same; golden tests hold them.
//
// The package carries; what the content means is the node's (internal/node). What operators said is also kept on disk
// (Store), for a process that starts when none is there to hand over.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"time"

	"hookwalk.example/hookwalk/internal/engine"
)

// Version is that of the protocol. A process takes nothing over from one of another version.
const Version = 1

const (
	// handoverTimeout bounds each step of a handover and each write: a process that hangs must not hold up its successor.
	handoverTimeout = time.Second
	// maxSocketPathLength is how many bytes the path of the socket may have: the system takes 107, and Listen appends a process ID.
	maxSocketPathLength = 100
)

// HandoverState is what the old process hands to the new one.
type HandoverState struct {
	Version       int               `json:"Version"`  // set by HandOver
	Node          string            `json:"Node"`     // the name of the node: another one must not take over
	Listen        string            `json:"Listen"`   // its address for clients, likewise
	Settings      json.RawMessage   `json:"Settings"` // the decision module's, under which BalancerState was made
	BalancerState json.RawMessage   `json:"Module"`   // as balancer.RestoreSuccessor takes it
	Endpoints     []engine.Endpoint `json:"Boxes"`    // the endpoint list held
	ListVersion   int64             `json:"Seq"`      // discovery's version of that list; 0: the next one begins from none
	ListAge       time.Duration     `json:"ListAge"`  // since the list was last confirmed; 0 from builds that do not say
	OperatorState
}

// OperatorState is what operators said that holds until they say otherwise.
type OperatorState struct {
	DisabledServers []string `json:"Out"`     // IDs of servers that operators disabled
	OutOfService    bool     `json:"Drained"` // operators took the node out of service
}

// Message is what one process sends to the other. It is an acknowledgement (AckID), or says one of: the sender serves
// clients (Serving), a server was disabled or enabled (Server, Disabled), the node went out of service or back (OutOfService).
type Message struct {
	ID           int    `json:"n,omitempty"`      // set by Send; the receiver acknowledges it
	AckID        int    `json:"ack,omitempty"`    // the ID that is acknowledged
	Serving      bool   `json:"serves,omitempty"` // the new process takes clients: the old one may go
	Server       string `json:"server,omitempty"` // the ID of a server
	Disabled     bool   `json:"out,omitempty"`    // whether an operator disabled it
	OutOfService *bool  `json:"drain,omitempty"`  // nil: the message is about something else
}

// ErrSocketPathTooLong says that the processes of a node can't meet, so that no process can take over from another.
var ErrSocketPathTooLong = errors.New("the path of $TMPDIR is too long for a socket: set one that is shorter")

// SocketPath is where the processes of a node meet, and beside which Store keeps its file. With ErrSocketPathTooLong they
// can't meet there; the path is good for Store all the same.
func SocketPath(dir, node, listen string) (string, error) {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\n%s", node, listen)
	path := filepath.Join(dir, fmt.Sprintf("hookwalk-%016x.sock", hash.Sum64()))
	if len(path) > maxSocketPathLength {
		return path, ErrSocketPathTooLong
	}
	return path, nil
}
