package membership

import (
	"maps"
	"slices"
)

// LocalState is how the local node stands among the members that concern it.
func (m *Members) LocalState() LocalState { return m.state }

// Local is the local incarnation.
func (m *Members) Local() Incarnation { return m.local }

// Count is how many of a site's known members run, the local node among them. The names in JSON are those of the control's
// answer.
type Count struct {
	Running int `json:"There"`
	Known   int `json:"Known"`
}

// Sites counts each site's members, without those that have left.
func (m *Members) Sites() map[string]Count {
	all := map[string]Count{}
	for site := range m.tree {
		all[site] = Count{}
	}
	add := func(site string, running bool) {
		count := all[site]
		count.Known++
		if running {
			count.Running++
		}
		all[site] = count
	}
	add(m.site, true)
	for _, member := range m.members {
		if member.State != Left {
			add(member.Site, member.State.running())
		}
	}
	return all
}

// List is all members but the local node, sorted by name.
func (m *Members) List() (list []Member) {
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		list = append(list, *m.members[name])
	}
	return list
}

// Digest is a hash of the incarnations that run in the local node's site and its parent.
func (m *Members) Digest() uint64 { return m.digests()[m.site] }

// Failures counts how often a member was taken for failed since the start.
func (m *Members) Failures() uint64 { return m.failures }

// Revision rises with each change of a member or of the local incarnation.
func (m *Members) Revision() uint64 { return m.revision }
