package configapi

import (
	"fmt"
	"net/url"
	"strconv"
)

// WatchRequest is a node's request for a watch. It is sent in the URL's query.
type WatchRequest struct {
	Node            string // the node's name, the same after a restart
	Service         string
	Region          string
	Zone            string
	StartedMS       int64   // start of the process, Unix milliseconds: tells two processes of one node apart
	WatchNumber     uint64  // rises by 1 with each watch that the process opens
	Cluster         Cluster // that the node follows; empty: none
	LastDecided     Version // the newest version applied or rejected; 0: none
	Applied         Version // the version in force; 0: the configuration that the process was started with
	LastRejected    bool    // LastDecided was rejected
	RejectionReason string  // why, if it was
	// WatchRejections is how many controllers have rejected a watch since the node last had one. A controller admits a
	// node that was rejected before more readily, so that it is not passed around.
	WatchRejections uint64
}

// Keys of a WatchRequest in the query.
const (
	keyNode            = "node"     // Node
	keyService         = "service"  // Service
	keyRegion          = "region"   // Region
	keyZone            = "zone"     // Zone
	keyStartedMS       = "started"  // StartedMS, a number
	keyWatchNumber     = "session"  // WatchNumber, a number
	keyCluster         = "cluster"  // Cluster
	keyLastDecided     = "held"     // LastDecided, a number
	keyApplied         = "applied"  // Applied, a number
	keyLastRejected    = "rejected" // LastRejected: lastRejectedValue, or absent
	keyRejectionReason = "reason"   // RejectionReason; absent unless rejected
	keyWatchRejections = "refused"  // WatchRejections, a number; absent: 0

	lastRejectedValue = "1" // of keyLastRejected: true
)

// Query encodes the request as a URL query.
func (r WatchRequest) Query() string {
	q := url.Values{}
	q.Set(keyNode, r.Node)
	q.Set(keyService, r.Service)
	q.Set(keyRegion, r.Region)
	q.Set(keyZone, r.Zone)
	q.Set(keyStartedMS, strconv.FormatInt(r.StartedMS, 10))
	q.Set(keyWatchNumber, strconv.FormatUint(r.WatchNumber, 10))
	q.Set(keyCluster, string(r.Cluster))
	q.Set(keyLastDecided, strconv.FormatUint(uint64(r.LastDecided), 10))
	q.Set(keyApplied, strconv.FormatUint(uint64(r.Applied), 10))
	if r.WatchRejections > 0 {
		q.Set(keyWatchRejections, strconv.FormatUint(r.WatchRejections, 10))
	}
	if r.LastRejected {
		q.Set(keyLastRejected, lastRejectedValue)
		q.Set(keyRejectionReason, r.RejectionReason)
	}
	return q.Encode()
}

// ParseWatchRequest decodes a query that Query has encoded. Its error is an *Error of kind ErrorInvalid.
func ParseWatchRequest(q url.Values) (WatchRequest, error) {
	r := WatchRequest{
		Node:            q.Get(keyNode),
		Service:         q.Get(keyService),
		Region:          q.Get(keyRegion),
		Zone:            q.Get(keyZone),
		Cluster:         Cluster(q.Get(keyCluster)),
		LastRejected:    q.Get(keyLastRejected) == lastRejectedValue,
		RejectionReason: q.Get(keyRejectionReason),
	}
	if r.Node == "" || r.Service == "" {
		return r, &Error{Kind: ErrorInvalid, Message: "a watch needs node and service"}
	}
	for key, into := range map[string]*uint64{
		keyWatchNumber: &r.WatchNumber,
		keyLastDecided: (*uint64)(&r.LastDecided),
		keyApplied:     (*uint64)(&r.Applied),
	} {
		if err := parseNumber(q, key, into); err != nil {
			return r, err
		}
	}
	if q.Get(keyWatchRejections) != "" {
		if err := parseNumber(q, keyWatchRejections, &r.WatchRejections); err != nil {
			return r, err
		}
	}
	started, err := strconv.ParseInt(q.Get(keyStartedMS), 10, 64)
	if err != nil {
		return r, notANumber(keyStartedMS)
	}
	r.StartedMS = started
	return r, nil
}

func parseNumber(q url.Values, key string, into *uint64) error {
	number, err := strconv.ParseUint(q.Get(key), 10, 64)
	if err != nil {
		return notANumber(key)
	}
	*into = number
	return nil
}

func notANumber(key string) *Error {
	return &Error{Kind: ErrorInvalid, Message: fmt.Sprintf("%s is not a number", key)}
}

// Update is one object of a watch. The first one comes at once, also when nothing has changed; then one comes with each
// version and each change of the other fields.
type Update struct {
	Cluster  Cluster   `json:"cluster"`
	Replaces []Cluster `json:"replaces,omitempty"` // clusters that this one replaces, on an operator's confirmation
	Version  Version   `json:"version"`            // the newest that this controller has applied
	// ConfigVersion is the newest version, at most Version, that names the node's service; 0: none does. A node that
	// has applied ConfigVersion or a later one has the configuration of Version already, and Config is absent.
	ConfigVersion Version        `json:"changed"`
	Config        *ServiceConfig `json:"config,omitempty"`
	// HasLeaderContact is set if the controller was in contact with the leader of a quorum within the last second. A controller
	// that was not serves the state that it has; a node prefers one that was.
	HasLeaderContact bool `json:"current"`
	// MigrateTo asks the node to open a watch at another controller (HOST:PORT) and then to close this one.
	MigrateTo string `json:"move_to,omitempty"`
	// Controllers are all controllers of the cluster; only the first Update of a watch has them.
	Controllers []ControllerAddress `json:"controllers,omitempty"`
}

// Outcome is what a node did with a version.
type Outcome string

// Outcomes.
const (
	Applied  Outcome = "applied"  // it is in force, or changes nothing for this node
	Rejected Outcome = "rejected" // the version before stays in force
)

// RejectionKind classifies why a node rejected a version.
type RejectionKind string

// Rejection kinds.
const (
	RejectUnreadable RejectionKind = "unreadable" // not JSON, or not of the form of settings
	RejectInvalid    RejectionKind = "invalid"    // the checks of a settings file fail
	RejectNoServer   RejectionKind = "no_server"  // a class would have no server of those known
	RejectOneServer  RejectionKind = "one_server" // a class would have a single server, where it has several now
	RejectForeign    RejectionKind = "foreign"    // of another cluster, which no operator has confirmed
	RejectOlder      RejectionKind = "older"      // older than the last one decided
)

// Rejection is why a node rejected a version. It is an error.
type Rejection struct {
	Kind    RejectionKind `json:"kind"`
	Message string        `json:"message"` // with what an operator can do
}

func (r *Rejection) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Message) }

// Acknowledgement is a node's decision about a version.
type Acknowledgement struct {
	Node        string     `json:"node"`
	StartedMS   int64      `json:"started"` // as in the WatchRequest
	WatchNumber uint64     `json:"session"` // as in the WatchRequest
	Cluster     Cluster    `json:"cluster"`
	Version     Version    `json:"version"`
	Outcome     Outcome    `json:"outcome"`
	Rejection   *Rejection `json:"rejection,omitempty"`
	Applied     Version    `json:"applied"` // the version in force after this; 0: the configuration of the start
}
