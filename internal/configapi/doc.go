// Package configapi defines the messages of configuration versions: between nodes and controllers, among controllers,
// and between controllers and operators' commands. It has types, paths and limits only. All calls are HTTP/1.1 with
// JSON bodies, on loopback or a private network, without TLS and without authentication.
//
//	GET  /v1/config   a node's watch: chunked, one Update per JSON object, an empty line per heartbeat
//	POST /v1/ack      a node's Acknowledgement of a version
//	POST /v1/publish  an operator's PublishRequest; the response is a PublishReply or an Error
//	GET  /v1/status   what one controller knows, as a ControllerStatus
//	GET  /v1/load     one controller's Load, read by the other controllers
//
// The JSON names are the protocol's and stay as they are; the Go names are the terms of the field.
package configapi

import "time"

// Paths of the calls.
const (
	PathWatch   = "/v1/config"  // a node's watch
	PathAck     = "/v1/ack"     // a node's acknowledgement
	PathPublish = "/v1/publish" // an operator's publish request
	PathStatus  = "/v1/status"  // for operators
	PathLoad    = "/v1/load"    // for the other controllers
)

// Limits and timings. Those that a settings file may change are defaults.
const (
	// MaxDocumentBytes is the size of one published document. Every controller and node holds it in memory.
	MaxDocumentBytes = 1 << 20
	// MaxPublishRate is how many versions a cluster accepts within a second: each one goes to all nodes.
	MaxPublishRate = 10
	// MaxReasonBytes is the length of a node's reason for a rejection; longer ones are truncated.
	MaxReasonBytes = 512
	// HeartbeatInterval is the longest time without a byte on a watch: a controller writes an empty line after so long
	// without an Update.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a node waits at most for a byte on a watch before it opens one at another controller.
	// Each wait is shorter by a jitter of up to 0.2 s (see configversion). One heartbeat may be lost, and the next one late
	// by the rest of the wait; two may not.
	SilenceTimeout = 1200 * time.Millisecond
	// DefaultAddress is where a controller listens, and where commands look for one, without a setting.
	DefaultAddress = "127.0.0.1:7400"
)

// Cluster is the identity of a replicated log: drawn at random when a cluster is created, and constant for its whole
// life. A cluster that is rebuilt from nothing has another one. The empty Cluster is none.
type Cluster string

// Version is the number of a configuration version. The first one is 1, and each publish adds 1; 0 is none.
type Version uint64

// ControllerAddress is where a controller is reached, and its location.
type ControllerAddress struct {
	Address string `json:"address"` // HOST:PORT of these calls
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
}
