// Package scenario reads the lab's scenario files. A scenario defines tiers of servers, clients and faults, and how
// long it runs. The grammar is that of the settings file and just as strict: an unknown, repeated, mistyped or
// out-of-range setting is an error that names the file and the line. This package only reads files; package model
// implements the behavior.
//
// The keys of the files keep the words of the lab's first version ("trouble", "boxes", "worth", "aim_ms", the policy
// "deckrelay"). They are mapped to the terms of the code here and nowhere else.
package scenario

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Scenario is the content of a scenario file, with that of its base.
type Scenario struct {
	Name      string
	Seed      uint64
	Length    time.Duration // how long requests arrive; requests that have arrived by then run to their end
	Policy    string        // one of policies.Names
	Tiers     []Tier        // the ingress nodes send to the first one
	Classes   []Class
	Tenants   []Tenant
	Clients   Clients
	Ingress   Ingress
	Discovery Discovery
	Network   Network
	Rules     Rules
	Fleet     Fleet
	Faults    []Fault
}

// Tier is a group of servers that the ingress nodes or the previous tier send requests to.
type Tier struct {
	Name  string
	Work  float64 // share of a request's work that one call to this tier takes
	Calls float64 // mean number of sequential calls that a request makes to the next tier
	Kinds []ServerKind
}

// ServerCount returns the number of servers of all kinds.
func (t Tier) ServerCount() (count int) {
	for _, k := range t.Kinds {
		count += k.Count
	}
	return count
}

// ServerKind describes identical servers in a tier. It is stored in recorded histories.
type ServerKind struct {
	Name                string        `json:"Name"`
	Count               int           `json:"Count"`
	Cores               float64       `json:"Cores"`
	Speed               float64       `json:"Speed"`    // work of a core per second, in seconds
	Concurrency         int           `json:"Slots"`    // requests in progress, including those that wait for calls
	QueueLength         int           `json:"Queue"`    // requests that may wait in addition to Concurrency
	ContentionLoss      float64       `json:"Thrash"`   // share of efficiency lost at twice ContentionThreshold
	ContentionThreshold int           `json:"ThrashAt"` // a server that holds more requests than this slows down
	WarmupStartShare    float64       `json:"ColdFrom"` // share of its capacity that a server has when it starts
	WarmupDuration      time.Duration `json:"Cold"`
	MaxConnections      int           `json:"Conns"`     // open at the same time
	HandshakeWork       time.Duration `json:"Handshake"` // work for a new connection
	ErrorRate           float64       `json:"ErrorRate"` // share of requests that get an error response
	CancelsQueued       bool          `json:"Cancels"`   // a canceled request is removed from the server's queue
}

// Class is a class of requests. It is stored in recorded histories.
type Class struct {
	Name             string          `json:"Name"`
	Share            float64         `json:"Share"` // weight among the arrivals, relative to the sum over classes
	Effect           balancer.Effect `json:"Effect"`
	PriorityWeight   float64         `json:"Worth"`
	LateCredit       float64         `json:"LateShare"` // share of PriorityWeight that a response after the objective earns
	Work             time.Duration   `json:"Work"`      // mean at speed 1, of all tiers together
	WorkVariation    float64         `json:"CV"`        // coefficient of variation of the lognormal work
	LatencyObjective time.Duration   `json:"Aim"`
	Deadline         time.Duration   `json:"Deadline"`
	DedupWindow      time.Duration   `json:"Window"` // of classes with an idempotency key: how long servers discard repeated requests
}

// Tenant is a tenant that requests belong to.
type Tenant struct {
	Name  string
	Share float64 // weight among the arrivals, relative to the sum over tenants
}

// Clients describes how requests arrive and how clients retry.
type Clients struct {
	Rate                 float64 // new requests per second, without retries
	Arrivals             string  // ArrivalsPoisson, ArrivalsRamp or ArrivalsRecorded
	ArrivalsFile         string  // holds the recorded arrivals
	Retries              int
	TryTimeoutShare      float64 // timeout of each try but the last, as a share of the deadline
	Backoff              time.Duration
	HonorRetryAfterShare float64 // share of rejected clients that obey Retry-After
	MarkRetries          bool    // retries are marked as such
	ImpatientShare       float64 // share of clients that leave before their deadline
	ClosedLoop           int     // if above 0, this many clients with one request at a time each replace the rate
}

// Arrival processes of Clients.Arrivals.
const (
	ArrivalsPoisson  = "poisson"  // independent arrivals at the rate
	ArrivalsRamp     = "ramp"     // the rate rises from half of Rate to one and a half times Rate
	ArrivalsRecorded = "recorded" // read from a file
)

// Ingress distributes clients over the nodes in front of the first tier.
type Ingress struct {
	Nodes            int
	FailureDetection time.Duration // time until the death of a node is detected
}

// Discovery is the service that lists servers. Delays are from an event until the list shows it.
type Discovery struct {
	Polled           bool          // nodes poll for lists; otherwise lists are pushed
	DrainDelay       time.Duration // until a draining server is listed as such
	AddDelay         time.Duration // until a started server is listed
	CrashDelay       time.Duration // until a crash is listed
	UnreachableDelay time.Duration // until a machine without a network connection is listed as gone
	NotifySpread     time.Duration // maximum time from the change of the list until a node is notified
	CallsPerSecond   float64       // that the service can answer
	CallTimeout      time.Duration // of a call that is queued
	MaxPollInterval  time.Duration // a node without a watch must poll at least this often
	Indented         bool          // lists span several lines
}

// Network is the network between clients, nodes and servers.
type Network struct {
	ServerLatency       time.Duration // one way between node and server
	ClientLatency       time.Duration // one way between client and node
	Jitter              float64       // of both latencies, as a share
	HandshakeRoundTrips int
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration // an idle connection is closed after this time
}

// Rules are the limits that nodes are configured with and that the checker verifies. They are stored in recorded
// histories.
type Rules struct {
	MaxAttempts      int           `json:"MaxAttempts"`
	DrainGrace       time.Duration `json:"DrainGrace"`
	OverloadMultiple float64       `json:"FallMultiple"` // a warming server falls over above this multiple of its capacity
	OverloadWindow   time.Duration `json:"Fall"`         // in which OverloadMultiple is measured
	MaxRetryAfter    time.Duration `json:"MaxRetryAfter"`
	Slack            time.Duration `json:"Slack"` // tolerance added to every time limit
}

// Fleet describes how a scenario is divided into processes, and the initial state of its nodes.
type Fleet struct {
	ServersPerProcess int           // servers in one process, which represents one machine
	BootstrapList     string        // the endpoint list that a node starts with: one of the Bootstrap constants
	BootstrapAge      time.Duration // age of the list with BootstrapOld
	OldBuildShare     float64       // share of the nodes that run another build
	AdminCalls        bool          // nodes accept admin calls, and all incarnations of a node have the same address and name
}

// Values of Fleet.BootstrapList.
const (
	BootstrapFresh = "fresh" // the current list
	BootstrapOld   = "old"   // the list as it was BootstrapAge ago
	BootstrapNone  = "none"  // an empty list
)
