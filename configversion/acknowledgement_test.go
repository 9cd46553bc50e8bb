package configversion

import (
	"testing"
	"time"
)

// A controller does not accept an acknowledgement. The session retries it with backoff, also at the next controller,
// until one accepts it.
func TestAcknowledgementsAreRetried(t *testing.T) {
	d, w := newConnectedDriver(t, SessionOptions{})
	d.deliverUpdate(w.Watch, versionUpdate("x", 1))
	d.finishApply(nil)
	for range 5 {
		d.finishAck(false)
		if !d.advanceUntil(d.now+ackMaxBackoff, func() bool { return d.ackInFlight != nil }) {
			t.Fatal("the acknowledgement is not retried")
		}
		d.step(WatchActivity{Watch: w.Watch})
	}
	d.finishAck(false)
	d.step(WatchEnded{w.Watch})
	next := d.nextWatch(reconnectJitter)
	if d.ackInFlight != nil {
		t.Error("an acknowledgement is sent without a watch")
	}
	d.deliverUpdate(next.Watch, versionUpdate("x", 1))
	if d.ackInFlight == nil || d.ackInFlight.Address != next.Address || d.ackInFlight.Ack.WatchNumber != next.Watch || d.ackInFlight.Ack.Version != 1 {
		t.Errorf("the acknowledgement to the next controller is %+v", d.ackInFlight)
	}
	d.finishAck(true)
	d.advanceWithHeartbeats(next.Watch, 10*time.Second)
	if d.ackInFlight != nil {
		t.Error("the acknowledgement is retried after it was accepted")
	}
}
