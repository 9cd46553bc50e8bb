// Settings: what operators configure. The JSON keys are those of the stored forms and must not change.

package balancer

import "time"

// Effect says whether a request may run more than once.
type Effect int

// Effects. The zero value is the strictest one.
const (
	NonIdempotent     Effect = iota // must never run twice
	IdempotentWithKey               // the servers of one Scope discard duplicates for a limited time
	Idempotent                      // may run any number of times
)

// Scope says which servers discard duplicates of an IdempotentWithKey request: all that share the scope with
// the server that received it.
type Scope int

// Scopes, the narrowest first.
const (
	ScopeCell Scope = iota // the servers of one cell of a zone
	ScopeZone              // the servers of one zone
	ScopeAll               // all servers
)

// Class describes one class of requests.
type Class struct {
	Name             string        `json:"Name"`
	Effect           Effect        `json:"Effect"`
	DedupScope       Scope         `json:"Scope"`     // for IdempotentWithKey
	DedupWindow      time.Duration `json:"Window"`    // for IdempotentWithKey: time from the first attempt
	LatencyObjective time.Duration `json:"Aim"`       // answers within it earn the whole PriorityWeight
	Deadline         time.Duration `json:"Deadline"`  // how long a client waits, over all its tries
	LateCredit       float64       `json:"LateShare"` // share of PriorityWeight for a later answer, 0 to 1
	PriorityWeight   float64       `json:"Worth"`     // value of an answer, relative to other classes
	Stream           bool          `json:"Stream"`    // responses are streamed; no decision depends on it
	OrderedByKey     bool          `json:"InOrder"`   // requests of a key run one at a time, in arrival order
	AllowedZones     []string      `json:"OnlyZones"` // zones that may serve the class; nil: all
	AllowedKinds     []string      `json:"OnlyKinds"` // kinds of server that may serve the class; nil: all
}

// AcceptedSettings are the settings that a request keeps from its acceptance to its answer, however they
// change meanwhile. They decide whether it may be sent again and rejected. They must not be modified.
type AcceptedSettings struct {
	Class       Class `json:"Class"`
	MaxAttempts int   `json:"MaxAttempts"`
}

// Settings apply to the requests that arrive while they are in force. SettingsChanged replaces them.
type Settings struct {
	Classes          []Class `json:"Classes"`
	Replicas         int     `json:"Balancers"`   // balancers that send to the same tier
	ReplicaIndex     int     `json:"Self"`        // this replica's number among them, from 0
	Zone             string  `json:"Zone"`        // this replica's zone; "": unknown, none is preferred
	Tier             int     `json:"Tier"`        // depth of the servers' tier; 0 is nearest to the clients
	TotalValueWeight float64 `json:"WholeWeight"` // weight of the value over all classes when shedding load
	WorstClassWeight float64 `json:"ClassWeight"` // weight of the worst-served class when shedding load

	ClientsMarkRetries bool `json:"MarksRepeats"` // clients mark retries; else detected by short deadlines

	MaxAttempts     int           `json:"MaxAttempts"`   // attempts per request
	PollDiscovery   bool          `json:"AskDiscovery"`  // the endpoint list is sent only after a Subscribe
	MaxPollInterval time.Duration `json:"AskWithin"`     // longest time between polls while unsubscribed
	TimerTolerance  time.Duration `json:"Tick"`          // how early or late the host's timers may fire
	MaxRetryAfter   time.Duration `json:"MaxRetryAfter"` // longest Retry-After that clients follow; 0: none
	KeyQuietPeriod  time.Duration `json:"OrderSettle"`   // pause of a key after an attempt that may still run

	SlowStartMinShare float64       `json:"ColdFrom"`     // share of capacity that a new server has at once
	SlowStartDuration time.Duration `json:"WarmAfter"`    // time from its start until it has full capacity
	OverloadMultiple  float64       `json:"FallMultiple"` // load over capacity at which it fails; 0: unknown

	FaultInjections []FaultInjection `json:"Drills"`    // fault injections that can be started; nil: none
	AccessList      *AccessList      `json:"Addresses"` // which clients are admitted; nil: all
}
