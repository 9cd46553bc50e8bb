package configversion

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// SessionOptions say whose session it is.
type SessionOptions struct {
	Node      string
	Service   string
	Region    string
	Zone      string
	StartedMS int64 // when the process started, Unix milliseconds
	// Controllers are the addresses that the settings name, HOST:PORT.
	Controllers []string
	// LastKnownGood is what the node has kept of an earlier process, and started with.
	LastKnownGood LastKnownGood
	// Seed is of the random numbers that spread nodes in time and over controllers.
	Seed uint64
}

// LastKnownGood is what a node keeps of configuration versions for its next start: the last known good version.
type LastKnownGood struct {
	Cluster configapi.Cluster        `json:"cluster"`
	Version configapi.Version        `json:"version"`          // in force
	Config  *configapi.ServiceConfig `json:"config,omitempty"` // what it says; nil: nothing, the node has its own file's
	// Former are clusters that the node has left on an operator's confirmation, each with its newest version seen.
	Former map[configapi.Cluster]configapi.Version `json:"former,omitempty"`
	// Controllers are those of the cluster, with the places where they stand.
	Controllers []configapi.Endpoint `json:"controllers,omitempty"`
}

// SessionEvent is something that happened to a session.
type SessionEvent interface{ sessionEvent() }

// Events. Those of a watch that the session has closed are passed over.
type (
	// Tick says that the time that Next gave has come.
	Tick struct{}
	// WatchActivity is a sign of life on a watch: a heartbeat, or a part of an update.
	WatchActivity struct {
		Watch            uint64
		UpdateInProgress bool // an update is arriving, and is not whole yet
	}
	// WatchUpdated is an update, whole.
	WatchUpdated struct {
		Watch  uint64
		Update configapi.Update
	}
	// WatchRejected is the answer to a watch that is not let in. The watch has ended.
	WatchRejected struct {
		Watch uint64
		Err   configapi.Error
	}
	// WatchEnded says that a watch could not be opened, has ended or can't be read.
	WatchEnded struct{ Watch uint64 }
	// ApplyFinished is what came of an ApplyConfig.
	ApplyFinished struct {
		Rejection *configapi.Rejection // nil: it is in force
		// Interrupted says that it could not be tried: nothing is in force, and nothing is answered.
		Interrupted bool
	}
	// AckFinished is what came of a SendAck.
	AckFinished struct{ Accepted bool }
)

func (Tick) sessionEvent()          {}
func (WatchActivity) sessionEvent() {}
func (WatchUpdated) sessionEvent()  {}
func (WatchRejected) sessionEvent() {}
func (WatchEnded) sessionEvent()    {}
func (ApplyFinished) sessionEvent() {}
func (AckFinished) sessionEvent()   {}

// SessionAction is something that the caller of Step is to do, in the order given.
type SessionAction interface{ sessionAction() }

// Actions.
type (
	// OpenWatch asks for a watch.
	OpenWatch struct {
		Watch   uint64
		Address string // HOST:PORT
		Request configapi.WatchRequest
	}
	// CloseWatch ends a watch. No event of it is wanted any more.
	CloseWatch struct{ Watch uint64 }
	// ApplyConfig asks for a configuration to be checked and brought into force, whole or not at all. It is answered by
	// ApplyFinished; there is one at a time.
	ApplyConfig struct {
		Cluster configapi.Cluster
		Version configapi.Version
		Config  configapi.ServiceConfig
	}
	// SendAck asks for an acknowledgement to be sent. It is answered by AckFinished; there is one at a time.
	SendAck struct {
		Address string // HOST:PORT
		Ack     configapi.Acknowledgement
	}
	// Persist asks for the last known good version to be kept for the node's next start. The newest is enough.
	Persist struct{ LastKnownGood LastKnownGood }
	// VersionDecided reports the node's answer to a version.
	VersionDecided struct {
		Cluster    configapi.Cluster
		Version    configapi.Version
		Outcome    configapi.Outcome
		Rejection  *configapi.Rejection
		Applied    configapi.Version // in force after this
		Controller string            // that the version came from
	}
	// ControllerChanged reports which controller the node goes by.
	ControllerChanged struct {
		Controller string // "": none
		Current    bool   // see configapi.Update
	}
)

func (OpenWatch) sessionAction()         {}
func (CloseWatch) sessionAction()        {}
func (ApplyConfig) sessionAction()       {}
func (SendAck) sessionAction()           {}
func (Persist) sessionAction()           {}
func (VersionDecided) sessionAction()    {}
func (ControllerChanged) sessionAction() {}

// Session decides for one node which controller it watches, which versions it takes and how it answers for them. It
// never goes back: within a cluster a version is taken only if it is newer than all that were answered before, and
// another cluster's versions are rejected until an operator has handed the node's cluster to it.
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

// NewSession begins a session at a time. The first watch is due within InitialConnectJitter of that.
func NewSession(options SessionOptions, now time.Duration) *Session {
	s := &Session{options: options, now: now, random: rand.New(rand.NewPCG(options.Seed, uint64(options.StartedMS)))}
	s.versions = newVersionState(options.LastKnownGood)
	s.watches = newWatchSet(options)
	s.watches.nextOpenAt = now + s.jitter(InitialConnectJitter)
	s.nextWake = s.watches.nextOpenAt
	return s
}

// Step takes an event at a time, and returns what is to be done.
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

// Next is when Step is to be called with a Tick, unless an event comes before.
func (s *Session) Next() time.Duration { return s.nextWake }

// LastDecided is the newest version that was answered, applied or rejected.
func (s *Session) LastDecided() configapi.Version { return s.versions.lastDecided }

// Applied is the version in force; 0: the configuration that the process was started with, or one of another cluster.
func (s *Session) Applied() configapi.Version { return s.versions.applied }

// Cluster is the identity of the cluster that the node follows; empty: none yet.
func (s *Session) Cluster() configapi.Cluster { return s.versions.cluster }

// Controller is the address of the controller that the node goes by; "": none.
func (s *Session) Controller() string {
	if main := s.watches.main; main != nil {
		return main.address
	}
	return ""
}

func (s *Session) emit(action SessionAction) { s.actions = append(s.actions, action) }

// wakeAt has Next be no later than a time.
func (s *Session) wakeAt(at time.Duration) { s.nextWake = min(s.nextWake, at) }

// jitter is a time drawn from 0 up to most.
func (s *Session) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

// backoff is the wait after a number of failures in a row: twice as long after each, at most longest, and half of it
// drawn.
func (s *Session) backoff(failures int, first, longest time.Duration) time.Duration {
	const maxDoublings = 16
	wait := min(first<<min(max(failures-1, 0), maxDoublings), longest)
	return wait/2 + s.jitter(wait/2)
}

// lastKnownGood is what the node would start with.
func (s *Session) lastKnownGood() LastKnownGood {
	v := &s.versions
	return LastKnownGood{Cluster: v.cluster, Version: v.applied, Config: v.appliedConfig, Former: maps.Clone(v.formerClusters), Controllers: slices.Clone(s.watches.clusterEndpoints)}
}

// Supersedes says whether k is newer than another: a later version of the same cluster, or of one that has taken the
// other's cluster's place.
func (k LastKnownGood) Supersedes(other LastKnownGood) bool {
	if k.Cluster == other.Cluster {
		return k.Version > other.Version
	}
	left, hasLeft := k.Former[other.Cluster]
	back, isBack := other.Former[k.Cluster]
	return hasLeft && left >= other.Version && !(isBack && back >= k.Version)
}
