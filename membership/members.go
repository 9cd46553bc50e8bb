// Package membership maintains one node's view of the cluster membership. From the reports of a failure detector and the
// announcements of other nodes it derives which nodes are alive, whether a majority agrees with that view, and which
// operations the local node may therefore carry out.
//
// The view is a pure state machine, like raft's Step: it takes events, each with the time at which it happened, and returns
// actions. It does no I/O, reads no clock and starts no goroutine. The host (internal/peers) passes events to it and carries
// out its actions.
//
// A view only ever restricts a node. Without the agreement of a majority of the members that concern it, a node may keep or
// withdraw what it granted, but must not grant or take on anything new. The members that concern a node are those of its own
// site and of its parent site.
package membership

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// maxStartGap is the largest accepted difference between a new start number and the known one. Without a bound, one false
// message could exhaust the numbers or exclude a node forever.
const maxStartGap = 1 << 20

// ErrNoSite means that the site of the local node is not in the tree.
var ErrNoSite = errors.New("the site of the local node is not in the site tree")

// Members is the membership view of one node. Create it with New. It is not safe for concurrent use.
type Members struct {
	local Incarnation
	site  string
	tree  Tree
	Limits
	rng *rand.Rand

	now     time.Duration
	actions []Action

	members       map[string]*Member               // by name, without the local node
	minStart      map[string]uint64                // by name: the lowest start number to accept, from announcements
	announcements map[string]*receivedAnnouncement // by name: the last one from the known incarnation
	newerSent     map[string]time.Duration         // by name: when a stale start number of the node was last answered

	state         LocalState
	agreedOnce    bool          // in this incarnation
	disputedSince time.Duration // when the majority was lost; 0: a majority agrees
	needsReplies  bool          // announcements are requested from the others, after the start or a stall

	announcedAt      time.Duration // when the last announcement was sent; 0: send one now
	announcedDigests map[string]uint64

	conflicting  Incarnation // another running node with the local node's name; zero: none
	conflictSeen time.Duration

	cachedDigests map[string]uint64 // nil: out of date, because a member has changed
	revision      uint64
	failures      uint64

	disabled guard // guards that a test has disabled
}

// New returns the view of a node that has just started and knows only itself. The seed determines the jitter of reconnects.
func New(local Incarnation, site string, tree Tree, limits Limits, seed uint64) (*Members, error) {
	if err := tree.Check(); err != nil {
		return nil, err
	}
	if _, ok := tree[site]; !ok {
		return nil, ErrNoSite
	}
	return &Members{
		local:         local,
		site:          site,
		tree:          tree,
		Limits:        limits,
		rng:           rand.New(rand.NewPCG(seed, 0x3e3b)),
		needsReplies:  true,
		members:       map[string]*Member{},
		minStart:      map[string]uint64{},
		announcements: map[string]*receivedAnnouncement{},
		newerSent:     map[string]time.Duration{},
	}, nil
}

// Step handles one event that happened at the time now, and returns the actions to carry out, in order.
func (m *Members) Step(now time.Duration, event Event) []Action {
	m.now = max(m.now, now)
	m.actions = nil
	switch e := event.(type) {
	case NodeAlive:
		before := m.revision
		m.handleAlive(e)
		if m.revision == before { // most reports in a large installation change nothing, and need no evaluation
			return m.actions
		}
	case NodeSuspect:
		m.handleSuspect(e)
	case NodeDead:
		m.handleDead(e)
	case AnnouncementReceived:
		m.handleAnnouncement(e.Announcement)
	case Stalled:
		m.handleStall(e)
	}
	m.evaluate()
	return m.actions
}

// emit appends an action to the result of the current step.
func (m *Members) emit(a Action) { m.actions = append(m.actions, a) }

// handleAlive handles the failure detector's report that an incarnation runs.
func (m *Members) handleAlive(e NodeAlive) {
	if e.Name == m.local.Name {
		m.handleOwnName(e.Incarnation)
		return
	}
	if _, ok := m.tree[e.Site]; !ok {
		m.emit(Warn{&UnknownSiteError{e.Name, e.Site}})
		return
	}
	member := m.members[e.Name]
	switch {
	case member == nil && e.Start < m.minStart[e.Name]:
		m.announceNewer(Incarnation{Name: e.Name, Start: m.minStart[e.Name]})
	case member == nil:
		m.markChanged()
		m.members[e.Name] = &Member{Incarnation: e.Incarnation, Site: e.Site, State: Alive, Since: m.now}
		m.evictOldest()
	case member.Incarnation == e.Incarnation:
		if member.Site != e.Site {
			m.markChanged()
			member.Site = e.Site
		}
		if member.State != Alive && member.State != Left { // a node that has left can return only as another incarnation
			m.setState(member, Alive)
		}
	case m.enabled(guardImplausible) && e.Start > member.Start && e.Start-member.Start > maxStartGap: // ignored: implausible
	case (e.NewerThan(member.Incarnation) && e.Start >= m.minStart[e.Name]) || !m.enabled(guardStaleIncarnation):
		m.markChanged()
		*member = Member{Incarnation: e.Incarnation, Site: e.Site, State: Alive, Since: m.now}
		delete(m.announcements, e.Name)
	default: // the start number is stale, or equal to that of another incarnation: the node must raise it
		member.detected = e.Incarnation
		known := Incarnation{Name: e.Name, Start: max(member.Start, m.minStart[e.Name]), Nonce: member.Nonce}
		m.announceNewer(known)
	}
}

// handleOwnName handles a report of another incarnation with the local node's name: an earlier incarnation that other nodes
// still know, or a second running node with the same name.
func (m *Members) handleOwnName(other Incarnation) {
	switch {
	case other.Nonce == m.local.Nonce: // the local incarnation itself, with an earlier or a corrupted start number
	case other.Start < m.local.Start: // stale: the local incarnation is newer
	case m.enabled(guardImplausible) && other.Start-m.local.Start > maxStartGap: // ignored: implausible
	case !m.enabled(guardRefute): // only in tests
	case !m.agreedOnce || !m.enabled(guardNameConflict): // no majority has agreed yet: the start number may be raised
		stale := m.local.Start
		m.markChanged()
		m.local.Start = other.Start + 1
		m.emit(Refute{m.local})
		m.emit(Warn{&StaleIncarnationError{stale, m.local.Start}})
	case other.Start > m.local.Start:
		m.conflictSeen = m.now
		if m.conflicting != other {
			m.conflicting = other
			m.emit(Warn{&NameConflictError{m.local, other}})
		}
	}
}

// handleSuspect handles the failure detector's suspicion of an incarnation.
func (m *Members) handleSuspect(e NodeSuspect) {
	member := m.members[e.Name]
	if member != nil && member.Incarnation == e.Incarnation && member.State == Alive {
		m.setState(member, Suspect)
	}
}

// handleDead handles the end of an incarnation. A member is affected only if the report is about its known incarnation.
func (m *Members) handleDead(e NodeDead) {
	if e.Name == m.conflicting.Name && e.Nonce == m.conflicting.Nonce {
		m.conflicting = Incarnation{}
	}
	member := m.members[e.Name]
	switch {
	case member == nil:
		return
	case member.Incarnation != e.Incarnation && m.enabled(guardDead):
		return
	case member.State == Left, member.State == Failed && !e.Left:
		return
	}
	delete(m.announcements, e.Name)
	if e.Left {
		m.setState(member, Left)
		return
	}
	m.setState(member, Failed)
}

// handleStall discards all announcements received before a stall of the local process: during the stall, the other nodes may
// have marked this node as failed.
func (m *Members) handleStall(e Stalled) {
	if e.Duration < m.StallThreshold || !m.enabled(guardStall) {
		return
	}
	clear(m.announcements)
	m.disputedSince = nonZero(m.now - m.DisputeTimeout) // as if DisputeTimeout had already passed
	m.needsReplies = true
	m.announcedAt = 0
	m.setLocalState(Disputed)
}

// setState changes the state of a member.
func (m *Members) setState(member *Member, state State) {
	m.markChanged()
	member.State = state
	member.Since = m.now
	if state == Failed {
		m.failures++
		member.lastReconnect = m.now
		member.reconnectDelay = m.ReconnectMin
	}
}

// markChanged records that a member or the local incarnation has changed.
func (m *Members) markChanged() {
	m.cachedDigests = nil
	m.revision++
}

// evictOldest keeps the number of members within MaxMembers by forgetting those that failed or left first.
func (m *Members) evictOldest() {
	for len(m.members) > m.MaxMembers {
		var oldest *Member
		for _, name := range slices.Sorted(maps.Keys(m.members)) {
			member := m.members[name]
			if !member.State.running() && (oldest == nil || member.Since < oldest.Since) {
				oldest = member
			}
		}
		if oldest == nil {
			return
		}
		m.forget(oldest.Name)
	}
}

// forget deletes everything that is known about a name.
func (m *Members) forget(name string) {
	m.markChanged()
	delete(m.members, name)
	delete(m.minStart, name)
	delete(m.announcements, name)
	delete(m.newerSent, name)
}
