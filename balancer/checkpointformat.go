// Stored format of the state of a Balancer. Checkpoints are stored in captures on disk. They are also passed
// from one process of a node to its successor, which may be another build of the program.
// Therefore the JSON keys must not change.
//
// Fields without a comment are explained at the fields of the same names in Balancer, server, request,
// attempt, class, pool, keyQueue and faultInjector. Points in time are stored as the time on the Balancer's
// clock, the time that is passed to Handle.

package balancer

import "time"

// savedBalancer is the whole state of a Balancer. Servers, requests and classes are stored in the lists
// Servers, Requests and Classes. References to them are stored as indexes into these lists.
//
// The list Servers begins with the servers that the Balancer knows. Their number is KnownServers. Only ended
// attempts refer to the remaining servers.
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
	AnswerBy             time.Duration       `json:"AnswerBy,omitempty"`
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
	InFlight              [][2]int      `json:"Open"` // pairs: index into Requests, number of the attempt
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

// savedOverride is the last administrative override of a server.
type savedOverride struct {
	ID        string        `json:"ID"`
	Disabled  bool          `json:"Out"`
	EnabledAt time.Duration `json:"Back"`
}

// savedRequest is a request that is unanswered or has an attempt in flight.
type savedRequest struct {
	ID           []byte         `json:"ID"` // may be invalid UTF-8, which a JSON string cannot hold
	Class        int            `json:"Class"`
	FirstTriedAt time.Duration  `json:"Arrived"` // by the client
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

// savedClass is what was learned about a class. The list Classes begins with the classes of the current
// settings, in the order of the settings. The others are previous classes: classes of earlier settings
// to which PreviousClasses or a request still refers.
type savedClass struct {
	MeanLatency      float64       `json:"Mean"`
	LatencyDeviation float64       `json:"Dev"`
	Samples          float64       `json:"Samples"`
	Arrivals         float64       `json:"Arrive"`
	Served           float64       `json:"Serve"`
	TypicalBudget    time.Duration `json:"UsualTry"`       // from a request's arrival to its deadline
	PreviousClass    *Class        `json:"Old,omitempty"`  // its settings; nil for a current class
	Pool             int           `json:"Pool,omitempty"` // index into Pools; only for a previous class
}

// savedPool is a pool and what was learned about it.
type savedPool struct {
	InService           []int    `json:"Ready"` // indexes into Servers
	Preferred           []int    `json:"Near"`  // indexes into Servers
	Queued              []int    `json:"Held"`  // indexes into Requests
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

// savedKeyQueue holds the requests of one key that are unanswered or have an attempt in flight.
type savedKeyQueue struct {
	Key        uint64        `json:"Key"`
	Requests   []int         `json:"Queue"` // indexes into Requests
	QuietUntil time.Duration `json:"Rest"`
}

// savedFaultInjector is the state of the fault injector.
type savedFaultInjector struct {
	RNGState    []byte          `json:"Random"`
	ActiveUntil []time.Duration `json:"Until"`   // one for each fault injection of the settings
	Delayed     []int           `json:"Delayed"` // indexes into Requests
}
