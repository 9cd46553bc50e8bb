package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// minRememberedNodes is the least number of nodes that a controller can remember, with and without a session.
	minRememberedNodes = 10000
	// forgetAfter is how long a node without a session is remembered.
	forgetAfter = time.Hour
	// migrationRetryInterval is how long a node that was asked to move is left alone if it did not.
	migrationRetryInterval = 10 * time.Second
)

// session is one node's watch.
type session struct {
	id         uint64
	request    configapi.WatchRequest
	applied    atomic.Pointer[appliedVersion]
	migrate    chan configapi.Endpoint // asks the node to move; has room for one
	done       chan struct{}           // closed when the session must end
	closeOnce  sync.Once
	migratedAt time.Time // when it was last asked to move; of nodeTable
}

// appliedVersion is the version that a node has in force.
type appliedVersion struct {
	cluster configapi.Cluster
	version configapi.Version
}

// close asks the session's handler to end it.
func (s *session) close() { s.closeOnce.Do(func() { close(s.done) }) }

// needsConfig says whether an update must have the configuration that a version has set.
func (s *session) needsConfig(cluster configapi.Cluster, changed configapi.Version) bool {
	applied := s.applied.Load()
	return applied.cluster != cluster || applied.version < changed
}

// nodeEntry is what the controller knows of a node.
type nodeEntry struct {
	status  configapi.NodeStatus
	session *session // nil: none
}

// nodeTable has the sessions of a controller, and what it last heard of each node. All its methods may be called side by
// side.
type nodeTable struct {
	lock         sync.Mutex
	placement    *configversion.Placement
	nodes        map[string]*nodeEntry
	maxNodes     int
	openSessions int // sessions whose handler has not ended yet
	nextID       uint64
	draining     bool
}

func newNodeTable(placement *configversion.Placement) *nodeTable {
	return &nodeTable{placement: placement, nodes: map[string]*nodeEntry{}, maxNodes: max(minRememberedNodes, 2*placement.MaxSessions)}
}

// openSession lets a node in, or says where else it may go. A node's newer session ends its older one.
func (t *nodeTable) openSession(request configapi.WatchRequest, now time.Time) (*session, *configapi.Error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	entry := t.nodes[request.Node]
	if entry != nil && entry.session != nil {
		if isOlder(request, entry.session.request) {
			return nil, invalidError("a newer process of node %s has a session: each node needs a name of its own", request.Node)
		}
		entry.session.close()
	} else if err := t.admit(request); err != nil {
		return nil, err
	}
	t.evictDisconnected(request.Node)
	t.nextID++
	s := &session{id: t.nextID, request: request, migrate: make(chan configapi.Endpoint, 1), done: make(chan struct{})}
	s.applied.Store(&appliedVersion{request.Cluster, request.Applied})
	t.nodes[request.Node] = &nodeEntry{status: statusOf(request, now), session: s}
	t.openSessions++
	t.placement.SetSessions(t.openSessions)
	return s, nil
}

func (t *nodeTable) admit(request configapi.WatchRequest) *configapi.Error {
	arrival := configversion.SessionRequest{Region: request.Region, Zone: request.Zone, WatchRejections: request.WatchRejections}
	if t.draining {
		return &configapi.Error{Kind: configapi.ErrorNoCapacity, Message: "this controller is about to end", Alternatives: t.placement.Alternatives(arrival)}
	}
	admitted, elsewhere := t.placement.Admit(arrival)
	if admitted {
		return nil
	}
	return &configapi.Error{Kind: configapi.ErrorNoCapacity, Message: fmt.Sprintf("this controller has %d sessions, which is its share or its limit", t.openSessions),
		Alternatives: elsewhere}
}

// closeSession notes that a session's handler has ended.
func (t *nodeTable) closeSession(s *session, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.openSessions--
	t.placement.SetSessions(t.openSessions)
	entry := t.nodes[s.request.Node]
	if entry == nil || entry.session != s {
		return
	}
	entry.session = nil
	entry.status.Connected = false
	entry.status.LastSeenMS = now.UnixMilli()
}

// acknowledge notes a node's answer to a version.
func (t *nodeTable) acknowledge(a configapi.Acknowledgement, now time.Time) *configapi.Error {
	t.lock.Lock()
	defer t.lock.Unlock()
	entry := t.nodes[a.Node]
	if entry == nil {
		return invalidError("node %s has no session here: open a watch first", a.Node)
	}
	status := &entry.status
	if a.StartedMS != status.StartedMS || a.Session < status.Session {
		return nil // late, of an older session: the newer one has said what is in force
	}
	if a.Cluster == status.Cluster && a.Version < status.LastDecided {
		return nil // late: a newer version was answered before
	}
	status.Cluster, status.LastDecided, status.Applied = a.Cluster, a.Version, a.Applied
	status.Outcome, status.Rejection = a.Outcome, a.Rejection
	status.LastSeenMS = now.UnixMilli()
	if entry.session != nil {
		entry.session.applied.Store(&appliedVersion{a.Cluster, a.Applied})
	}
	return nil
}

// setPeers takes a new reading of the other controllers' loads, and asks sessions to move where that evens them.
func (t *nodeTable) setPeers(peers []configversion.PeerLoad, now time.Time) (moved int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.placement.SetPeers(peers)
	if t.draining {
		return 0
	}
	byID := map[uint64]*session{}
	var placed []configversion.MigrationCandidate
	for _, entry := range t.nodes {
		if s := entry.session; s != nil && now.Sub(s.migratedAt) >= migrationRetryInterval {
			byID[s.id] = s
			placed = append(placed, configversion.MigrationCandidate{ID: s.id, Region: s.request.Region, Zone: s.request.Zone})
		}
	}
	slices.SortFunc(placed, func(x, y configversion.MigrationCandidate) int { return cmp.Compare(y.ID, x.ID) }) // the newest first
	for _, move := range t.placement.PlanMigrations(placed) {
		if byID[move.ID].requestMigration(move.Target, now) {
			moved++
		}
	}
	return moved
}

// drain lets nobody in any more and asks all nodes to move.
func (t *nodeTable) drain(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.draining = true
	for _, entry := range t.nodes {
		s := entry.session
		if s == nil {
			continue
		}
		elsewhere := t.placement.Redirect(configversion.SessionRequest{Region: s.request.Region, Zone: s.request.Zone})
		if len(elsewhere) > 0 {
			s.requestMigration(elsewhere[0], now)
		}
	}
}

// releaseResources ends all sessions.
func (t *nodeTable) closeAll() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, entry := range t.nodes {
		if entry.session != nil {
			entry.session.close()
		}
	}
}

// requestMigration is called with the table locked.
func (s *session) requestMigration(to configapi.Endpoint, now time.Time) bool {
	select {
	case s.migrate <- to:
		s.migratedAt = now
		return true
	default:
		return false
	}
}

// sessions is the number of open sessions.
func (t *nodeTable) sessions() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.openSessions
}

// alternatives lists the other controllers for a node.
func (t *nodeTable) alternatives(request configapi.WatchRequest) []configapi.Endpoint {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.placement.Alternatives(configversion.SessionRequest{Region: request.Region, Zone: request.Zone})
}

// list returns what is known of all nodes, by name, and forgets those that were away for long.
func (t *nodeTable) list(now time.Time) []configapi.NodeStatus {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.forgetDisconnected(now)
	list := make([]configapi.NodeStatus, 0, len(t.nodes))
	for _, entry := range t.nodes {
		list = append(list, entry.status)
	}
	slices.SortFunc(list, func(x, y configapi.NodeStatus) int { return cmp.Compare(x.Node, y.Node) })
	return list
}

func (t *nodeTable) forgetDisconnected(now time.Time) {
	oldest := now.Add(-forgetAfter).UnixMilli()
	for name, entry := range t.nodes {
		if entry.session == nil && entry.status.LastSeenMS < oldest {
			delete(t.nodes, name)
		}
	}
}

// evictDisconnected forgets the node that is away for longest if there is no room for one more.
func (t *nodeTable) evictDisconnected(name string) {
	if _, known := t.nodes[name]; known || len(t.nodes) < t.maxNodes {
		return
	}
	oldest := ""
	for name, entry := range t.nodes {
		if entry.session == nil && (oldest == "" || entry.status.LastSeenMS < t.nodes[oldest].status.LastSeenMS) {
			oldest = name
		}
	}
	delete(t.nodes, oldest)
}

// isOlder says whether a watch is of an older process of a node than another one, or an older one of the same process.
func isOlder(x, y configapi.WatchRequest) bool {
	return cmp.Or(cmp.Compare(x.StartedMS, y.StartedMS), cmp.Compare(x.Session, y.Session)) < 0
}

// statusOf is what a watch's request says of its node.
func statusOf(r configapi.WatchRequest, now time.Time) configapi.NodeStatus {
	status := configapi.NodeStatus{Node: r.Node, Service: r.Service, Region: r.Region, Zone: r.Zone, StartedMS: r.StartedMS, Session: r.Session,
		Connected: true, LastSeenMS: now.UnixMilli(), Cluster: r.Cluster, LastDecided: r.LastDecided, Applied: r.Applied}
	switch {
	case r.LastRejected:
		status.Outcome = configapi.Rejected
		status.Rejection = rejectionOf(r.RejectionReason)
	case r.LastDecided > 0:
		status.Outcome = configapi.Applied
	}
	return status
}

// rejectionOf reads a reason that Rejection.Error wrote ("kind: message").
func rejectionOf(reason string) *configapi.Rejection {
	kind, message, found := strings.Cut(reason, ": ")
	if !found {
		return &configapi.Rejection{Message: truncateReason(reason)}
	}
	return &configapi.Rejection{Kind: configapi.RejectionKind(truncate(kind)), Message: truncateReason(message)}
}

// truncateReason cuts a reason to the length that is kept.
func truncateReason(reason string) string { return reason[:min(len(reason), configapi.MaxReasonBytes)] }
