// Settings: what operators configure. The JSON keys are those of the stored forms and stay as they are.

package balancer

import "time"

// Effect says what happens when a request runs more than once.
type Effect int

// Effects. The zero Effect is the careful one.
const (
	NonIdempotent     Effect = iota // must never run twice
	IdempotentWithKey               // the servers of one scope discard duplicates for a while
	Idempotent                      // may run any number of times
)

// Scope names the servers that discard the duplicates of a request that is IdempotentWithKey.
type Scope int

// Scopes, from the narrowest.
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
	DedupWindow      time.Duration `json:"Window"`    // for IdempotentWithKey: from the first attempt
	LatencyObjective time.Duration `json:"Aim"`       // answers within it earn the whole PriorityWeight
	Deadline         time.Duration `json:"Deadline"`  // how long a client waits, over all its tries
	LateCredit       float64       `json:"LateShare"` // share of PriorityWeight for a later answer, 0 to 1
	PriorityWeight   float64       `json:"Worth"`     // value of an answer; only ratios of classes count
	Stream           bool          `json:"Stream"`    // responses are streamed; no rule depends on it
	OrderedByKey     bool          `json:"InOrder"`   // requests of one key run one by one, as they came
	AllowedZones     []string      `json:"OnlyZones"` // zones that may serve the class; nil: all
	AllowedKinds     []string      `json:"OnlyKinds"` // kinds of server that may serve the class; nil: all
}

// Settings hold for the requests that arrive under them; SettingsChanged brings others.
type Settings struct {
	Classes          []Class `json:"Classes"`
	Replicas         int     `json:"Balancers"`   // balancers that send to this tier
	ReplicaIndex     int     `json:"Self"`        // this one's number among them, from 0
	Zone             string  `json:"Zone"`        // this replica's zone; "": unknown, none is preferred
	Tier             int     `json:"Tier"`        // the tier sent to; 0 is the first behind the clients
	TotalValueWeight float64 `json:"WholeWeight"` // weight of the value over all classes when shedding load
	WorstClassWeight float64 `json:"ClassWeight"` // weight of the worst-served class when shedding load

	ClientsMarkRetries bool `json:"MarksRepeats"` // clients mark retries; else short deadlines show them

	MaxAttempts     int           `json:"MaxAttempts"`   // attempts a request
	PollDiscovery   bool          `json:"AskDiscovery"`  // the endpoint list comes only after a Subscribe
	MaxPollInterval time.Duration `json:"AskWithin"`     // longest time between polls while unsubscribed
	TimerTolerance  time.Duration `json:"Tick"`          // how early or late the host's timers may fire
	MaxRetryAfter   time.Duration `json:"MaxRetryAfter"` // longest Retry-After that clients follow; 0: none
	KeyQuietPeriod  time.Duration `json:"OrderSettle"`   // pause of a key after an attempt that may still run

	SlowStartMinShare float64       `json:"ColdFrom"`     // share of capacity that a new server has at least
	SlowStartDuration time.Duration `json:"WarmAfter"`    // time from its start until it has all of it
	OverloadMultiple  float64       `json:"FallMultiple"` // load over capacity at which it fails; 0: unknown

	FaultInjections []FaultInjection `json:"Drills"`    // faults that can be started; nil: none
	AccessList      *AccessList      `json:"Addresses"` // clients admitted; nil: all
}
