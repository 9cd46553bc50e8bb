package membership

// guard is a check that protects the view from stale, misdirected or false messages. All guards are enabled in production.
// Tests disable one at a time to show that each is needed.
type guard int

const (
	guardDead             guard  = 1 << iota // the end of an incarnation does not affect another incarnation
	guardStaleIncarnation                    // an older incarnation does not replace a newer one
	guardAnnouncement                        // an announcement counts only if the known, running incarnation sent it
	guardStall                               // announcements received before a stall do not count after it
	guardRefute                              // a node that restarted with a stale start number raises it
	guardNameConflict                        // a node that has agreed once does not raise its start number to win a name conflict
	guardImplausible                         // a start number far above the known one is ignored
	guardExpired                             // an announcement counts only for AnnouncementTTL
	guards                = iota             // the number of guards, for tests
)

// enabled reports whether a guard is active.
func (m *Members) enabled(g guard) bool { return m.disabled&g == 0 }
