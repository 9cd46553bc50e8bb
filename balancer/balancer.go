// The state of a Balancer and the events that it handles.

package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in moving averages: about the last 16 samples count.
	sampleWeight = 0.06
	// slowSampleWeight is the weight in averages over the requests of a pool, whose samples arrive faster
	// than those of a single class: about the last 66 samples count.
	slowSampleWeight = sampleWeight / 4
	// initialErrorRate is the share of failed attempts that is assumed before the first attempt.
	initialErrorRate = 0.02
	// rngStream is the second half of every seed. It separates these draws from those of other uses of the
	// same seed.
	rngStream = 0x51a7e
)

// Balancer makes the decisions of one node. See the package comment for its contract.
type Balancer struct {
	settings  Settings
	rngSource *rand.PCG // source of rng
	rng       *rand.Rand
	now       time.Duration // clock time of the current event
	actions   []Action      // actions of the current event
	servers   map[string]*server
	requests  map[string]*request
	classes   map[string]*class
	classList []*class             // in the order of the settings; the last one is for unknown names
	pools     []*pool              // in the order of their first classes
	keyQueues map[uint64]*keyQueue // by key
	overrides map[string]override  // by server ID

	settingsVersion int               // number of SettingsChanged events so far
	previousClasses map[string]*class // the classes before the last change of settings

	errorRate    float64 // share of attempts that fail, over all servers
	lastSuccess  time.Duration
	retryBalance float64 // retries that the retry budget still allows
	pollFailures int     // consecutive failed polls of discovery
	nextPoll     time.Duration
	leaseExpired bool // the lease on the endpoint list has expired

	faults               *faultInjector // nil: no fault injections are configured
	faultInjectionsEnded bool
	answerBy             time.Duration // when the last answer of the process is due; 0: no shutdown
}

// New returns a Balancer that knows no servers yet. The seed determines all its random draws. The error is a
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

// SlowStartDuration returns how long a server is in slow start after its start.
func (b *Balancer) SlowStartDuration() time.Duration { return b.settings.SlowStartDuration }

// Handle processes one event at the clock time now and returns the actions to carry out, in order. After
// every event it also sends the queued requests that can now be sent (dispatchQueued), so that no event
// handler needs to.
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
	case ShutdownBegun:
		b.beginShutdown(e)
	case AdminOverride:
		b.applyOverride(e)
	case SettingsChanged:
		b.changeSettings(e.Settings)
	}
	b.dispatchQueued()
	return b.actions
}

// emit adds an action to those of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// moveTowards moves an exponentially weighted moving average towards a sample.
func moveTowards(average *float64, sample, weight float64) { *average += weight * (sample - *average) }
