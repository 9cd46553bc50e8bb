// Package membership is the membership view of one node: it turns the reports of a failure detector and the announcements of
// other nodes into who is alive, whether a majority agrees on that, and what the local node may therefore do.
//
// It is a pure state machine, like raft's Step: events go in with the time at which they happened, actions come out. It
// does no I/O, reads no clock and starts no goroutine. The host (internal/peers) feeds it and carries out its actions.
//
// Its rule is one-sided: a node that does not agree with a majority of the members that concern it may take on less and
// give up what it granted, never more. The members that concern a node are those of its own site and of its parent site.
package membership

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// maxStartGap is how far above the known start number another one is believed. Without a bound, one false message could
// use up the numbers, or keep a node out for good.
const maxStartGap = 1 << 20

// ErrNoSite says that the local node's own site is not in the tree.
var ErrNoSite = errors.New("the node's own site is not one of the sites")

// Members is the view of one node. Make one with New. It belongs to one goroutine.
type Members struct {
	local Incarnation
	site  string
	tree  Tree
	Limits
	rng *rand.Rand

	now     time.Duration
	actions []Action

	members       map[string]*Member               // by name, without the local node
	minStart      map[string]uint64                // by name: the least start number to accept, from announcements
	announcements map[string]*receivedAnnouncement // by name: the last one of the incarnation that is known
	newerSent     map[string]time.Duration         // by name: when the node was last told that its start number is stale

	state         LocalState
	agreedOnce    bool          // in this incarnation
	disputedSince time.Duration // when the majority was lost; 0: there is one
	needsReplies  bool          // no announcements to go by, since the start or since a stall

	announcedAt      time.Duration // when the last announcement was sent; 0: one is due
	announcedDigests map[string]uint64

	conflicting  Incarnation // another running node of the local node's name; zero: none
	conflictSeen time.Duration

	cachedDigests map[string]uint64 // nil: a member has changed since
	revision      uint64
	failures      uint64

	disabled guard // by tests
}

// New returns the view of a node that starts: it knows only itself. The seed spreads the times of reconnects.
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

// Step takes one event that happened at the time now, and returns what to do, in order.
func (m *Members) Step(now time.Duration, event Event) []Action {
	m.now = max(m.now, now)
	m.actions = nil
	switch e := event.(type) {
	case NodeAlive:
		before := m.revision
		m.handleAlive(e)
		if m.revision == before { // most reports of a large installation change nothing: they need no evaluation
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

func (m *Members) emit(a Action) { m.actions = append(m.actions, a) }

// handleAlive takes the detector's report that an incarnation runs.
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
		if member.State != Alive && member.State != Left { // a node that has left comes back as another incarnation
			m.setState(member, Alive)
		}
	case m.enabled(guardImplausible) && e.Start > member.Start && e.Start-member.Start > maxStartGap:
	case (e.NewerThan(member.Incarnation) && e.Start >= m.minStart[e.Name]) || !m.enabled(guardStaleIncarnation):
		m.markChanged()
		*member = Member{Incarnation: e.Incarnation, Site: e.Site, State: Alive, Since: m.now}
		delete(m.announcements, e.Name)
	default: // its start number is stale or another incarnation's: it must refute with a higher one
		member.detected = e.Incarnation
		known := Incarnation{Name: e.Name, Start: max(member.Start, m.minStart[e.Name]), Nonce: member.Nonce}
		m.announceNewer(known)
	}
}

// handleOwnName takes news of another incarnation of the local node's name: an earlier one as others remember it, or a
// second node that runs under the name.
func (m *Members) handleOwnName(other Incarnation) {
	switch {
	case other.Nonce == m.local.Nonce: // the local one, under an earlier start number or one that was garbled
	case other.Start < m.local.Start: // stale: the local one is newer
	case m.enabled(guardImplausible) && other.Start-m.local.Start > maxStartGap: // not believed
	case !m.enabled(guardRefute): // only in tests: it does not refute
	case !m.agreedOnce || !m.enabled(guardNameConflict): // nobody has agreed with the local one yet: it gives way
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

// handleSuspect takes the detector's suspicion of an incarnation.
func (m *Members) handleSuspect(e NodeSuspect) {
	member := m.members[e.Name]
	if member != nil && member.Incarnation == e.Incarnation && member.State == Alive {
		m.setState(member, Suspect)
	}
}

// handleDead takes the end of an incarnation. One that is not the known one says nothing of it.
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

// handleStall drops what others announced before the local process stood still: they may have taken it for failed since.
func (m *Members) handleStall(e Stalled) {
	if e.Duration < m.StallThreshold || !m.enabled(guardStall) {
		return
	}
	clear(m.announcements)
	m.disputedSince = nonZero(m.now - m.DisputeTimeout) // the time to settle a dispute is over already
	m.needsReplies = true
	m.announcedAt = 0
	m.setLocalState(Disputed)
}

// setState moves a member to another state.
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

// markChanged notes that a member, or the local incarnation, has changed.
func (m *Members) markChanged() {
	m.cachedDigests = nil
	m.revision++
}

// evictOldest keeps the number of members within MaxMembers: the one that failed or left first is forgotten.
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

// forget drops all that is known of a name.
func (m *Members) forget(name string) {
	m.markChanged()
	delete(m.members, name)
	delete(m.minStart, name)
	delete(m.announcements, name)
	delete(m.newerSent, name)
}
