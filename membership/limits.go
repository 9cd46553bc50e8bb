package membership

import "time"

// Limits are the timeouts and bounds of a view. All must be set; DefaultLimits has values that fit.
type Limits struct {
	DisputeTimeout   time.Duration // how long views may differ before the local node counts as disputed, and a member is silent before the older incarnation that the detector reports counts
	StallThreshold   time.Duration // the shortest stall of the local process after which others may have called it failed: a suspicion from before runs out during it
	AnnounceInterval time.Duration // the longest time between two announcements; a name conflict that is not seen for longer is over
	AnnouncementTTL  time.Duration // how long a received announcement counts
	FailedTTL        time.Duration // how long a member that failed or left is remembered
	ReconnectMin     time.Duration // the wait before the first attempt to reach a failed member; it doubles up to
	ReconnectMax     time.Duration // this, plus a jitter of up to a quarter of ReconnectMin
	MaxMembers       int           // beyond this many, the member that failed or left first is forgotten
}

// DefaultLimits fit a detector that notices a death within 2 s.
func DefaultLimits() Limits {
	return Limits{
		DisputeTimeout:   2 * time.Second,
		StallThreshold:   300 * time.Millisecond,
		AnnounceInterval: 5 * time.Second,
		AnnouncementTTL:  16 * time.Second, // three AnnounceIntervals and a margin: two announcements in a row may be lost
		FailedTTL:        time.Hour,
		ReconnectMin:     time.Second,
		ReconnectMax:     15 * time.Second,
		MaxMembers:       4096,
	}
}
