// The Balancer's state and the events that it takes.

package balancer

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const sampleWeight = 0.06 // weight of a new sample in pooled averages (about 16 samples)

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings        Settings
	rngSource       *rand.PCG // of rng
	rng             *rand.Rand
	now             time.Duration
	actions         []Action
	servers         map[string]*server
	requests        map[string]*request
	classes         map[string]*class
	classList       []*class             // every class in the order of the settings, then the unknown one
	pools           []*pool              // in the order of the classes that are placed in them
	keyQueues       map[uint64]*keyQueue // by key
	overrides       map[string]override  // what operators said of servers, by id
	settingsVersion int                  // settings taken over
	previousClasses map[string]*class    // the classes of the settings before the last

	errorRate    float64 // share of bad endings among all attempts
	lastSuccess  time.Duration
	retryBalance float64 // retry budget
	pollFailures int
	nextPoll     time.Duration
	leaseExpired bool // the list of servers

	faults       *faultInjector // nil: there are none
	shuttingDown bool
}

// pool is the servers open to the classes of one placement, and what was learned of sending to them.
// Every draw is from a pool, so no path leads to a server that is closed to the class; and a pool that
// is full, slow or dead stops no class that may go elsewhere.
type pool struct {
	allowedZones, allowedKinds     []string  // nil: all
	ready                          []*server // ready servers in the shared order
	preferred                      []*server // those to use first
	crossZoneShare                 float64   // share of requests that may go to the others
	preferredLatency, otherLatency float64   // mean log of latency over the class mean, there and at the others
	queued                         []*request
	inFlight                       int     // own calls of the pool's classes
	serversPerReplica              float64 // servers of its own for each copy of this tier
	window                         float64 // how many of them are admitted at once (first tier)
	loadRatio                      float64 // mean latency over aim
	unloadedRatio, unloadedSamples float64 // the same of answers while there was room to spare, and their count
	peakInFlight                   float64 // inFlight, quick to rise and slow to fall
	floorServers                   float64 // servers of this copy's share that the window's floor counts
	windowFraction                 float64 // of a call, drawn while the window falls: rounds it up or down
	shedShare                      float64 // share of requests answered without an attempt
	allDisabled                    bool    // every server in service is out by hand
}

// line is the open requests of one key, of all classes that keep their order, as they arrived.
type keyQueue struct {
	key        uint64
	requests   []*request
	quietUntil time.Duration // an earlier attempt may still run: no other request goes before this
}

// class holds what was learned of a class.
type class struct {
	Class
	pool                          *pool
	meanLatency, latencyDeviation float64 // latency of successes, in ns
	samples                       float64 // successes that they rest on
	arrivals, served              float64 // decayed counts
	typicalBudget                 time.Duration
}

// server is a listed server, or one that left with calls of ours still out.
type server struct {
	Server
	listed   bool
	inFlight []*attempt // own calls in flight, in order of sending

	consecutiveFailures   int // bad endings in a row
	ejectionLevel         int // doublings of the next ejection
	consecutiveSuccesses  int // good endings in a row
	ejectedUntil          time.Duration
	lastSuccess           time.Duration
	capacityLimit         int           // own calls that it had taken when it refused one more
	capacityLimitUntil    time.Duration // no more than room until then
	consecutiveRejections int           // in a row

	enabledAt       time.Duration // put back by hand
	firstRequestDue time.Duration // unused since: from then on it is given a request; 0: it is used
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id           string
	class        *class
	arrived      time.Duration
	deadline     time.Duration
	attempts     []*attempt
	clientRetry  bool      // by the client, where clients say so
	keyQueue     *keyQueue // nil: free of order
	queued       bool
	answered     bool
	streaming    bool
	timerAt      time.Duration
	streamedBody bool
	maxAttempts  int  // attempts, by the settings that it came with
	delayed      bool // by a drill, until resume
	delayedUntil time.Duration
}

// attempt is one send of a request.
type attempt struct {
	request     *request
	server      *server
	number      int
	sentAt      time.Duration
	zone        string
	cell        int
	serverStart time.Duration
	ended       bool
	neverRan    bool // proven never to have run

	outsideWindow bool // it does not count for the window
}

// MaxAttempts is how many attempts a request that comes now may have.
func (b *Balancer) MaxAttempts() int { return max(1, b.settings.MaxAttempts) }

// SlowStartDuration is how long after its start a server is in slow start.
func (b *Balancer) SlowStartDuration() time.Duration { return b.settings.SlowStartDuration }

// start is when a server began to serve: its process's boot, or its return by hand, if that was later.
func (s *server) startedAt() time.Duration { return max(s.StartTime, s.enabledAt) }

// calls is how many own calls are in flight at a server.
func (s *server) inFlightCount() int { return len(s.inFlight) }

// pending says that an attempt of a request has no outcome yet.
func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// leave takes an attempt out of the window, once. A message that is passed on as it comes is slow for its
// client's sake: its server does nothing before it has it all, and no more while it is read. Were these
// counted, a few slow clients would turn all others away. As calls of their servers they count to the end.
func (a *attempt) leaveWindow() {
	if !a.outsideWindow {
		a.outsideWindow = true
		a.request.class.pool.inFlight--
	}
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	src := rand.NewPCG(seed, 0x51a7e)
	b := &Balancer{settings: set, rngSource: src, rng: rand.New(src), faults: newFaultInjector(set.FaultInjections, seed),
		servers: map[string]*server{}, requests: map[string]*request{},
		keyQueues: map[uint64]*keyQueue{}, overrides: map[string]override{}, errorRate: 0.02, retryBalance: maxRetryBalance / 2}
	b.addClasses(nil, nil)
	return b, nil
}

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := e.(type) {
	case EndpointUpdate:
		b.applyEndpointUpdate(e)
	case WatchFailed:
		b.pollFailures++
		b.schedulePoll()
	case EndpointLease:
		b.leaseExpired = e.Expired
	case Request:
		b.acceptRequest(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case ResponseStarted:
		if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			r.streaming = true
			r.attempts[e.Attempt].leaveWindow()
		}
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.closeRequest(r)
		}
	case TimerFired:
		b.handleTimer(e)
	case StartFaultInjection:
		b.startFaultInjection(e.Name)
	case ShuttingDown:
		b.beginShutdown()
	case AdminOverride:
		b.applyOverride(e)
	case SettingsChanged:
		b.changeSettings(e.Settings)
	}
	b.dispatchQueued()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// takeTimer does what has come due. A host may round a time down, so a timer can come a hair early: nothing
// relies on its being late enough, and one that finds nothing due yet asks for another.
func (b *Balancer) handleTimer(e TimerFired) {
	switch kind, name, _ := strings.Cut(e.Token, ":"); kind {
	case "list":
		if b.nextPoll > 0 && b.now+b.settings.Tick >= b.nextPoll {
			b.nextPoll = 0
			b.emit(Subscribe{})
		}
	case "k":
		if key, err := strconv.ParseUint(name, 10, 64); err == nil {
			b.settleKeyQueue(b.keyQueues[key])
		}
	case "d":
		b.handleDelayTimer(b.requests[name])
	case "r":
		if r := b.requests[name]; r != nil {
			if b.now+b.settings.Tick >= r.timerAt {
				r.timerAt = 0
			}
			if r.queued {
				b.enqueue(r)
			}
		}
	}
}

// wakeAt asks for a look at a held request, unless one is due by then already.
func (b *Balancer) setQueueTimer(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: "r:" + r.id})
}
