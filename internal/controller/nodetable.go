package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// minNodeEntries is the minimum capacity of a nodeTable, for nodes with and without a session.
	minNodeEntries = 10000
	// nodeEntriesPerSession is the capacity of a nodeTable for each session that the controller may have. After other
	// controllers have failed, the table holds the nodes that now have a session and the nodes that were there before.
	nodeEntriesPerSession = 2
	// disconnectedNodeRetention is how long a node without a session stays in the table: long enough for operators to
	// see that it is disconnected.
	disconnectedNodeRetention = time.Hour
	// migrationRetryInterval is the minimum time between two requests to a node to migrate, because the node may have
	// tried to migrate and failed.
	migrationRetryInterval = 10 * time.Second
)

// nodeEntry is what the controller knows about a node.
type nodeEntry struct {
	status  configapi.NodeStatus
	session *session // nil if the node has no session
}

// nodeTable holds the sessions of a controller, and the last report of each node. It is safe for concurrent use.
type nodeTable struct {
	lock         sync.Mutex
	placement    *configversion.Placement
	nodes        map[string]*nodeEntry // by name
	maxEntries   int
	openSessions int // sessions whose handler has not returned yet
	nextID       uint64
	draining     bool
}

func newNodeTable(placement *configversion.Placement) *nodeTable {
	return &nodeTable{
		placement:  placement,
		nodes:      map[string]*nodeEntry{},
		maxEntries: max(minNodeEntries, nodeEntriesPerSession*placement.MaxSessions),
	}
}

// openSession opens a session for a node. If the node is not admitted, the error has the reason and the alternatives. A
// newer session of a node replaces its older one, and needs no admission.
func (t *nodeTable) openSession(request configapi.WatchRequest, now time.Time) (*session, *configapi.Error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	entry := t.nodes[request.Node]
	if entry != nil && entry.session != nil {
		if isOlderWatch(request, entry.session.request) {
			return nil, invalidError("a newer process of node %s has a session: each node needs a name of its own", request.Node)
		}
		entry.session.close()
	} else if err := t.admit(request); err != nil {
		return nil, err
	}
	t.evictLongestDisconnected(request.Node)
	t.nextID++
	s := newSession(t.nextID, request)
	t.nodes[request.Node] = &nodeEntry{status: initialNodeStatus(request, now), session: s}
	t.openSessions++
	t.placement.SetSessions(t.openSessions)
	return s, nil
}

// admit asks session placement whether to admit a node. No node is admitted during shutdown.
func (t *nodeTable) admit(request configapi.WatchRequest) *configapi.Error {
	sessionRequest := placementRequest(request)
	if t.draining {
		return &configapi.Error{Kind: configapi.ErrorNoCapacity, Message: "this controller is about to end", Alternatives: t.placement.Alternatives(sessionRequest)}
	}
	admitted, alternatives := t.placement.Admit(sessionRequest)
	if admitted {
		return nil
	}
	return &configapi.Error{Kind: configapi.ErrorNoCapacity, Message: fmt.Sprintf("this controller has %d sessions, which is its share or its limit", t.openSessions),
		Alternatives: alternatives}
}

// placementRequest returns what session placement needs to know about a node that has no session yet.
func placementRequest(request configapi.WatchRequest) configversion.SessionRequest {
	return configversion.SessionRequest{Region: request.Region, Zone: request.Zone, WatchRejections: request.WatchRejections}
}

// closeSession records that a session's handler has returned.
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

// acknowledge records a node's decision about a version. It ignores a late acknowledgement: one of an older session,
// because the newer session's request states which version is in force, or one of a version before the last decided
// one.
func (t *nodeTable) acknowledge(a configapi.Acknowledgement, now time.Time) *configapi.Error {
	t.lock.Lock()
	defer t.lock.Unlock()
	entry := t.nodes[a.Node]
	if entry == nil {
		return invalidError("node %s has no session here: open a watch first", a.Node)
	}
	status := &entry.status
	if a.StartedMS != status.StartedMS || a.WatchNumber < status.WatchNumber {
		return nil
	}
	if a.Cluster == status.Cluster && a.Version < status.LastDecided {
		return nil
	}
	status.Cluster, status.LastDecided, status.Applied = a.Cluster, a.Version, a.Applied
	status.Outcome, status.Rejection = a.Outcome, a.Rejection
	status.LastSeenMS = now.UnixMilli()
	if entry.session != nil {
		entry.session.applied.Store(&appliedVersion{a.Cluster, a.Applied})
	}
	return nil
}

// setOtherControllers passes new reports of the other controllers to session placement, and requests the migrations
// that placement plans. Of the sessions at the same distance, the newer ones migrate first.
func (t *nodeTable) setOtherControllers(loads []configversion.ControllerLoad, now time.Time) (migrated int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.placement.SetOtherControllers(loads)
	if t.draining {
		return 0
	}
	byID := map[uint64]*session{}
	var candidates []configversion.MigrationCandidate
	for _, entry := range t.nodes {
		if s := entry.session; s != nil && now.Sub(s.migrationRequestedAt) >= migrationRetryInterval {
			byID[s.id] = s
			candidates = append(candidates, configversion.MigrationCandidate{ID: s.id, Region: s.request.Region, Zone: s.request.Zone})
		}
	}
	slices.SortFunc(candidates, func(x, y configversion.MigrationCandidate) int { return cmp.Compare(y.ID, x.ID) })
	for _, migration := range t.placement.PlanMigrations(candidates) {
		if byID[migration.ID].requestMigration(migration.Target, now) {
			migrated++
		}
	}
	return migrated
}

// drain stops the admission of nodes, and asks all nodes to migrate.
func (t *nodeTable) drain(now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.draining = true
	for _, entry := range t.nodes {
		s := entry.session
		if s == nil {
			continue
		}
		alternatives := t.placement.Redirect(configversion.SessionRequest{Region: s.request.Region, Zone: s.request.Zone})
		if len(alternatives) > 0 {
			s.requestMigration(alternatives[0], now)
		}
	}
}

// closeAll closes all sessions.
func (t *nodeTable) closeAll() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, entry := range t.nodes {
		if entry.session != nil {
			entry.session.close()
		}
	}
}

// sessionCount returns the number of open sessions.
func (t *nodeTable) sessionCount() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.openSessions
}

// alternatives returns the other controllers for a node, the best one first.
func (t *nodeTable) alternatives(request configapi.WatchRequest) []configapi.ControllerAddress {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.placement.Alternatives(configversion.SessionRequest{Region: request.Region, Zone: request.Zone})
}

// listStatuses returns the status of all nodes, ordered by name, and removes those that have been disconnected for
// longer than disconnectedNodeRetention.
func (t *nodeTable) listStatuses(now time.Time) []configapi.NodeStatus {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.removeExpired(now)
	list := make([]configapi.NodeStatus, 0, len(t.nodes))
	for _, entry := range t.nodes {
		list = append(list, entry.status)
	}
	slices.SortFunc(list, func(x, y configapi.NodeStatus) int { return cmp.Compare(x.Node, y.Node) })
	return list
}

func (t *nodeTable) removeExpired(now time.Time) {
	cutoffMS := now.Add(-disconnectedNodeRetention).UnixMilli()
	for name, entry := range t.nodes {
		if entry.session == nil && entry.status.LastSeenMS < cutoffMS {
			delete(t.nodes, name)
		}
	}
}

// evictLongestDisconnected removes the node that has been disconnected for the longest time, if the table is full and
// newNode is not in it. Without a bound, nodes that change their name at each start would fill the memory.
func (t *nodeTable) evictLongestDisconnected(newNode string) {
	if _, known := t.nodes[newNode]; known || len(t.nodes) < t.maxEntries {
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

// initialNodeStatus returns the status of a node as its watch request states it.
func initialNodeStatus(r configapi.WatchRequest, now time.Time) configapi.NodeStatus {
	status := configapi.NodeStatus{
		Node:        r.Node,
		Service:     r.Service,
		Region:      r.Region,
		Zone:        r.Zone,
		StartedMS:   r.StartedMS,
		WatchNumber: r.WatchNumber,
		Connected:   true,
		LastSeenMS:  now.UnixMilli(),
		Cluster:     r.Cluster,
		LastDecided: r.LastDecided,
		Applied:     r.Applied,
	}
	switch {
	case r.LastRejected:
		status.Outcome = configapi.Rejected
		status.Rejection = parseRejection(r.RejectionReason)
	case r.LastDecided > 0:
		status.Outcome = configapi.Applied
	}
	return status
}

// parseRejection parses the text of Rejection.Error, "kind: message".
func parseRejection(reason string) *configapi.Rejection {
	kind, message, found := strings.Cut(reason, ": ")
	if !found {
		return &configapi.Rejection{Message: truncateReason(reason)}
	}
	return &configapi.Rejection{Kind: configapi.RejectionKind(truncateQuoted(kind)), Message: truncateReason(message)}
}

// truncateReason truncates a reason to configapi.MaxReasonBytes.
func truncateReason(reason string) string {
	return reason[:min(len(reason), configapi.MaxReasonBytes)]
}
