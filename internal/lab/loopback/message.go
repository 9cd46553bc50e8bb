package loopback

import (
	"bufio"
	"encoding/json"
	"time"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Roles of a worker.
const (
	RoleServers   = "boxes"     // those of one machine
	RoleDiscovery = "discovery" // the service
	RoleClients   = "clients"   // all clients and the ingress
)

// Operations that the parent sends.
const (
	OpInit            = "init"   // the first message
	OpNodeIncarnation = "life"   // a node has begun an incarnation
	OpNodeServing     = "hear"   // the ingress takes a node for one that serves, or does not
	OpMuteWatches     = "hush"   // discovery mutes a node's watches; Serving: it answers the node again
	OpChange          = "change" // a change of the world
	OpPlay            = "play"   // the play begins
)

// Operations that a worker sends.
const (
	OpReady       = "ready" // all that OpInit asks for is there
	OpServerDied  = "down"  // a server's process has died
	OpStartNode   = "want"  // a server starts as soon as its node is ready: the parent answers with OpServerStart
	OpClientsDone = "done"  // the clients have all their answers
)

// Operations that both sides send.
const (
	OpEndpointState = "learn" // discovery is to list a server's state after a while
	OpServerStart   = "up"    // a server is to start, or has started
)

// Message is one line of JSON between a worker and its parent. Both are of one build. Which fields matter depends on the
// operation.
type Message struct {
	Operation string `json:"do"`

	// Of OpInit:
	Scenario *scenario.Scenario `json:"scenario,omitempty"`
	Role     string             `json:"has,omitempty"`
	History  string             `json:"history,omitempty"` // the file
	Servers  [][2]int           `json:"boxes,omitempty"`   // tier and index of each
	Ports    int                `json:"ports,omitempty"`   // the rig's block
	Down     bool               `json:"cold,omitempty"`    // the servers are down until OpServerStart

	Addresses     map[string]string            `json:"addrs,omitempty"` // OpReady: of servers by ID, or of discovery by node
	DialAddresses map[string]map[string]string `json:"dials,omitempty"` // OpInit of discovery: by node and server

	Node string `json:"place,omitempty"` // its base name
	Name string `json:"name,omitempty"`  // in this incarnation
	Addr string `json:"addr,omitempty"`

	// Of a server, or of an ingress node:
	Tier      int           `json:"tier,omitempty"`
	Index     int           `json:"index,omitempty"`
	Health    string        `json:"health,omitempty"`
	StartTime time.Duration `json:"boot,omitempty"`
	Delay     time.Duration `json:"wait,omitempty"`
	Serving   bool          `json:"hears,omitempty"`

	Change *model.Change `json:"change,omitempty"`

	StartTick time.Duration `json:"began,omitempty"` // OpPlay: on the monotonic clock
	StartWall int64         `json:"wall,omitempty"`  // the same moment in Unix time, in ns
	Err       string        `json:"err,omitempty"`   // OpReady: it is not
}

// readMessage reads one line.
func readMessage(lines *bufio.Reader) (m Message, err error) {
	text, err := lines.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}
