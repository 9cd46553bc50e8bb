package configapi

import (
	"encoding/json"
	"fmt"
)

// Document is what an operator publishes: the configuration of the services that it names. Other services keep theirs.
type Document struct {
	Services map[string]ServiceConfig `json:"services"`
}

// ServiceConfig is the configuration of all nodes of one service, in the form of the node's configuration file.
type ServiceConfig struct {
	Settings  json.RawMessage `json:"settings"`            // as `settings` in the node's configuration file
	Discovery string          `json:"discovery,omitempty"` // HOST:PORT; empty: that of each node's own file
}

// PublishRequest asks for a new version.
type PublishRequest struct {
	// ID is the idempotency key: a second request with the same ID adds no version, and gets the first one's reply.
	ID       string          `json:"id"`
	Document json.RawMessage `json:"document"`
	// Replaces confirms that the nodes of other clusters are to follow this one.
	Replaces []Cluster `json:"replaces,omitempty"`
}

// PublishReply reports that a quorum has the version on disk.
type PublishReply struct {
	Cluster Cluster `json:"cluster"`
	Version Version `json:"version"`
}

// ErrorKind classifies a controller's error.
type ErrorKind string

// Error kinds. With all but ErrorOutcomeUnknown, nothing was changed.
const (
	ErrorInvalid        ErrorKind = "invalid"    // the request itself is wrong
	ErrorTooLarge       ErrorKind = "too_large"  // the document is over MaxDocumentBytes
	ErrorRateLimited    ErrorKind = "too_many"   // over MaxPublishRate
	ErrorNotLeader      ErrorKind = "not_leader" // send the request to Leader
	ErrorNoQuorum       ErrorKind = "no_quorum"  // there is no leader
	ErrorOutcomeUnknown ErrorKind = "unknown"    // the version may or may not come into force: repeat with the same ID
	ErrorNoCapacity     ErrorKind = "full"       // the watch is not admitted: open one at one of Alternatives
)

// Error is a controller's error, the body of each response that is not 200.
type Error struct {
	Kind         ErrorKind           `json:"kind"`
	Message      string              `json:"message"`             // with what an operator can do
	Leader       string              `json:"leader,omitempty"`    // HOST:PORT, for ErrorNotLeader, if known
	Alternatives []ControllerAddress `json:"elsewhere,omitempty"` // for ErrorNoCapacity, the best first
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }
