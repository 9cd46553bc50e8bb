// Package capture records the input events of the balancer and the resulting actions, and replays them. Decisions made in
// production can thus be examined later and compared with those of another build.
//
// A record is either one event with the actions that the balancer returned for it, or a head. A head contains the settings
// and the seed of the balancer and a checkpoint of its state; a replay can start at any head. Records are length-prefixed
// JSON. A Writer writes them to standard error (each as a line of base64), to a ring buffer in memory and, if the settings
// name a folder, to files in that folder. Replay reads a log that contains such lines, or a capture file.
//
// record.go defines the record; event.go and action.go convert the types of the balancer; frame.go adds the length prefix;
// text.go escapes text that JSON can't represent. writer.go, ring.go and folder.go write captures; source.go, replay.go and
// difference.go read and compare them.
package capture

import (
	"encoding/json"
	"net/netip"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Version is the version of the record format. Builds with the same format version may decide differently; a replay shows
// how.
const Version = "7"

// recordKind identifies the event type of a record. The values are stored in captures and must not change.
type recordKind string

// The kinds of records: a head, and one for each type of event.
const (
	kindHead                recordKind = "head"        // settings and state of the balancer; no event
	kindRequest             recordKind = "request"     // balancer.Request
	kindAttemptEnded        recordKind = "outcome"     // balancer.AttemptEnded
	kindTimerFired          recordKind = "timer"       // balancer.TimerFired
	kindEndpointUpdate      recordKind = "list"        // balancer.EndpointUpdate
	kindWatchFailed         recordKind = "list_failed" // balancer.WatchFailed
	kindLeaseChanged        recordKind = "list_lease"  // balancer.LeaseChanged
	kindResponseStarted     recordKind = "started"     // balancer.ResponseStarted
	kindClientGone          recordKind = "client_gone" // balancer.ClientGone
	kindStartFaultInjection recordKind = "drill"       // balancer.StartFaultInjection
	kindShutdownBegun       recordKind = "leaving"     // balancer.ShutdownBegun
	kindAdminOverride       recordKind = "hand"        // balancer.AdminOverride
	kindSettingsChanged     recordKind = "retune"      // balancer.SettingsChanged
)

// record is one event with the resulting actions, or a head. The kind determines which fields are set. Times and durations
// are in ns; At and Deadline are by the clock that the caller of the balancer passes to it.
type record struct {
	Seq             uint64           `json:"seq"` // number of the event, from 1; for a head, that of the last event before it
	At              time.Duration    `json:"at"`
	Kind            recordKind       `json:"kind"`
	ID              string           `json:"id,omitempty"` // of the request
	Class           string           `json:"class,omitempty"`
	Tenant          string           `json:"tenant,omitempty"`
	Budget          time.Duration    `json:"budget,omitempty"`
	Deadline        time.Duration    `json:"deadline,omitempty"`
	ClientRetry     bool             `json:"repeat,omitempty"`
	Key             uint64           `json:"key,omitempty"`
	HasKey          bool             `json:"has_key,omitempty"`
	Client          netip.Addr       `json:"client,omitzero"`
	Attempt         int              `json:"attempt,omitempty"`
	Server          string           `json:"server,omitempty"`
	Outcome         balancer.Outcome `json:"ending,omitempty"`
	Latency         time.Duration    `json:"latency,omitempty"`
	RequestDone     bool             `json:"ended,omitempty"`
	Name            string           `json:"name,omitempty"` // of a timer or a fault injection
	Complete        bool             `json:"full,omitempty"` // the endpoint list is complete
	Cached          bool             `json:"cached,omitempty"`
	Endpoints       []endpoint       `json:"hosts,omitempty"`
	Actions         []action         `json:"decision,omitempty"`
	Answer          int              `json:"answer,omitempty"`  // HTTP status of the final response that this event caused
	Disabled        bool             `json:"out,omitempty"`     // an operator disabled the server
	Expired         bool             `json:"expired,omitempty"` // the lease on the endpoint list has expired
	SettingsVersion int              `json:"rules,omitempty"`
	StreamedBody    bool             `json:"bulk,omitempty"`
	Head            *head            `json:"head,omitempty"`
	Connection      uint64           `json:"conn,omitempty"` // this and the fields below describe an attempt: see AttemptTrace
	Use             int              `json:"use,omitempty"`
	Idle            time.Duration    `json:"rest,omitempty"`
	Written         bool             `json:"written,omitempty"`
	ClosedBy        string           `json:"closed,omitempty"`
	Reason          string           `json:"ground,omitempty"`

	Settings *balancer.Settings         `json:"settings,omitempty"`
	Accepted *balancer.AcceptedSettings `json:"accepted,omitempty"` // of a request; nil: those in force
}

// endpoint is the stored form of a server in an endpoint list.
type endpoint struct {
	ID        string               `json:"host"`
	Addr      string               `json:"addr,omitempty"`
	Zone      string               `json:"zone,omitempty"`
	Kind      string               `json:"kind,omitempty"`
	Cell      int                  `json:"cell,omitempty"`
	State     balancer.ServerState `json:"state,omitempty"`
	StartTime time.Duration        `json:"boot,omitempty"`
}

// head holds the settings, the seed and the state of a balancer.
type head struct {
	Version    string            `json:"version"`
	Node       string            `json:"node"`
	StartedAt  int64             `json:"began"` // Unix time in ns of the capture's start; distinguishes the runs of a node
	Seed       uint64            `json:"seed"`
	Settings   balancer.Settings `json:"settings"`
	Checkpoint json.RawMessage   `json:"checkpoint"`
}

// EventContext is what a node knows about an event but does not pass to the balancer. It is recorded with the event.
type EventContext struct {
	Tenant    string
	Budget    time.Duration
	Served    bool              // the outcome is the response to the client
	Addresses map[string]string // of the servers of an endpoint list, by server ID
	Attempt   AttemptTrace      // of the attempt that ended
}

// AttemptTrace describes the connection of an attempt and the reason for its outcome. It helps to explain a retry.
type AttemptTrace struct {
	Connection uint64        // number of the connection within the process; 0: none
	Use        int           // number of the request on the connection, from 1; 0: nothing was written
	Idle       time.Duration // how long the connection was idle before the attempt
	Written    bool          // the request's last byte was written
	ClosedBy   string        // who closed the connection, or why; "": it is open
	Reason     string        // the reason for the outcome
}
