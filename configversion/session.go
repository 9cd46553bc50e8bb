package configversion

import (
	"math/rand/v2"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// never is a time later than any event: no wake-up is due.
const never = time.Duration(1<<63 - 1)

// SessionOptions identify the node that a Session decides for.
type SessionOptions struct {
	Node      string
	Service   string
	Region    string
	Zone      string
	StartedMS int64 // start of the node's process, Unix milliseconds
	// Controllers are the configured addresses, HOST:PORT; at least one.
	Controllers []string
	// LastKnownGood is the version that an earlier process of the node stored, and that this one started with.
	LastKnownGood LastKnownGood
	// Seed is the seed of the random numbers that spread nodes over time and over controllers.
	Seed uint64
}

// Session decides for one node which controller it watches, which versions it applies and how it acknowledges them. It
// never goes back: within a cluster a version is applied only if it is newer than all versions decided before, and
// versions of another cluster are rejected until an operator has confirmed that it replaces the node's cluster.
//
// All times are durations since an origin that the caller chooses once, by a monotonic clock. A Session must not be
// used by several goroutines at once.
type Session struct {
	options  SessionOptions
	random   *rand.Rand
	now      time.Duration
	nextWake time.Duration
	actions  []SessionAction

	versions versionState
	ackQueue ackQueue
	watches  watchSet
}

// NewSession begins a session at the time now. The first watch opens within InitialConnectJitter of it.
func NewSession(options SessionOptions, now time.Duration) *Session {
	s := &Session{options: options, now: now}
	s.random = rand.New(rand.NewPCG(options.Seed, uint64(options.StartedMS)))
	s.versions = newVersionState(options.LastKnownGood)
	s.watches = newWatchSet(options)
	s.watches.nextOpenAt = now + s.jitter(InitialConnectJitter)
	s.nextWake = s.watches.nextOpenAt
	return s
}

// Step handles an event at the time now, and returns the actions to carry out, in order.
func (s *Session) Step(now time.Duration, event SessionEvent) []SessionAction {
	s.now, s.nextWake, s.actions = now, never, nil
	switch e := event.(type) {
	case WatchActivity:
		s.watchActivity(e)
	case WatchUpdated:
		s.watchUpdated(e)
	case WatchRejected:
		s.watchRejected(e)
	case WatchEnded:
		s.watchEnded(e.Watch)
	case ApplyFinished:
		s.applyFinished(e)
	case AckFinished:
		s.ackFinished(e.Accepted)
	case Tick:
	}
	s.applyPending()
	s.reconcileWatches()
	s.sendAck()
	return s.actions
}

// Next is the time at which Step is to be called with a Tick, unless another event comes before.
func (s *Session) Next() time.Duration { return s.nextWake }

// LastDecided is the newest version that the node has applied or rejected; 0: none.
func (s *Session) LastDecided() configapi.Version { return s.versions.lastDecided }

// Applied is the version in force; 0: the configuration that the process was started with, or one of another cluster.
func (s *Session) Applied() configapi.Version { return s.versions.applied }

// Cluster is the identity of the cluster that the node follows; empty: none yet.
func (s *Session) Cluster() configapi.Cluster { return s.versions.cluster }

// Controller is the address of the controller whose watch is the main one; "": none.
func (s *Session) Controller() string {
	if main := s.watches.main; main != nil {
		return main.address
	}
	return ""
}

func (s *Session) emit(action SessionAction) { s.actions = append(s.actions, action) }

// wakeAt makes Next return the given time at the latest.
func (s *Session) wakeAt(at time.Duration) { s.nextWake = min(s.nextWake, at) }

// jitter draws a delay, uniformly from 0 up to limit.
func (s *Session) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

const (
	// maxBackoffDoublings bounds the shift in backoff, so that a long row of failures does not overflow it. Every
	// backoff has reached its maximum by then.
	maxBackoffDoublings = 16
	// backoffJitterDivisor divides a backoff into a fixed half and a drawn half: nodes that failed together must not come back
	// together.
	backoffJitterDivisor = 2
)

// backoff is the delay after a number of consecutive failures (1 or more): it doubles from initial to longest, and half
// of it is jitter. Without it a controller that comes back is met by all its nodes at once, and fails again.
func (s *Session) backoff(failures int, initial, longest time.Duration) time.Duration {
	delay := min(initial<<min(max(failures-1, 0), maxBackoffDoublings), longest)
	return delay/backoffJitterDivisor + s.jitter(delay/backoffJitterDivisor)
}
