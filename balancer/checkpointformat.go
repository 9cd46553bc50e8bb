// Stored format of the state of a Balancer. Checkpoints are stored in captures on disk and are passed from
// one process of a node to the next, which may be another build, so the JSON keys must not change.

package balancer

import "time"

// savedBalancer is the whole state of a Balancer. Servers, requests and classes are stored in lists, and
// references to them as indexes into these lists. The first KnownServers of Servers are known to the
// Balancer; only ended attempts refer to the others.
type savedBalancer struct {
	Now                  time.Duration       `json:"Now"`
	RNGState             []byte              `json:"Random"`
	Servers              []savedServer       `json:"Servers"`
	KnownServers         int                 `json:"Mapped"`
	Requests             []savedRequest      `json:"Requests"`
	Classes              []savedClass        `json:"Classes"`
	Pools                []savedPool         `json:"Pools"`
	KeyQueues            []savedKeyQueue     `json:"Lines"`
	ErrorRate            float64             `json:"Errors"`
	LastSuccess          time.Duration       `json:"LastOK"`
	RetryBalance         float64             `json:"Tokens"`
	PollFailures         int                 `json:"SubFails"`
	NextPoll             time.Duration       `json:"SubWanted"`
	FaultInjectionsEnded bool                `json:"Leaving"`
	LeaseExpired         bool                `json:"Expired,omitempty"`
	Overrides            []savedOverride     `json:"Hands,omitempty"`
	SettingsVersion      int                 `json:"Rules"`
	PreviousClasses      []int               `json:"Before,omitempty"` // indexes into Classes
	FaultInjector        *savedFaultInjector `json:"Drills,omitempty"`
}

// savedServer is a server and what was learned about it.
type savedServer struct {
	Server
	Listed                bool          `json:"Listed"`
	InFlight              [][2]int      `json:"Open"` // index of the request, number of the attempt
	ConsecutiveFailures   int           `json:"Streak"`
	EjectionLevel         int           `json:"Level"`
	ConsecutiveSuccesses  int           `json:"Goods"`
	EjectedUntil          time.Duration `json:"Until"`
	LastSuccess           time.Duration `json:"LastOK"`
	CapacityLimit         int           `json:"Room"`
	CapacityLimitUntil    time.Duration `json:"Full"`
	ConsecutiveRejections int           `json:"Refusals"`
	EnabledAt             time.Duration `json:"Back,omitempty"`
	FirstRequestDue       time.Duration `json:"Hungry,omitempty"`
}

// savedOverride is the last instruction of operators for a server.
type savedOverride struct {
	ID        string        `json:"ID"`
	Disabled  bool          `json:"Out"`
	EnabledAt time.Duration `json:"Back"`
}

// savedRequest is an open request, or an answered one that still has attempts in flight.
type savedRequest struct {
	ID           []byte         `json:"ID"` // may be invalid UTF-8, which JSON would replace
	Class        int            `json:"Class"`
	FirstTriedAt time.Duration  `json:"Arrived"`
	Deadline     time.Duration  `json:"Deadline"`
	Attempts     []savedAttempt `json:"Attempts"`
	ClientRetry  bool           `json:"Repeat"`
	KeyQueue     *uint64        `json:"Line"`
	Answered     bool           `json:"Answered"`
	Streaming    bool           `json:"Streaming"`
	TimerAt      time.Duration  `json:"Wake"`
	DelayedUntil time.Duration  `json:"Resume"`
	MaxAttempts  int            `json:"Most"`
	StreamedBody bool           `json:"Bulk,omitempty"`
}

// savedAttempt is an attempt of a request.
type savedAttempt struct {
	Server        int           `json:"Server"`
	SentAt        time.Duration `json:"Sent"`
	Zone          string        `json:"Zone"`
	Cell          int           `json:"Cell"`
	ServerStart   time.Duration `json:"Boot"`
	Ended         bool          `json:"Ended"`
	NeverRan      bool          `json:"Unsent"`
	OutsideWindow bool          `json:"Outside,omitempty"`
}

// savedClass is what was learned about a class. The classes of the settings come first, in their order.
type savedClass struct {
	MeanLatency      float64       `json:"Mean"`
	LatencyDeviation float64       `json:"Dev"`
	Samples          float64       `json:"Samples"`
	Arrivals         float64       `json:"Arrive"`
	Served           float64       `json:"Serve"`
	TypicalBudget    time.Duration `json:"UsualTry"`
	PreviousClass    *Class        `json:"Old,omitempty"`  // nil: as in the settings
	Pool             int           `json:"Pool,omitempty"` // index into Pools, for a previous class
}

// savedPool is a pool and what was learned about it.
type savedPool struct {
	InService           []int    `json:"Ready"`
	Preferred           []int    `json:"Near"`
	Queued              []int    `json:"Held"`
	InFlight            int      `json:"InFlight"`
	CrossZoneShare      float64  `json:"Spill"`
	PreferredLogLatency float64  `json:"Nearby"`
	OtherLogLatency     float64  `json:"Far"`
	ServersPerReplica   float64  `json:"Fair"`
	Window              float64  `json:"Window"`
	LoadRatio           float64  `json:"Fill"`
	UnloadedRatio       float64  `json:"Bare"`
	UnloadedSamples     float64  `json:"Spared"`
	PeakInFlight        float64  `json:"Peak"`
	FloorServers        float64  `json:"Base"`
	RoundingDraw        float64  `json:"Part"`
	ShedShare           float64  `json:"Shed"`
	AllDisabled         bool     `json:"Handed,omitempty"`
	AllowedZones        []string `json:"Zones"` // nil: all
	AllowedKinds        []string `json:"Kinds"` // nil: all
}

// savedKeyQueue holds the open requests of one key.
type savedKeyQueue struct {
	Key        uint64        `json:"Key"`
	Requests   []int         `json:"Queue"`
	QuietUntil time.Duration `json:"Rest"`
}

// savedFaultInjector is the state of the fault injections.
type savedFaultInjector struct {
	RNGState    []byte          `json:"Random"`
	ActiveUntil []time.Duration `json:"Until"`
	Delayed     []int           `json:"Delayed"`
}
