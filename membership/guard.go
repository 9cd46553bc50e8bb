package membership

// guard is one of the checks on messages that are stale, misdirected or false. All are always enabled
// outside of tests, which alone disable one at a time, to show that each is needed.
type guard int

const (
	guardDead             guard  = 1 << iota // the end of an incarnation says nothing of another one
	guardStaleIncarnation                    // a newer incarnation is not replaced by an older one
	guardAnnouncement                        // an announcement counts only from the incarnation that is known to run
	guardStall                               // announcements from before a stall do not count after it
	guardRefute                              // a node that came back with a stale start number refutes it
	guardNameConflict                        // a node that has agreed does not fight over its name
	guardImplausible                         // a start number far above the known one is not believed
	guardExpired                             // an announcement counts for AnnouncementTTL only
	guards                = iota             // how many there are, for the tests
)

// enabled says that a check is made.
func (m *Members) enabled(g guard) bool { return m.disabled&g == 0 }
