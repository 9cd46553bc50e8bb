// Package configapi has the messages of configuration versions: what a node and a controller say to each other, what
// controllers say among themselves, and what the operator's commands send and get. It holds types, paths and limits
// only. Everything is HTTP/1.1 with JSON bodies on loopback or a private network, without TLS and without sign-in.
//
//	GET  /v1/config   a node's watch: chunked, one Update per JSON object, an empty line per heartbeat
//	POST /v1/ack      a node's Acknowledgement of a version
//	POST /v1/publish  an operator's PublishRequest, answered by a PublishReply or an Error
//	GET  /v1/status   what one controller knows, as a ControllerStatus
//	GET  /v1/load     one controller's Load, read by the other controllers
package configapi

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Paths of the calls.
const (
	PathWatch   = "/v1/config"
	PathAck     = "/v1/ack"
	PathPublish = "/v1/publish"
	PathStatus  = "/v1/status"
	PathLoad    = "/v1/load"
)

// Limits and timings. Those that a settings file may change are defaults.
const (
	// MaxDocumentBytes is the size of one published document, in bytes.
	MaxDocumentBytes = 1 << 20
	// MaxPublishRate is how many versions a cluster accepts in any second.
	MaxPublishRate = 10
	// MaxReasonBytes is the length of a node's reason for a rejection, in bytes; longer ones are cut.
	MaxReasonBytes = 512
	// HeartbeatInterval is the longest silence on a watch: a controller writes an empty line after so long without an Update.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a node waits on a silent watch before it opens one to another controller.
	SilenceTimeout = 1200 * time.Millisecond
	// DefaultAddress is where a controller listens, and where commands look for one, without a setting.
	DefaultAddress = "127.0.0.1:7400"
)

// Cluster is the identity of a replicated log: drawn at random when a cluster is created, kept for its whole life. A
// cluster that is rebuilt from nothing has another one. The empty Cluster is none.
type Cluster string

// Version is the number of a configuration version. The first one is 1, and each publish adds 1; 0 is none.
type Version uint64

// Document is what an operator publishes: the configuration of the services that it names. A service that it does not
// name keeps the configuration that it has.
type Document struct {
	Services map[string]ServiceConfig `json:"services"`
}

// ServiceConfig is the configuration of all nodes of one service, in the form of the node's configuration file.
type ServiceConfig struct {
	Settings  json.RawMessage `json:"settings"`            // as `settings` in the node's configuration file
	Discovery string          `json:"discovery,omitempty"` // HOST:PORT; empty: that of each node's own file
}

// WatchRequest is what a node says when it opens a watch; it travels in the query.
type WatchRequest struct {
	Node            string // the node's name, the same after a restart
	Service         string
	Region          string
	Zone            string
	StartedMS       int64   // when the process started, Unix milliseconds: tells two processes of one node apart
	Session         uint64  // rises by 1 with each watch that the process opens
	Cluster         Cluster // of the version held; empty: none
	LastDecided     Version // the newest version answered for, applied or rejected; 0: none
	Applied         Version // the version in force; 0: the configuration that the process was started with
	LastRejected    bool    // Held was rejected
	RejectionReason string  // why, where it was
	// WatchRejections is how many controllers have refused a watch since the node last had one. A controller lets a node in
	// more readily that was refused before, so that it is not sent round.
	WatchRejections uint64
}

// Query writes the request as a URL query.
func (r WatchRequest) Query() string {
	q := url.Values{}
	q.Set("node", r.Node)
	q.Set("service", r.Service)
	q.Set("region", r.Region)
	q.Set("zone", r.Zone)
	q.Set("started", strconv.FormatInt(r.StartedMS, 10))
	q.Set("session", strconv.FormatUint(r.Session, 10))
	q.Set("cluster", string(r.Cluster))
	q.Set("held", strconv.FormatUint(uint64(r.LastDecided), 10))
	q.Set("applied", strconv.FormatUint(uint64(r.Applied), 10))
	if r.WatchRejections > 0 {
		q.Set("refused", strconv.FormatUint(r.WatchRejections, 10))
	}
	if r.LastRejected {
		q.Set("rejected", "1")
		q.Set("reason", r.RejectionReason)
	}
	return q.Encode()
}

// ParseWatchRequest reads what Query wrote.
func ParseWatchRequest(q url.Values) (WatchRequest, error) {
	r := WatchRequest{Node: q.Get("node"), Service: q.Get("service"), Region: q.Get("region"), Zone: q.Get("zone"),
		Cluster: Cluster(q.Get("cluster")), LastRejected: q.Get("rejected") == "1", RejectionReason: q.Get("reason")}
	if r.Node == "" || r.Service == "" {
		return r, &Error{Kind: ErrorInvalid, Message: "a watch needs node and service"}
	}
	for name, into := range map[string]*uint64{"session": &r.Session, "held": (*uint64)(&r.LastDecided), "applied": (*uint64)(&r.Applied)} {
		n, err := strconv.ParseUint(q.Get(name), 10, 64)
		if err != nil {
			return r, &Error{Kind: ErrorInvalid, Message: fmt.Sprintf("%s is not a number", name)}
		}
		*into = n
	}
	if text := q.Get("refused"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return r, &Error{Kind: ErrorInvalid, Message: "refused is not a number"}
		}
		r.WatchRejections = n
	}
	started, err := strconv.ParseInt(q.Get("started"), 10, 64)
	if err != nil {
		return r, &Error{Kind: ErrorInvalid, Message: "started is not a number"}
	}
	r.StartedMS = started
	return r, nil
}

// Update is one object of a watch. The first one comes at once, also when nothing has changed; then one comes with each
// version and each change of the other fields.
type Update struct {
	Cluster  Cluster   `json:"cluster"`
	Replaces []Cluster `json:"replaces,omitempty"` // clusters whose nodes an operator has handed to this one
	Version  Version   `json:"version"`            // the newest that this controller has committed
	// ConfigVersion is the newest version, at most Version, that names the node's service; 0: none does. A node that applied
	// ConfigVersion or a later one has the configuration of Version already, and Config is absent.
	ConfigVersion Version        `json:"changed"`
	Config        *ServiceConfig `json:"config,omitempty"`
	// Current says that the controller was in touch with the leader of a quorum within the last second. A controller
	// that is not serves what it has; a node prefers one that is.
	Current bool `json:"current"`
	// MigrateTo asks the node to open a watch at another controller and then to end this one.
	MigrateTo string `json:"move_to,omitempty"`
	// Controllers are the addresses of all controllers of the cluster; only the first Update of a watch has them.
	Controllers []Endpoint `json:"controllers,omitempty"`
}

// Endpoint is where one controller is reached, and where it stands.
type Endpoint struct {
	Address string `json:"address"` // HOST:PORT of these calls
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
}

// Outcome is what a node did with a version.
type Outcome string

// Outcomes.
const (
	Applied  Outcome = "applied"  // it is in force, or changed nothing for this node
	Rejected Outcome = "rejected" // the node keeps what it had
)

// RejectionKind classifies why a node rejected a version.
type RejectionKind string

// Rejection kinds.
const (
	RejectUnreadable RejectionKind = "unreadable" // not JSON, or not of the form of settings
	RejectInvalid    RejectionKind = "invalid"    // refused by the checks that SIGHUP makes
	RejectNoServer   RejectionKind = "no_server"  // a class would have no server of those known
	RejectOneServer  RejectionKind = "one_server" // a class would have a single server, where it has several now
	RejectForeign    RejectionKind = "foreign"    // of another cluster, which no operator has confirmed
	RejectOlder      RejectionKind = "older"      // older than the version held
)

// Rejection is why a node rejected a version. Its message says what an operator can do.
type Rejection struct {
	Kind    RejectionKind `json:"kind"`
	Message string        `json:"message"`
}

func (r *Rejection) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Message) }

// Acknowledgement is a node's answer to a version.
type Acknowledgement struct {
	Node      string     `json:"node"`
	StartedMS int64      `json:"started"`
	Session   uint64     `json:"session"`
	Cluster   Cluster    `json:"cluster"`
	Version   Version    `json:"version"`
	Outcome   Outcome    `json:"outcome"`
	Rejection *Rejection `json:"rejection,omitempty"`
	Applied   Version    `json:"applied"` // the version in force after this; 0: the start's configuration
}

// PublishRequest asks for a new version.
type PublishRequest struct {
	// ID makes the request safe to repeat: a second one with the same ID adds no version and is answered with the first
	// one's reply.
	ID       string          `json:"id"`
	Document json.RawMessage `json:"document"`
	// Replaces confirms that the nodes of another cluster are to follow this one.
	Replaces []Cluster `json:"replaces,omitempty"`
}

// PublishReply says that a quorum has the version on disk.
type PublishReply struct {
	Cluster Cluster `json:"cluster"`
	Version Version `json:"version"`
}

// ErrorKind classifies a controller's refusal.
type ErrorKind string

// Error kinds.
const (
	ErrorInvalid        ErrorKind = "invalid"    // the request itself is wrong; nothing was taken
	ErrorTooLarge       ErrorKind = "too_large"  // over MaxDocument; nothing was taken
	ErrorRateLimited    ErrorKind = "too_many"   // over MaxPublishRate; nothing was taken
	ErrorNotLeader      ErrorKind = "not_leader" // ask Leader; nothing was taken
	ErrorNoQuorum       ErrorKind = "no_quorum"  // there is no leader; nothing was taken
	ErrorOutcomeUnknown ErrorKind = "unknown"    // the version may or may not come into force: repeat with the same ID
	ErrorNoCapacity     ErrorKind = "full"       // no more sessions here: open one at one of Elsewhere
)

// Error is a controller's refusal, the body of any answer that is not 200.
type Error struct {
	Kind         ErrorKind  `json:"kind"`
	Message      string     `json:"message"`
	Leader       string     `json:"leader,omitempty"`    // HOST:PORT, for ErrorNotLeader, where known
	Alternatives []Endpoint `json:"elsewhere,omitempty"` // the least loaded first, for ErrorFull
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }

// Load is how many sessions a controller has, and whether it is current (see Update).
type Load struct {
	Name     string  `json:"name"`
	Cluster  Cluster `json:"cluster"`
	Sessions int     `json:"sessions"`
	Current  bool    `json:"current"`
}

// ControllerStatus is what one controller knows.
type ControllerStatus struct {
	Name     string       `json:"name"`
	Cluster  Cluster      `json:"cluster"`
	Version  Version      `json:"version"`
	Leader   string       `json:"leader,omitempty"`
	Current  bool         `json:"current"`
	Sessions int          `json:"sessions"`
	Nodes    []NodeStatus `json:"nodes"`
	// Controllers are the addresses of all controllers of the cluster, this one's among them.
	Controllers []Endpoint `json:"controllers,omitempty"`
}

// NodeStatus is what a controller last heard of a node.
type NodeStatus struct {
	Node        string     `json:"node"`
	Service     string     `json:"service"`
	Region      string     `json:"region,omitempty"`
	Zone        string     `json:"zone,omitempty"`
	StartedMS   int64      `json:"started"`
	Session     uint64     `json:"session"`
	Connected   bool       `json:"connected"`
	LastSeenMS  int64      `json:"seen_ms"` // Unix milliseconds of the last word
	Cluster     Cluster    `json:"cluster,omitempty"`
	LastDecided Version    `json:"held"`
	Outcome     Outcome    `json:"outcome,omitempty"`
	Applied     Version    `json:"applied"`
	Rejection   *Rejection `json:"rejection,omitempty"`
}
