package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// replyInterval is the shortest time between two announcements of a newer incarnation of one node, and between an
// announcement and the next one sent on request.
const replyInterval = time.Second

// receivedAnnouncement is the last announcement received from a member.
type receivedAnnouncement struct {
	Announcement
	at time.Duration
}

// handleAnnouncement handles an announcement. It stores the announcement if the sender is the known, running incarnation.
func (m *Members) handleAnnouncement(a Announcement) {
	for _, newer := range a.Newer[:min(len(a.Newer), MaxNewer)] {
		m.handleNewer(newer)
	}
	member := m.members[a.From.Name]
	if member != nil && member.detected == a.From && m.now-member.Since >= m.DisputeTimeout &&
		(!member.hasAnnounced || m.announcementExpired(member)) {
		// The known incarnation is silent, while the older one that the failure detector reports is not: the older one runs.
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

// handleNewer handles another node's report of a known incarnation. The node with that name must use a start number at least
// as high: if the report is about the local node, it raises its own; otherwise the number becomes the lowest to accept.
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

// announceNewer announces the known incarnation of a node that restarted with a stale start number, so that the node raises
// its number.
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

// announcementDue reports whether the last announcement is too old or describes an outdated view.
func (m *Members) announcementDue() bool {
	return m.announcedAt == 0 || m.now-m.announcedAt >= m.AnnounceInterval || !maps.Equal(m.announcedDigests, m.digests())
}

// announcementExpired reports whether there is no valid announcement from a member.
func (m *Members) announcementExpired(member *Member) bool {
	last := m.announcements[member.Name]
	return last == nil || m.now-last.at >= m.AnnouncementTTL
}

// concerned returns the members of a site and its parent site, without those that have left and the local node.
func (m *Members) concerned(site string) (list []*Member) {
	for _, member := range m.members {
		if member.State != Left && (member.Site == site || member.Site == m.tree[site]) {
			list = append(list, member)
		}
	}
	return list
}

// digests returns the digests of the local node's site and of its child sites. The members of a child site compare theirs
// with them.
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

// digest returns a hash of the running incarnations of a site and its parent site.
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
