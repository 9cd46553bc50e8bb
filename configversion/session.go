package configversion

import (
	"math/rand/v2"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// never is a time later than any event: no wake-up is due.
const never = time.Duration(1<<63 - 1)

// SessionOptions identify the node for which a Session decides.
type SessionOptions struct {
	Node      string
	Service   string
	Region    string
	Zone      string
	StartedMS int64 // start time of the node's process, Unix milliseconds
	// Controllers are the configured addresses, HOST:PORT; at least one.
	Controllers []string
	// LastKnownGood is the version that an earlier process of the node stored and with which this process started.
	LastKnownGood LastKnownGood
	// Seed is the seed of the random numbers that spread nodes over time and over controllers.
	Seed uint64
}

// Session decides for one node which controller to watch, which versions to apply and how to acknowledge them. It never
// reverts to an older version: it applies a version only if that is newer than all versions of the cluster decided so
// far. It rejects versions of another cluster until an operator has confirmed that this cluster replaces the node's
// cluster.
//
// All times are durations on a monotonic clock since an origin that the caller chooses. A Session must not be used by
// several goroutines at once.
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

// NewSession starts a session at time now. It opens its first watch within InitialConnectJitter.
func NewSession(options SessionOptions, now time.Duration) *Session {
	s := &Session{options: options, now: now}
	s.random = rand.New(rand.NewPCG(options.Seed, uint64(options.StartedMS)))
	s.versions = newVersionState(options.LastKnownGood)
	s.watches = newWatchSet(options)
	s.watches.nextOpenAt = now + s.jitter(InitialConnectJitter)
	s.nextWake = s.watches.nextOpenAt
	return s
}

// Step handles an event at time now, and returns the actions to carry out, in order.
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

// Next returns the time at which the caller must call Step with a Tick, unless another event occurs first.
func (s *Session) Next() time.Duration { return s.nextWake }

// LastDecided returns the newest version that the node has applied or rejected; 0: none.
func (s *Session) LastDecided() configapi.Version { return s.versions.lastDecided }

// Applied returns the version in force; 0: no version of the cluster is in force yet, only the configuration with which
// the process started or one of another cluster.
func (s *Session) Applied() configapi.Version { return s.versions.applied }

// Cluster returns the identity of the cluster that the node follows; empty: none yet.
func (s *Session) Cluster() configapi.Cluster { return s.versions.cluster }

// Controller returns the address of the main watch's controller; "": there is no main watch.
func (s *Session) Controller() string {
	if main := s.watches.main; main != nil {
		return main.address
	}
	return ""
}

func (s *Session) emit(action SessionAction) { s.actions = append(s.actions, action) }

// wakeAt makes Next return the given time or an earlier one.
func (s *Session) wakeAt(at time.Duration) { s.nextWake = min(s.nextWake, at) }

// jitter draws a delay from a uniform distribution between 0 and limit.
func (s *Session) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

const (
	// maxBackoffDoublings bounds the shift in backoff, so that many consecutive failures do not overflow it. Every
	// backoff reaches its maximum after fewer doublings.
	maxBackoffDoublings = 16
	// backoffJitterDivisor divides a backoff into a fixed and a random half. Nodes that failed at the same time must
	// not retry at the same time.
	backoffJitterDivisor = 2
)

// backoff returns the delay after a number of consecutive failures (1 or more). It doubles from initial up to longest,
// and half of it is random. Without backoff, all nodes of a controller would reconnect as soon as it recovers, and it
// would fail again.
func (s *Session) backoff(failures int, initial, longest time.Duration) time.Duration {
	delay := min(initial<<min(max(failures-1, 0), maxBackoffDoublings), longest)
	return delay/backoffJitterDivisor + s.jitter(delay/backoffJitterDivisor)
}
