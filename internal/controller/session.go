package controller

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// session is a node's open watch. It is open from nodeTable.openSession until its handler (Controller.serveWatch) calls
// closeSession. Whoever calls close makes the handler end it: a newer session of the node, or a shutdown.
type session struct {
	id                   uint64
	request              configapi.WatchRequest
	applied              atomic.Pointer[appliedVersion]   // of the last acknowledgement
	migrationTarget      chan configapi.ControllerAddress // the target of a migration that the node is to be asked for; buffers one
	done                 chan struct{}                    // closed when the session must end
	closeOnce            sync.Once
	migrationRequestedAt time.Time // when a migration was last requested; guarded by nodeTable
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

// close makes the session's handler end it.
func (s *session) close() { s.closeOnce.Do(func() { close(s.done) }) }

// needsConfig reports whether an update must contain the configuration that a version has set.
func (s *session) needsConfig(cluster configapi.Cluster, configVersion configapi.Version) bool {
	applied := s.applied.Load()
	return applied.cluster != cluster || applied.version < configVersion
}

// requestMigration makes the handler ask the node to migrate. It is called with the table locked, and returns false if
// an earlier request was not sent yet.
func (s *session) requestMigration(target configapi.ControllerAddress, now time.Time) bool {
	select {
	case s.migrationTarget <- target:
		s.migrationRequestedAt = now
		return true
	default:
		return false
	}
}

// isOlderWatch reports whether watch x is of an older process of a node than watch y, or an older one of the same process.
func isOlderWatch(x, y configapi.WatchRequest) bool {
	return cmp.Or(cmp.Compare(x.StartedMS, y.StartedMS), cmp.Compare(x.WatchNumber, y.WatchNumber)) < 0
}
