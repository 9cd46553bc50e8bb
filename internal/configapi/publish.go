package configapi

import (
	"encoding/json"
	"fmt"
)

// Document is what an operator publishes: the configurations of some services. All other services keep theirs.
type Document struct {
	Services map[string]ServiceConfig `json:"services"`
}

// ServiceConfig is the configuration of all nodes of one service, in the format of the node's configuration file.
type ServiceConfig struct {
	Settings  json.RawMessage `json:"settings"`            // as `settings` in the node's configuration file
	Discovery string          `json:"discovery,omitempty"` // HOST:PORT; empty: as in each node's configuration file
}

// PublishRequest asks for a new version.
type PublishRequest struct {
	// ID is the idempotency key: a second request with the same ID adds no version and receives the same reply.
	ID       string          `json:"id"`
	Document json.RawMessage `json:"document"`
	// Replaces confirms that this cluster replaces other clusters, so that their nodes switch to it.
	Replaces []Cluster `json:"replaces,omitempty"`
}

// PublishReply reports that a quorum of controllers has stored the version on disk.
type PublishReply struct {
	Cluster Cluster `json:"cluster"`
	Version Version `json:"version"`
}

// ErrorKind classifies a controller's error.
type ErrorKind string

// Error kinds. All except ErrorOutcomeUnknown mean that nothing was changed.
const (
	ErrorInvalid        ErrorKind = "invalid"    // the request is malformed or not allowed
	ErrorTooLarge       ErrorKind = "too_large"  // the document exceeds MaxDocumentBytes
	ErrorRateLimited    ErrorKind = "too_many"   // the requests exceed MaxPublishRate
	ErrorNotLeader      ErrorKind = "not_leader" // the request must be sent to Leader
	ErrorNoQuorum       ErrorKind = "no_quorum"  // there is no leader
	ErrorOutcomeUnknown ErrorKind = "unknown"    // the version may or may not come into force: repeat with the same ID
	ErrorNoCapacity     ErrorKind = "full"       // the watch is not admitted: open one at one of Alternatives
)

// Error is the error of a controller. It is the body of each response whose status is not 200.
type Error struct {
	Kind         ErrorKind           `json:"kind"`
	Message      string              `json:"message"`             // includes what an operator can do
	Leader       string              `json:"leader,omitempty"`    // with ErrorNotLeader, HOST:PORT; empty: unknown
	Alternatives []ControllerAddress `json:"elsewhere,omitempty"` // with ErrorNoCapacity, the best first
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }
