package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// replyInterval is the shortest time between two answers to the same need: announcements of a newer incarnation to one
// node, and announcements on request.
const replyInterval = time.Second

// receivedAnnouncement is the last announcement of a member.
type receivedAnnouncement struct {
	Announcement
	at time.Duration
}

// handleAnnouncement takes an announcement, if it is of the incarnation that is known to run.
func (m *Members) handleAnnouncement(a Announcement) {
	for _, newer := range a.Newer[:min(len(a.Newer), MaxNewer)] {
		m.handleNewer(newer)
	}
	member := m.members[a.From.Name]
	if member != nil && member.detected == a.From && m.now-member.Since >= m.DisputeTimeout &&
		(!member.hasAnnounced || m.announcementExpired(member)) {
		// The known incarnation is silent, and the older one that the detector reports is not: the older one runs.
		m.markChanged()
		*member = Member{Incarnation: a.From, Site: member.Site, State: Alive, Since: m.now}
		delete(m.minStart, a.From.Name)
	}
	if member == nil {
		return
	}
	if (member.Incarnation != a.From || !member.State.running()) && m.enabled(guardAnnouncement) {
		return
	}
	if a.Request && m.now-m.announcedAt >= replyInterval {
		m.announcedAt = 0
	}
	member.hasAnnounced = member.hasAnnounced || member.Incarnation == a.From
	m.announcements[a.From.Name] = &receivedAnnouncement{a, m.now}
}

// handleNewer takes another node's word that an incarnation is known whose start number a node must go above.
func (m *Members) handleNewer(newer Incarnation) {
	if newer.Name == m.local.Name {
		m.handleOwnName(newer)
		return
	}
	member := m.members[newer.Name]
	if member == nil || newer.Start <= member.Start {
		return
	}
	if newer.Start-member.Start > maxStartGap && m.enabled(guardImplausible) {
		return
	}
	m.minStart[newer.Name] = max(m.minStart[newer.Name], newer.Start)
}

// announceNewer tells a node that came back with a stale start number which incarnation is known.
func (m *Members) announceNewer(known Incarnation) {
	if at, ok := m.newerSent[known.Name]; ok && m.now-at < replyInterval {
		return
	}
	m.newerSent[known.Name] = m.now
	m.announce(known)
}

// announce sends an announcement.
func (m *Members) announce(newer ...Incarnation) {
	m.announcedAt = nonZero(m.now)
	m.announcedDigests = m.digests()
	m.emit(Broadcast{Announcement{
		From:    m.local,
		Site:    m.site,
		Digests: maps.Clone(m.announcedDigests),
		Newer:   newer,
		Request: m.needsReplies,
	}})
}

// announcementDue says that the last announcement is too old, or tells of another view.
func (m *Members) announcementDue() bool {
	return m.announcedAt == 0 || m.now-m.announcedAt >= m.AnnounceInterval || !maps.Equal(m.announcedDigests, m.digests())
}

// announcementExpired says that there is no announcement of a member that still counts.
func (m *Members) announcementExpired(member *Member) bool {
	last := m.announcements[member.Name]
	return last == nil || m.now-last.at >= m.AnnouncementTTL
}

// concerned are the members of a site and its parent that have not left.
func (m *Members) concerned(site string) (list []*Member) {
	for _, member := range m.members {
		if member.State != Left && (member.Site == site || member.Site == m.tree[site]) {
			list = append(list, member)
		}
	}
	return list
}

// digests has the digest of the local node's own site and of each site below it, whose members ask for it.
func (m *Members) digests() map[string]uint64 {
	if m.cachedDigests != nil {
		return m.cachedDigests
	}
	all := map[string]uint64{m.site: m.digest(m.site)}
	for _, child := range m.tree.children(m.site) {
		all[child] = m.digest(child)
	}
	m.cachedDigests = all
	return all
}

// digest is a hash of the incarnations that run in a site and its parent.
func (m *Members) digest(site string) uint64 {
	running := []Incarnation{}
	if m.site == site || m.site == m.tree[site] {
		running = append(running, m.local)
	}
	for _, member := range m.concerned(site) {
		if member.State.running() {
			running = append(running, member.Incarnation)
		}
	}
	slices.SortFunc(running, func(a, b Incarnation) int { return cmp.Compare(a.Name, b.Name) })
	hash := fnv.New64a()
	for _, incarnation := range running {
		b := []byte(incarnation.Name + "\x00")
		b = binary.LittleEndian.AppendUint64(b, incarnation.Start)
		b = binary.LittleEndian.AppendUint64(b, incarnation.Nonce)
		hash.Write(b)
	}
	return hash.Sum64()
}
