package configversion

import "hookwalk.example/hookwalk/internal/configapi"

// SessionEvent is an event of a session, which the caller passes to Step.
type SessionEvent interface{ sessionEvent() }

// Events. Watch is the number from the OpenWatch action. The session ignores events of watches that it has closed.
type (
	// Tick reports that the time returned by Next has been reached.
	Tick struct{}
	// WatchActivity reports that bytes arrived on a watch: a heartbeat or a fragment of an update.
	WatchActivity struct {
		Watch            uint64
		UpdateInProgress bool // an update has begun to arrive and is incomplete
	}
	// WatchUpdated reports a complete update.
	WatchUpdated struct {
		Watch  uint64
		Update configapi.Update
	}
	// WatchRejected reports that a controller did not admit a watch, which has ended.
	WatchRejected struct {
		Watch uint64
		Err   configapi.Error
	}
	// WatchEnded reports that a watch could not be opened, has ended, or has sent a malformed response.
	WatchEnded struct{ Watch uint64 }
	// ApplyFinished is the result of an ApplyConfig.
	ApplyFinished struct {
		Rejection *configapi.Rejection // nil: not rejected
		// Interrupted is set if the configuration was not checked because the node is shutting down. It is not in
		// force, and the version is neither applied nor rejected.
		Interrupted bool
	}
	// AckFinished is the result of a SendAck.
	AckFinished struct{ Accepted bool }
)

func (Tick) sessionEvent()          {}
func (WatchActivity) sessionEvent() {}
func (WatchUpdated) sessionEvent()  {}
func (WatchRejected) sessionEvent() {}
func (WatchEnded) sessionEvent()    {}
func (ApplyFinished) sessionEvent() {}
func (AckFinished) sessionEvent()   {}

// SessionAction is an action that the caller of Step carries out.
type SessionAction interface{ sessionAction() }

// Actions.
type (
	// OpenWatch opens a watch. The events of the watch carry its number.
	OpenWatch struct {
		Watch   uint64 // increases by 1 with each watch of the session
		Address string // of the controller, HOST:PORT
		Request configapi.WatchRequest
	}
	// CloseWatch closes a watch; its later events are ignored.
	CloseWatch struct{ Watch uint64 }
	// ApplyConfig checks a configuration and applies it, completely or not at all. ApplyFinished is the result. There
	// is one ApplyConfig at a time.
	ApplyConfig struct {
		Cluster configapi.Cluster
		Version configapi.Version
		Config  configapi.ServiceConfig
	}
	// SendAck sends an acknowledgement. AckFinished is the result. There is one SendAck at a time.
	SendAck struct {
		Address string // of the controller, HOST:PORT
		Ack     configapi.Acknowledgement
	}
	// Persist stores the last known good version for the node's next start. Only the newest one needs to be stored.
	Persist struct{ LastKnownGood LastKnownGood }
	// VersionDecided reports that the node has applied or rejected a version.
	VersionDecided struct {
		Cluster    configapi.Cluster
		Version    configapi.Version
		Outcome    configapi.Outcome
		Rejection  *configapi.Rejection
		Applied    configapi.Version // the version in force after the decision
		Controller string            // the controller that sent the version, HOST:PORT
	}
	// ControllerChanged reports that the main watch has another controller, or that the controller's contact with the
	// leader has changed.
	ControllerChanged struct {
		Controller       string // of the main watch, HOST:PORT; "": there is no main watch
		HasLeaderContact bool   // see configapi.Update
	}
)

func (OpenWatch) sessionAction()         {}
func (CloseWatch) sessionAction()        {}
func (ApplyConfig) sessionAction()       {}
func (SendAck) sessionAction()           {}
func (Persist) sessionAction()           {}
func (VersionDecided) sessionAction()    {}
func (ControllerChanged) sessionAction() {}
