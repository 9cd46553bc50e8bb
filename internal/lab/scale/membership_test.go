package scale

import (
	"testing"
	"time"
)

// Members that never stop gossiping or that leave streams open would cost more with each node. The test checks that all
// members agree, that idle traffic stays within the bounds that follow from the failure detector's intervals, and that
// all members notice a death. It does not check durations.
func TestMembershipSmall(t *testing.T) {
	const count = 12 // and one that joins later
	result, err := MeasureMembership(t.Context(), MembershipOptions{Members: count, Settle: 500 * time.Millisecond, IdleTime: 2 * time.Second,
		Deaths: []int{1}, Timeout: time.Minute, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	// Each second a member probes 4 others and answers 4 probes, and sends gossip 10 times to 3 others. For each late probe
	// it sends an indirect probe through 3 others, and it does the same for other members.
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
	const maxDescriptorsPerMember = 20 // two listening sockets, and the open streams
	if result.Descriptors > count*maxDescriptorsPerMember {
		t.Errorf("%d descriptors for %d members", result.Descriptors, count)
	}
}
