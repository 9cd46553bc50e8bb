// Package scenario reads the lab's scenario files: a world of tiers, clients and faults, and for how long it is played.
// The grammar is that of the settings file, and as strict: an unknown, repeated, mistyped or out-of-range setting is an
// error that names file and line. This package only reads; package model gives the world its behavior.
//
// The keys of the files keep the words of the lab's first version ("trouble", "boxes", "worth", "aim_ms", the policy
// "deckrelay"). They are mapped to the terms of the code here and nowhere else.
package scenario

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Scenario is a whole scenario file.
type Scenario struct {
	Name      string
	Seed      uint64
	Length    time.Duration // how long requests arrive; those that arrived in time are played to their end
	Policy    string        // one of policies.Names
	Tiers     []Tier        // the first is the one that the ingress nodes send to
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

// Tier is one row of servers.
type Tier struct {
	Name  string
	Work  float64 // share of a request's work that one visit to this tier takes
	Calls float64 // mean number of calls, one after another, that a visit makes to the next tier
	Kinds []ServerKind
}

// ServerCount is the number of servers of all kinds.
func (t Tier) ServerCount() (count int) {
	for _, k := range t.Kinds {
		count += k.Count
	}
	return count
}

// ServerKind is a kind of machine in a tier. Recorded histories hold it.
type ServerKind struct {
	Name             string        `json:"Name"`
	Count            int           `json:"Count"`
	Cores            float64       `json:"Cores"`
	Speed            float64       `json:"Speed"`    // work done by a core in a second, in seconds
	Concurrency      int           `json:"Slots"`    // requests in work at once, those that wait for calls included
	QueueLength      int           `json:"Queue"`    // requests that may wait beyond Concurrency
	CrowdingLoss     float64       `json:"Thrash"`   // share of efficiency lost at twice CrowdedAbove
	CrowdedAbove     int           `json:"ThrashAt"` // requests held above which a server slows down
	WarmupStartShare float64       `json:"ColdFrom"` // share of its capacity that a fresh server has
	WarmupDuration   time.Duration `json:"Cold"`
	MaxConnections   int           `json:"Conns"`     // open at once
	HandshakeWork    time.Duration `json:"Handshake"` // work of a new connection
	ErrorRate        float64       `json:"ErrorRate"` // share of requests answered with an error
	CancelsQueued    bool          `json:"Cancels"`   // a canceled request leaves the server's queue
}

// Class is a class of requests. Recorded histories hold it.
type Class struct {
	Name             string          `json:"Name"`
	Share            float64         `json:"Share"` // weight among the arrivals, relative to the sum over classes
	Effect           balancer.Effect `json:"Effect"`
	PriorityWeight   float64         `json:"Worth"`
	LateCredit       float64         `json:"LateShare"` // share of the weight that an answer after the objective earns
	Work             time.Duration   `json:"Work"`      // mean at speed 1, over all tiers
	WorkVariation    float64         `json:"CV"`        // coefficient of variation of the lognormal work
	LatencyObjective time.Duration   `json:"Aim"`
	Deadline         time.Duration   `json:"Deadline"`
	DedupWindow      time.Duration   `json:"Window"` // classes with an idempotency key: how long repeats are discarded
}

// Tenant is one customer of the operators.
type Tenant struct {
	Name  string
	Share float64 // weight among the arrivals, relative to the sum over tenants
}

// Clients say how requests arrive.
type Clients struct {
	Rate             float64 // first tries a second
	Arrivals         string  // ArrivalsPoisson, ArrivalsRamp or ArrivalsRecorded
	ArrivalsFile     string  // of recorded arrivals
	Retries          int
	TryTimeoutShare  float64 // share of the deadline that each try but the last may take
	Backoff          time.Duration
	HonourRetryAfter float64 // share of rejected clients that wait as long as Retry-After says
	MarkRetries      bool    // retries carry the mark of a retry
	ImpatientShare   float64 // share of clients that leave before their time is up
	ClosedLoop       int     // above 0: this many clients with one request at a time each, instead of a rate
}

// Arrival processes of Clients.Arrivals.
const (
	ArrivalsPoisson  = "poisson"  // independent arrivals at the rate
	ArrivalsRamp     = "ramp"     // from half the rate to one and a half times the rate
	ArrivalsRecorded = "recorded" // from a file
)

// Ingress spreads clients over the nodes in front of the first tier.
type Ingress struct {
	Nodes            int
	FailureDetection time.Duration // after which it has seen that a node died
}

// Discovery is the service that lists servers. Delays run from an event to its being listed.
type Discovery struct {
	Polled           bool          // a list follows only a poll; otherwise lists are pushed
	DrainDelay       time.Duration // of a drain
	AddDelay         time.Duration // of a start
	CrashDelay       time.Duration // of a crash
	UnreachableDelay time.Duration // of a machine that has left the network
	NotifySpread     time.Duration // from listed to notified, at most
	CallsPerSecond   float64       // capacity
	CallTimeout      time.Duration // of a call that waits in the queue
	MaxPollInterval  time.Duration // a node without a watch must poll at least so often
	Indented         bool          // lists span several lines
}

// Network is the network between clients, nodes and servers.
type Network struct {
	ServerLatency       time.Duration // one way between node and server
	ClientLatency       time.Duration // one way between client and node
	Jitter              float64       // of both, as a share
	HandshakeRoundTrips int
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration // an idle connection is closed after so long
}

// Rules are what the checker holds nodes to, and what nodes are configured with. Recorded histories hold them.
type Rules struct {
	MaxAttempts      int           `json:"MaxAttempts"`
	DrainGrace       time.Duration `json:"DrainGrace"`
	OverloadMultiple float64       `json:"FallMultiple"` // of its capacity; above it a warming server falls over
	OverloadWindow   time.Duration `json:"Fall"`         // over which that is counted
	MaxRetryAfter    time.Duration `json:"MaxRetryAfter"`
	Slack            time.Duration `json:"Slack"` // allowed beyond every time limit
}

// Fleet says how a world is split into processes, and what its nodes have at their start.
type Fleet struct {
	ServersPerProcess int           // servers that one process holds, as one machine would
	BootstrapList     string        // the endpoint list that a node starts with: one of the Bootstrap constants
	BootstrapAge      time.Duration // of an old list
	OldBuildShare     float64       // share of the nodes that run another build
	AdminCalls        bool          // nodes take admin calls, and keep address and name over their incarnations
}

// Endpoint lists of Fleet.BootstrapList.
const (
	BootstrapFresh = "fresh" // the list of now
	BootstrapOld   = "old"   // the list of BootstrapAge ago
	BootstrapNone  = "none"  // an empty list
)
