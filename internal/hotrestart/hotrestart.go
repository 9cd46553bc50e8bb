// Package hotrestart lets a new process of a node take over from the old one while both run, like Envoy's hot restart. No
// client connection is refused, and neither the state that the node has learned nor operators' changes are lost.
//
// The two processes communicate over a Unix socket. The protocol, whose version is Version, is:
//
//  1. The new process connects (TakeOver).
//  2. The old process sends one byte together with the descriptor of the clients' listening socket, and then the
//     HandoverState as one JSON object (Conn.HandOver).
//  3. From then on, both processes send Messages, each as one JSON object. Both forward operators' changes, and the new
//     process reports once that it serves clients. The receiver acknowledges each message after it has handled the message
//     (Conn.Send, Conn.Run).
//  4. The connection ends when one of the processes ends.
//
// The two processes may run different builds, because a node is upgraded in this way. Therefore the encoding must not
// change without a new Version; golden tests verify that.
//
// The package transfers the state; the package internal/node interprets it. Operators' changes are also persisted on disk
// (Store), for a process that starts when there is no other process to take over from.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

// Version is the protocol version. A process does not take over from a process with a different version.
const Version = 1

const (
	// handoverTimeout limits each step of a handover and each write: a process that hangs must not delay its successor.
	handoverTimeout = time.Second
	// maxSocketPathLength is the maximum length of the socket's path in bytes. The operating system allows 107, and Listen
	// appends a process ID.
	maxSocketPathLength = 100
)

// HandoverState is the state that the old process sends to the new one.
type HandoverState struct {
	Version       int               `json:"Version"`  // set by HandOver
	Node          string            `json:"Node"`     // the node's name; a node with another name must not take over
	Listen        string            `json:"Listen"`   // the node's address for clients; must be the same in both processes
	Settings      json.RawMessage   `json:"Settings"` // the balancer's settings when BalancerState was made
	BalancerState json.RawMessage   `json:"Module"`   // input of balancer.RestoreSuccessor
	Endpoints     []engine.Endpoint `json:"Boxes"`    // the current endpoint list
	ListVersion   int64             `json:"Seq"`      // discovery's version of the list; 0: no version to resume from
	ListAge       time.Duration     `json:"ListAge"`  // since the list was last confirmed; 0 if the other build omits it
	// ListEvidence says why the list is known to be current. Empty if nothing shows it, or if the other build omits it.
	ListEvidence endpointlease.Evidence `json:"ListEvidence,omitempty"`
	// EarlierProcesses are the IDs of processes that the old one has replaced and that still run. Another build may omit them.
	EarlierProcesses []int `json:"Earlier,omitempty"`
	OperatorState
}

// OperatorState is the state that operators set. It stays in force until operators change it.
type OperatorState struct {
	DisabledServers []string `json:"Out"`     // IDs of servers that operators disabled
	OutOfService    bool     `json:"Drained"` // operators took the node out of service
}

// Message is a message between the two processes. It is either an acknowledgement (AckID) or one of these notifications:
// the sender serves clients (Serving), a server was disabled or enabled (Server, Disabled), the node was put out of
// service or back in service (OutOfService), or a request must not run in the other process (AbandonedRun).
type Message struct {
	ID           int    `json:"n,omitempty"`      // set by Send; the receiver acknowledges it
	AckID        int    `json:"ack,omitempty"`    // the ID of the acknowledged message
	Serving      bool   `json:"serves,omitempty"` // the new process serves clients: the old one may shut down
	Server       string `json:"server,omitempty"` // the ID of a server
	Disabled     bool   `json:"out,omitempty"`    // true: an operator disabled Server; false: enabled it
	OutOfService *bool  `json:"drain,omitempty"`  // nil: the message is about something else
	AbandonedRun string `json:"ran,omitempty"`    // the ID of a request that may run here, and whose client has left
}

// ErrSocketPathTooLong means that the socket can't be created, so that no process can take over from another.
var ErrSocketPathTooLong = errors.New("the path of $TMPDIR is too long for a Unix socket: set $TMPDIR to a shorter path")

// SocketPath returns the path of the socket of a node's processes. NewStore derives the path of its file from it. If the
// error is ErrSocketPathTooLong, the returned path can't be used for the socket, but is still valid for NewStore.
func SocketPath(dir, node, listen string) (string, error) {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\n%s", node, listen)
	path := filepath.Join(dir, fmt.Sprintf("hookwalk-%016x.sock", hash.Sum64()))
	if len(path) > maxSocketPathLength {
		return path, ErrSocketPathTooLong
	}
	return path, nil
}
