// Slow start: servers that are warming up.

package balancer

// fullShareOverloadMultiple is the overload multiple below which a server that is warming up is sent less: half of the
// multiple is kept free for bursts, as of several replicas that draw it at once.
const fullShareOverloadMultiple = 2

// slowStartAdmits says whether a server may be drawn with regard to its age. Input: the time since its
// start, and the share of its peers that are busy. Output: true when SlowStartDuration is over; before, a
// draw with the share of its capacity that it surely has, and no more than one own attempt at a time.
//
// A server that has just started has cold caches and empty connection pools; sent its full share it falls
// over, starts again and falls over again, and many replicas that each send a little do the same together.
// It shows as a server that is ejected right after each start.
//
// Idle as it is, a drawn server wins against all busy ones, up to twice as often as a warm one does: the
// share of busy peers takes that back.
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
