package membership

import (
	"maps"
	"slices"
)

// LocalState returns whether, and how, the local node agrees with the members that concern it.
func (m *Members) LocalState() LocalState { return m.state }

// Local returns the local incarnation.
func (m *Members) Local() Incarnation { return m.local }

// Count is the number of known members of a site, and how many of them run. Both include the local node. The JSON names are
// part of the admin API.
type Count struct {
	Running int `json:"There"`
	Known   int `json:"Known"`
}

// Sites returns the member count of each site. Members that have left are not counted.
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

// List returns all members except the local node, sorted by name.
func (m *Members) List() (list []Member) {
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		list = append(list, *m.members[name])
	}
	return list
}

// Digest returns a hash of the running incarnations of the local node's site and its parent site.
func (m *Members) Digest() uint64 { return m.digests()[m.site] }

// Failures returns how often a member has changed to the state Failed since the start.
func (m *Members) Failures() uint64 { return m.failures }

// Revision returns a number that increases with each change of a member or of the local incarnation.
func (m *Members) Revision() uint64 { return m.revision }
