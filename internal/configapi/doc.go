// Package configapi defines the messages about configuration versions: between nodes and controllers, among
// controllers, and between controllers and operators' commands. It contains only types, paths and limits. All calls are
// HTTP/1.1 with JSON bodies, on loopback or a private network, without TLS and without authentication.
//
//	GET  /v1/config   a node's watch: a chunked response, one JSON object per Update, an empty line per heartbeat
//	POST /v1/ack      a node's Acknowledgement of a version
//	POST /v1/publish  an operator's PublishRequest; the response is a PublishReply or an Error
//	GET  /v1/status   what one controller knows, as a ControllerStatus
//	GET  /v1/load     one controller's Load, read by the other controllers
//
// The JSON names are part of the protocol and must not change. The names of the Go fields may differ from them.
package configapi

import "time"

// Paths of the calls.
const (
	PathWatch   = "/v1/config"  // a node's watch
	PathAck     = "/v1/ack"     // a node's acknowledgement
	PathPublish = "/v1/publish" // an operator's publish request
	PathStatus  = "/v1/status"  // a controller's status, for operators
	PathLoad    = "/v1/load"    // a controller's load, for the other controllers
)

// Limits and timings. A settings file may override those that are defaults.
const (
	// MaxDocumentBytes is the maximum size of a published document. Every controller and node holds it in memory.
	MaxDocumentBytes = 1 << 20
	// MaxPublishRate is how many versions a cluster accepts per second. Each version is sent to all nodes.
	MaxPublishRate = 10
	// MaxReasonBytes is the maximum length of a node's reason for a rejection; longer reasons are truncated.
	MaxReasonBytes = 512
	// HeartbeatInterval is the interval at which a controller writes an empty line on a watch while it sends no Update.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a node waits at most for a byte on a watch before it opens another watch at another
	// controller. Each wait is shortened by a jitter of up to 0.2 s (see configversion). The timeout tolerates one lost
	// heartbeat, followed by a late one, but not two lost heartbeats.
	SilenceTimeout = 1200 * time.Millisecond
	// DefaultAddress is the address on which a controller listens and to which commands connect, unless another one is
	// configured.
	DefaultAddress = "127.0.0.1:7400"
)

// Cluster is the identity of a cluster of controllers and its replicated log. It is drawn at random when the cluster is
// created and never changes. A cluster that is rebuilt from nothing has another identity. An empty Cluster means none.
type Cluster string

// Version is the number of a configuration version. The first version is 1, and each publish adds 1; 0 means none.
type Version uint64

// ControllerAddress is the address and the location of a controller.
type ControllerAddress struct {
	Address string `json:"address"` // HOST:PORT at which the controller serves the calls of this package
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
}
