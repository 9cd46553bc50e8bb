package membership

import (
	"testing"
	"time"
)

// Peers that suspect a node just before its process stalls report it as failed during the stall: after 0.79 s in a run with
// packet loss. When the process resumed after 0.99 s, the node still considered itself agreed with its peers. After a stall,
// a node must be Disputed until its peers have replied.
func TestShortStallEndsAgreement(t *testing.T) {
	tree := Tree{"dc": ""}
	local, peer := Incarnation{Name: "a", Start: 1, Nonce: 1}, Incarnation{Name: "b", Start: 1, Nonce: 2}
	newMembers := func(i Incarnation) *Members {
		m, err := New(i, "dc", tree, DefaultLimits(), i.Nonce)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	a, b := newMembers(local), newMembers(peer)
	now := time.Second
	state := Joining
	step := func(m *Members, event Event) (sent []Announcement) {
		for _, action := range m.Step(now, event) {
			switch action := action.(type) {
			case Broadcast:
				sent = append(sent, action.Announcement)
			case LocalStateChanged:
				if m == a {
					state = action.To
				}
			}
		}
		return sent
	}
	step(a, NodeAlive{Incarnation: peer, Site: "dc"})
	step(b, NodeAlive{Incarnation: local, Site: "dc"})
	for range 3 {
		now += DefaultLimits().AnnounceInterval
		for _, announcement := range step(b, Tick{}) {
			step(a, AnnouncementReceived{announcement})
		}
		for _, announcement := range step(a, Tick{}) {
			step(b, AnnouncementReceived{announcement})
		}
	}
	if state != Agreed {
		t.Fatalf("local state before the stall: %v, want %v", state, Agreed)
	}
	now += 987 * time.Millisecond
	step(a, Stalled{Duration: 887 * time.Millisecond})
	if state != Disputed {
		t.Errorf("local state after the stall: %v, want %v", state, Disputed)
	}
}
