package scale

import (
	"testing"
	"time"
)

// The small form: all members agree, what they send at rest stays within bounds that follow from the detector's pace,
// and a death is noticed by all. How long any of it takes is not looked at.
func TestMembershipSmall(t *testing.T) {
	const count = 12 // and one that joins later
	result, err := MeasureMembership(t.Context(), MembershipOptions{Members: count, Settle: 500 * time.Millisecond, Rest: 2 * time.Second,
		Deaths: []int{1}, MostTime: time.Minute, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	// In a second a member probes 4 others and answers 4, sends gossip 10 times to 3, and where probes are late asks 3 others
	// for each and answers as many for others.
	const mostPacketsPerSecond = 4 + 4 + 10*3 + 4*3*4
	if got := result.Rest.PerMember(result.Rest.Packets); got > mostPacketsPerSecond {
		t.Errorf("%.0f packets a second from each member, at most %d are expected", got, mostPacketsPerSecond)
	}
	const mostPacketBytes = 1400
	if got := result.Rest.PacketBytes; got == 0 || got > result.Rest.Packets*mostPacketBytes {
		t.Errorf("%d bytes in %d packets", got, result.Rest.Packets)
	}
	if result.Agree.StreamBytes == 0 {
		t.Error("nothing was sent on streams, and members join on streams")
	}
	if len(result.Deaths) != 1 || result.Deaths[0].Running != count {
		t.Errorf("deaths: %+v", result.Deaths)
	}
	const mostDescriptorsPerMember = 20 // two to listen, streams while they last
	if result.Descriptors > count*mostDescriptorsPerMember {
		t.Errorf("%d descriptors for %d members", result.Descriptors, count)
	}
}
