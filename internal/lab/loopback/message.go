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
	RoleServers   = "boxes"     // the servers of one machine
	RoleDiscovery = "discovery" // the discovery service
	RoleClients   = "clients"   // all clients and the ingress
)

// Operations that the parent sends.
const (
	OpInit            = "init"   // the first message
	OpNodeIncarnation = "life"   // a node has started an incarnation
	OpNodeServing     = "hear"   // the ingress considers a node to be serving (Serving is true) or not
	OpMuteWatches     = "hush"   // discovery mutes a node's watches, or ends the mute (Serving is true)
	OpChange          = "change" // a change of the world
	OpRun             = "play"   // the run begins
)

// Operations that a worker sends.
const (
	OpReady       = "ready" // the worker has carried out OpInit, or failed to (Err)
	OpServerDied  = "down"  // a server has crashed
	OpStartNode   = "want"  // a server waits for its node: the parent starts the node and replies with OpServerStart
	OpClientsDone = "done"  // all client requests have ended
)

// Operations that both sides send.
const (
	OpEndpointState = "learn" // discovery must publish a server's state after a delay
	OpServerStart   = "up"    // from the parent: a server must start; from a worker: it has started
)

// Message is a message between a worker and its parent, encoded as one line of JSON. Both run the same build. The
// operation determines which fields are used.
type Message struct {
	Operation string `json:"do"`

	// For OpInit:
	Scenario *scenario.Scenario `json:"scenario,omitempty"`
	Role     string             `json:"has,omitempty"`
	History  string             `json:"history,omitempty"` // file of the history
	Servers  [][2]int           `json:"boxes,omitempty"`   // tier and index of each server
	Ports    int                `json:"ports,omitempty"`   // first port of the rig's block
	Down     bool               `json:"cold,omitempty"`    // the servers are down until OpServerStart

	Addresses     map[string]string            `json:"addrs,omitempty"` // OpReady: by server ID, or by node for discovery
	DialAddresses map[string]map[string]string `json:"dials,omitempty"` // OpInit of discovery: by node and server ID

	Node string `json:"place,omitempty"` // base name
	Name string `json:"name,omitempty"`  // name of the node's incarnation
	Addr string `json:"addr,omitempty"`

	// For a server or an ingress node:
	Tier      int           `json:"tier,omitempty"`
	Index     int           `json:"index,omitempty"`
	Health    string        `json:"health,omitempty"`
	StartTime time.Duration `json:"boot,omitempty"`
	Delay     time.Duration `json:"wait,omitempty"`
	Serving   bool          `json:"hears,omitempty"`

	Change *model.Change `json:"change,omitempty"`

	StartTick time.Duration `json:"began,omitempty"` // OpRun: start of the run on the monotonic clock
	StartWall int64         `json:"wall,omitempty"`  // OpRun: the same moment in Unix time, in ns
	Err       string        `json:"err,omitempty"`   // OpReady: why the worker is not ready
}

// readMessage reads one message.
func readMessage(lines *bufio.Reader) (m Message, err error) {
	text, err := lines.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}
