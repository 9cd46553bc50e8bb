// Package capture records all that goes into the balancer and what comes out, and replays it, so that a decision made in
// service can be looked at later and compared with what another build decides.
//
// A record is one event with the actions that answered it, or a head. A head has what the balancer was made of and all that
// it held at that moment (a checkpoint); it stands at the start of every stretch that may be replayed by itself. Records are
// length-prefixed JSON. A Writer hands them to standard error (as a line of base64 each), to a ring in memory and, where the
// settings name one, to a folder of files. Replay reads a log with such lines, or a file.
//
// The files: record.go the form of a record, event.go and action.go the balancer's types in it, frame.go its length prefix,
// text.go texts that JSON can't hold; writer.go, ring.go and folder.go write; source.go, replay.go and difference.go read.
package capture

import (
	"encoding/json"
	"net/netip"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Version is that of the records' form. Another build of the same version may decide otherwise; that is what a replay is
// for.
const Version = "5"

// recordKind says which event a record holds. The values are stored in captures and must not change.
type recordKind string

// The kinds of records: a head, and one for each type of event.
const (
	kindHead                recordKind = "head"        // what the balancer was made of and held; no event
	kindRequest             recordKind = "request"     // balancer.Request
	kindAttemptEnded        recordKind = "outcome"     // balancer.AttemptEnded
	kindTimerFired          recordKind = "timer"       // balancer.TimerFired
	kindEndpointUpdate      recordKind = "list"        // balancer.EndpointUpdate
	kindWatchFailed         recordKind = "list_failed" // balancer.WatchFailed
	kindLeaseChanged        recordKind = "list_lease"  // balancer.LeaseChanged
	kindResponseStarted     recordKind = "started"     // balancer.ResponseStarted
	kindClientGone          recordKind = "client_gone" // balancer.ClientGone
	kindStartFaultInjection recordKind = "drill"       // balancer.StartFaultInjection
	kindEndFaultInjections  recordKind = "leaving"     // balancer.EndFaultInjections
	kindAdminOverride       recordKind = "hand"        // balancer.AdminOverride
	kindSettingsChanged     recordKind = "retune"      // balancer.SettingsChanged
)

// record is one event with the actions that answered it, or a head. Which fields it has depends on its kind. Times and
// spans are in ns; At and Deadline are by the clock that the balancer's host gives it.
type record struct {
	Seq             uint64           `json:"seq"` // counts events from 1; of a head: that of the last event before it
	At              time.Duration    `json:"at"`
	Kind            recordKind       `json:"kind"`
	ID              string           `json:"id,omitempty"` // of a request
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
	Complete        bool             `json:"full,omitempty"` // the list
	Cached          bool             `json:"cached,omitempty"`
	Endpoints       []endpoint       `json:"hosts,omitempty"`
	Actions         []action         `json:"decision,omitempty"`
	Answer          int              `json:"answer,omitempty"`  // HTTP status of the final answer that this event led to
	Disabled        bool             `json:"out,omitempty"`     // the server, by an operator
	Expired         bool             `json:"expired,omitempty"` // the lease on the list
	SettingsVersion int              `json:"rules,omitempty"`
	StreamedBody    bool             `json:"bulk,omitempty"`
	Head            *head            `json:"head,omitempty"`
	Connection      uint64           `json:"conn,omitempty"` // of an attempt, as the fields below: see AttemptTrace
	Use             int              `json:"use,omitempty"`
	Idle            time.Duration    `json:"rest,omitempty"`
	Written         bool             `json:"written,omitempty"`
	ClosedBy        string           `json:"closed,omitempty"`
	Ground          string           `json:"ground,omitempty"`

	Settings *balancer.Settings `json:"settings,omitempty"`
}

// endpoint is a server of an endpoint list.
type endpoint struct {
	ID        string               `json:"host"`
	Addr      string               `json:"addr,omitempty"`
	Zone      string               `json:"zone,omitempty"`
	Kind      string               `json:"kind,omitempty"`
	Cell      int                  `json:"cell,omitempty"`
	State     balancer.ServerState `json:"state,omitempty"`
	StartTime time.Duration        `json:"boot,omitempty"`
}

// head is what a balancer was made of and what it holds.
type head struct {
	Version    string            `json:"version"`
	Node       string            `json:"node"`
	Began      int64             `json:"began"` // Unix time in ns of the capture's start; tells one run of a node from the next
	Seed       uint64            `json:"seed"`
	Settings   balancer.Settings `json:"settings"`
	Checkpoint json.RawMessage   `json:"checkpoint"`
}

// EventContext is what a node knows of an event and the balancer is not told. A record has it beside the event.
type EventContext struct {
	Tenant    string
	Budget    time.Duration
	Served    bool              // the outcome is the client's answer
	Addresses map[string]string // of the endpoints of a list, by server ID
	Attempt   AttemptTrace      // of an outcome
}

// AttemptTrace says what an outcome rests on, and on which connection the attempt was made. A retry can be explained by it.
type AttemptTrace struct {
	Connection uint64        // its number in the process; 0: none
	Use        int           // of the connection, from 1; 0: nothing was written
	Idle       time.Duration // how long the connection had been idle before
	Written    bool          // the request's last byte was written
	ClosedBy   string        // who or what closed the connection; "": it is open
	Ground     string
}
