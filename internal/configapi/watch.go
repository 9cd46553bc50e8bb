package configapi

import (
	"fmt"
	"net/url"
	"strconv"
)

// WatchRequest is a node's request for a watch. It is sent as the query of the URL.
type WatchRequest struct {
	Node            string // the node's name, which stays the same when it restarts
	Service         string
	Region          string
	Zone            string
	StartedMS       int64   // start time of the process, Unix milliseconds; distinguishes the processes of a node
	WatchNumber     uint64  // increases by 1 with each watch that the process opens
	Cluster         Cluster // the cluster that the node follows; empty: none
	LastDecided     Version // the newest version applied or rejected; 0: none
	Applied         Version // the version in force; 0: the configuration with which the process started
	LastRejected    bool    // LastDecided was rejected
	RejectionReason string  // why LastDecided was rejected; empty unless LastRejected
	// WatchRejections is how many controllers have rejected a watch since the node last had one. A controller admits a
	// rejected node up to a higher limit, so that the node is not redirected again and again.
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

	lastRejectedValue = "1" // value of keyLastRejected that means true
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

// ParseWatchRequest decodes a query that was encoded by Query. Its error is an *Error of kind ErrorInvalid.
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

// Update is one object in the response of a watch. A controller sends the first one immediately, even if nothing has
// changed, and another one with each version and each change of the other fields.
type Update struct {
	Cluster  Cluster   `json:"cluster"`
	Replaces []Cluster `json:"replaces,omitempty"` // clusters that this one replaces, as confirmed by an operator
	Version  Version   `json:"version"`            // the newest version that this controller has applied
	// ConfigVersion is the newest version up to Version that sets the configuration of the node's service; 0: none. If
	// the node has applied ConfigVersion or a later version, it already has the configuration, and Config is absent.
	ConfigVersion Version        `json:"changed"`
	Config        *ServiceConfig `json:"config,omitempty"`
	// HasLeaderContact is set if the controller was in contact with the leader of a quorum within the last second. A
	// controller without this contact serves the state that it has; nodes prefer controllers with it.
	HasLeaderContact bool `json:"current"`
	// MigrateTo asks the node to open a watch at another controller (HOST:PORT) and then to close this one.
	MigrateTo string `json:"move_to,omitempty"`
	// Controllers are all controllers of the cluster. Only the first Update of a watch contains them.
	Controllers []ControllerAddress `json:"controllers,omitempty"`
}

// Outcome is a node's decision about a version.
type Outcome string

// Outcomes.
const (
	Applied  Outcome = "applied"  // the version is in force, or changes nothing for this node
	Rejected Outcome = "rejected" // the previous version stays in force
)

// RejectionKind classifies why a node rejected a version.
type RejectionKind string

// Rejection kinds.
const (
	RejectUnreadable RejectionKind = "unreadable" // the settings are not JSON, or not in the format of settings
	RejectInvalid    RejectionKind = "invalid"    // the settings fail the checks of a settings file
	RejectNoServer   RejectionKind = "no_server"  // a class would have none of the known servers
	RejectOneServer  RejectionKind = "one_server" // a class that has several servers now would have only one
	RejectForeign    RejectionKind = "foreign"    // from another cluster, which no operator has confirmed as a replacement
	RejectOlder      RejectionKind = "older"      // older than the last decided version
)

// Rejection is the reason why a node rejected a version. It implements error.
type Rejection struct {
	Kind    RejectionKind `json:"kind"`
	Message string        `json:"message"` // includes what an operator can do
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
	Applied     Version    `json:"applied"` // the version in force after the decision; 0: as in WatchRequest
}
