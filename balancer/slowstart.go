// Slow start: servers that are warming up.

package balancer

// fullShareOverloadMultiple is the overload multiple below which a server that is warming up is drawn less
// often. Half of the multiple is reserved for bursts, such as several replicas drawing the server at the same
// time.
const fullShareOverloadMultiple = 2

// slowStartAdmits reports whether slow start allows a server to be drawn. Input: the time since the server's
// start, and the share of servers that are busy. Output: after SlowStartDuration, true. Before that, true
// only while this replica has no attempt in flight at the server, and then with a probability equal to the
// share of its capacity that the server certainly has.
//
// A server that has just started has cold caches and empty connection pools. If it is sent its full share, it
// fails, restarts and fails again. Many replicas that each send it a little have the same effect. The symptom
// is a server that is ejected right after each start.
//
// A server in slow start that is drawn has no own attempt in flight, so it is chosen over every busy server,
// and up to twice as often as a warm one. Dividing by 1+busy compensates for that.
func (b *Balancer) slowStartAdmits(s *server, busy float64) bool {
	age := b.now - s.startedAt()
	if s.startedAt() <= 0 || age >= b.settings.SlowStartDuration {
		return true
	}
	progress := max(0, float64(age)/float64(b.settings.SlowStartDuration))
	share := (b.settings.SlowStartMinShare + (1-b.settings.SlowStartMinShare)*progress) / (1 + busy)
	if multiple := b.settings.OverloadMultiple; multiple > 0 {
		share *= min(1, multiple/fullShareOverloadMultiple)
	}
	return s.inFlightCount() == 0 && b.rng.Float64() < share
}
