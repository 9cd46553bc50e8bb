package configversion

import "hookwalk.example/hookwalk/internal/configapi"

// SessionEvent is something that happened to a session; the caller passes it to Step.
type SessionEvent interface{ sessionEvent() }

// Events. Watch is the number of the OpenWatch; events of a watch that the session has closed are ignored.
type (
	// Tick reports that the time that Next returned has come.
	Tick struct{}
	// WatchActivity reports bytes on a watch: a heartbeat, or a fragment of an update.
	WatchActivity struct {
		Watch            uint64
		UpdateInProgress bool // an update is arriving, and is not complete yet
	}
	// WatchUpdated reports a complete update.
	WatchUpdated struct {
		Watch  uint64
		Update configapi.Update
	}
	// WatchRejected reports that a controller did not admit a watch. The watch has ended.
	WatchRejected struct {
		Watch uint64
		Err   configapi.Error
	}
	// WatchEnded reports that a watch could not be opened, has ended, or is malformed.
	WatchEnded struct{ Watch uint64 }
	// ApplyFinished is the result of an ApplyConfig.
	ApplyFinished struct {
		Rejection *configapi.Rejection // nil: the configuration is in force
		// Interrupted is set if the configuration was not checked, because the node ends: it is not in force, and the version
		// is neither applied nor rejected.
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

// SessionAction is something that the caller of Step carries out.
type SessionAction interface{ sessionAction() }

// Actions.
type (
	// OpenWatch opens a watch. Its events carry the same number.
	OpenWatch struct {
		Watch   uint64 // rises by 1 with each watch of the session
		Address string // of the controller, HOST:PORT
		Request configapi.WatchRequest
	}
	// CloseWatch closes a watch; its later events are ignored.
	CloseWatch struct{ Watch uint64 }
	// ApplyConfig checks a configuration and brings it into force, completely or not at all. ApplyFinished is the
	// result; there is one ApplyConfig at a time.
	ApplyConfig struct {
		Cluster configapi.Cluster
		Version configapi.Version
		Config  configapi.ServiceConfig
	}
	// SendAck sends an acknowledgement. AckFinished is the result; there is one SendAck at a time.
	SendAck struct {
		Address string // of the controller, HOST:PORT
		Ack     configapi.Acknowledgement
	}
	// Persist stores the last known good version for the node's next start. Only the newest one matters.
	Persist struct{ LastKnownGood LastKnownGood }
	// VersionDecided reports that the node has applied or rejected a version.
	VersionDecided struct {
		Cluster    configapi.Cluster
		Version    configapi.Version
		Outcome    configapi.Outcome
		Rejection  *configapi.Rejection
		Applied    configapi.Version // in force after this
		Controller string            // the controller that sent the version, HOST:PORT
	}
	// ControllerChanged reports which controller the main watch is at.
	ControllerChanged struct {
		Controller string // HOST:PORT; "": none
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
