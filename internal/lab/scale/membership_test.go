package scale

import (
	"testing"
	"time"
)

// Members that gossip without end, or that leave streams open, cost more with each node. In the small form all members
// agree, what they send while nothing happens stays within bounds that follow from the detector's intervals, and a death is
// noticed by all. How long any of it takes is not checked.
func TestMembershipSmall(t *testing.T) {
	const count = 12 // and one that joins later
	result, err := MeasureMembership(t.Context(), MembershipOptions{Members: count, Settle: 500 * time.Millisecond, IdleTime: 2 * time.Second,
		Deaths: []int{1}, Timeout: time.Minute, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	// In a second a member probes 4 others and answers 4, sends gossip 10 times to 3, and where probes are late asks 3 others
	// for each and answers as many for others.
	const maxPacketsPerSecond = 4 + 4 + 10*3 + 4*3*4
	if got := result.Idle.PerMember(result.Idle.Packets); got > maxPacketsPerSecond {
		t.Errorf("%.0f packets a second from each member, at most %d are expected", got, maxPacketsPerSecond)
	}
	const maxPacketBytes = 1400
	if got := result.Idle.PacketBytes; got == 0 || got > result.Idle.Packets*maxPacketBytes {
		t.Errorf("%d bytes in %d packets", got, result.Idle.Packets)
	}
	if result.Agree.StreamBytes == 0 {
		t.Error("nothing was sent on streams, and members join on streams")
	}
	if len(result.Deaths) != 1 || result.Deaths[0].Running != count {
		t.Errorf("deaths: %+v", result.Deaths)
	}
	const maxDescriptorsPerMember = 20 // two to listen, streams while they last
	if result.Descriptors > count*maxDescriptorsPerMember {
		t.Errorf("%d descriptors for %d members", result.Descriptors, count)
	}
}
