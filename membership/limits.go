package membership

import "time"

// Limits are the timeouts and bounds of a membership view. All must be set; see DefaultLimits.
type Limits struct {
	// DisputeTimeout is how long the local node may lack the agreement of a majority before its state becomes Disputed. It
	// is also the shortest time before a silent member is replaced by the older incarnation that the failure detector reports.
	DisputeTimeout time.Duration
	// StallThreshold is the shortest stall of the local process that invalidates its agreement: if peers suspected this node
	// before the stall, the suspicion may expire during it, and they report this node as failed.
	StallThreshold time.Duration
	// AnnounceInterval is the longest time between two announcements. A name conflict ends when it has not been reported
	// for longer than this.
	AnnounceInterval time.Duration
	// AnnouncementTTL is how long a received announcement counts.
	AnnouncementTTL time.Duration
	// FailedTTL is how long a member that failed or left is remembered.
	FailedTTL time.Duration
	// ReconnectMin is the delay before the first attempt to reconnect to a failed member. The delay doubles with each
	// attempt, up to ReconnectMax. A jitter of up to a quarter of ReconnectMin is added.
	ReconnectMin time.Duration
	ReconnectMax time.Duration
	// MaxMembers bounds the number of members. Above it, the member that failed or left first is forgotten.
	MaxMembers int
}

// DefaultLimits returns limits for a failure detector that detects a failure within 2 s.
func DefaultLimits() Limits {
	return Limits{
		DisputeTimeout:   2 * time.Second,
		StallThreshold:   300 * time.Millisecond,
		AnnounceInterval: 5 * time.Second,
		AnnouncementTTL:  16 * time.Second, // three AnnounceIntervals and a margin: two consecutive announcements may be lost
		FailedTTL:        time.Hour,
		ReconnectMin:     time.Second,
		ReconnectMax:     15 * time.Second,
		MaxMembers:       4096,
	}
}
