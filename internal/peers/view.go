package peers

import (
	"fmt"

	"hookwalk.example/hookwalk/membership"
)

// View is a snapshot of what a node knows about its peers. The JSON names are part of the admin API.
type View struct {
	Self    string                      `json:"Self"` // the local state
	Me      membership.Incarnation      `json:"Me"`
	Site    string                      `json:"Site"`
	Digest  string                      `json:"Digest"`
	Sites   map[string]membership.Count `json:"Sites"`
	Members []MemberView                `json:"Members"`
	Sent    int64                       `json:"Sent"`    // bytes sent in packets since the start
	Packets int64                       `json:"Packets"` // packets sent since the start
	Streams int64                       `json:"Streams"` // bytes sent and received since the start, on streams that this node opened
	Bad     int64                       `json:"Bad"`     // malformed messages and node meta data received since the start
	Failed  uint64                      `json:"Failed"`  // how often a member was declared failed since the start
}

// MemberView is one member in a View.
type MemberView struct {
	Name  string `json:"Name"`
	Site  string `json:"Site"`
	State string `json:"State"`
	Start uint64 `json:"Start"`
	ForMS int64  `json:"ForMS"` // how long it has been in this state
}

// View returns the current view.
func (c *Cluster) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := View{
		Self:    c.members.LocalState().String(),
		Me:      c.members.Local(),
		Site:    c.cfg.Site,
		Digest:  fmt.Sprintf("%016x", c.members.Digest()),
		Sites:   c.members.Sites(),
		Sent:    c.transport.packetBytes.Load(),
		Packets: c.transport.packets.Load(),
		Streams: c.transport.streamBytes.Load(),
		Bad:     c.malformed.total,
		Failed:  c.members.Failures(),
	}
	now := c.now()
	for _, m := range c.members.List() {
		v.Members = append(v.Members, MemberView{m.Name, m.Site, m.State.String(), m.Start, (now - m.Since).Milliseconds()})
	}
	return v
}

// May reports whether this node may carry out an operation now.
func (c *Cluster) May(operation membership.Operation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members.LocalState().May(operation)
}

// Changed returns a channel that is closed at the next change of the view.
func (c *Cluster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
