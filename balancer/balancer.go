// The Balancer's own state and the events that it takes.

package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in moving averages: about the last 16 samples count.
	sampleWeight = 0.06
	// slowSampleWeight is that of averages over the requests of a pool, which come faster than what is
	// learned of one class: about the last 66 samples count.
	slowSampleWeight = sampleWeight / 4
	// initialErrorRate is the share of failed attempts assumed before there are any.
	initialErrorRate = 0.02
	// rngStream is the second half of every seed: it keeps the draws apart from those of other uses of a
	// seed.
	rngStream = 0x51a7e
)

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	settings  Settings
	rngSource *rand.PCG // of rng
	rng       *rand.Rand
	now       time.Duration // clock time of the current event
	actions   []Action      // what the current event has led to
	servers   map[string]*server
	requests  map[string]*request
	classes   map[string]*class
	classList []*class             // all classes in the order of the settings, then that of unknown names
	pools     []*pool              // in the order of the classes that are placed in them
	keyQueues map[uint64]*keyQueue // by key
	overrides map[string]override  // what operators said of servers, by ID

	settingsVersion int               // count of changes of the settings
	previousClasses map[string]*class // the classes before the last change

	errorRate    float64 // share of attempts that fail, over all servers
	lastSuccess  time.Duration
	retryBalance float64 // retries that the retry budget still allows
	pollFailures int     // polls of discovery that failed, one after another
	nextPoll     time.Duration
	leaseExpired bool // the lease on the endpoint list

	faults               *faultInjector // nil: no fault injections are configured
	faultInjectionsEnded bool
}

// New returns a Balancer that knows no servers yet. All its draws follow from the seed. The error is a
// *SettingsError.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, rngStream)
	b := &Balancer{
		settings:     settings,
		rngSource:    source,
		rng:          rand.New(source),
		faults:       newFaultInjector(settings.FaultInjections, seed),
		servers:      map[string]*server{},
		requests:     map[string]*request{},
		keyQueues:    map[uint64]*keyQueue{},
		overrides:    map[string]override{},
		errorRate:    initialErrorRate,
		retryBalance: initialRetryBalance,
	}
	b.addClasses(nil, nil)
	return b, nil
}

// MaxAttempts is how many attempts a request that comes now may have.
func (b *Balancer) MaxAttempts() int { return max(1, b.settings.MaxAttempts) }

// SlowStartDuration is how long after its start a server is in slow start.
func (b *Balancer) SlowStartDuration() time.Duration { return b.settings.SlowStartDuration }

// Handle takes one event at the clock time now and returns what to do, in order. After every event it also
// sends what is queued and may go now (dispatchQueued): no event needs to do that by itself.
func (b *Balancer) Handle(now time.Duration, event Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := event.(type) {
	case EndpointUpdate:
		b.applyEndpointUpdate(e)
	case WatchFailed:
		b.handleWatchFailed()
	case LeaseChanged:
		b.leaseExpired = e.Expired
	case Request:
		b.acceptRequest(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case ResponseStarted:
		b.handleResponseStarted(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.closeRequest(r)
		}
	case TimerFired:
		b.handleTimer(e)
	case StartFaultInjection:
		b.startFaultInjection(e.Name)
	case EndFaultInjections:
		b.endFaultInjections()
	case AdminOverride:
		b.applyOverride(e)
	case SettingsChanged:
		b.changeSettings(e.Settings)
	}
	b.dispatchQueued()
	return b.actions
}

// emit adds an action to what the current event leads to.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// moveTowards moves an exponentially weighted moving average towards a sample.
func moveTowards(average *float64, sample, weight float64) { *average += weight * (sample - *average) }
