package controller

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// session is a node's open watch. It is open from nodeTable.openSession until its handler (Controller.serveWatch) calls
// closeSession. A newer session of the node, or a shutdown, calls close, which makes the handler return.
type session struct {
	id                   uint64
	request              configapi.WatchRequest
	applied              atomic.Pointer[appliedVersion]   // from the watch request or the last acknowledgement
	migrationTarget      chan configapi.ControllerAddress // where the node is to be asked to migrate; buffers one target
	done                 chan struct{}                    // closed when the session must end
	closeOnce            sync.Once
	migrationRequestedAt time.Time // when a migration was last requested; guarded by nodeTable.lock
}

// appliedVersion is the version that a node has in force.
type appliedVersion struct {
	cluster configapi.Cluster
	version configapi.Version
}

func newSession(id uint64, request configapi.WatchRequest) *session {
	s := &session{
		id:              id,
		request:         request,
		migrationTarget: make(chan configapi.ControllerAddress, 1),
		done:            make(chan struct{}),
	}
	s.applied.Store(&appliedVersion{request.Cluster, request.Applied})
	return s
}

// close makes the session's handler return.
func (s *session) close() { s.closeOnce.Do(func() { close(s.done) }) }

// needsConfig reports whether an update must contain the configuration that was set by configVersion, because the node
// does not have it in force yet.
func (s *session) needsConfig(cluster configapi.Cluster, configVersion configapi.Version) bool {
	applied := s.applied.Load()
	return applied.cluster != cluster || applied.version < configVersion
}

// requestMigration makes the handler ask the node to migrate. It returns false if an earlier request was not sent yet.
// The caller must hold the lock of the node table.
func (s *session) requestMigration(target configapi.ControllerAddress, now time.Time) bool {
	select {
	case s.migrationTarget <- target:
		s.migrationRequestedAt = now
		return true
	default:
		return false
	}
}

// isOlderWatch reports whether watch x belongs to an older process of a node than watch y, or is an older watch of the
// same process.
func isOlderWatch(x, y configapi.WatchRequest) bool {
	return cmp.Or(cmp.Compare(x.StartedMS, y.StartedMS), cmp.Compare(x.WatchNumber, y.WatchNumber)) < 0
}
