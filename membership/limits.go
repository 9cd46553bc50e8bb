package membership

import "time"

// Limits are the timeouts and bounds of a view. All must be set; DefaultLimits has values that fit.
type Limits struct {
	DisputeTimeout   time.Duration // how long views may differ before the local node counts as disputed
	StallThreshold   time.Duration // the shortest stall of the local process that others may have noticed
	AnnounceInterval time.Duration // the longest time between two announcements
	AnnouncementTTL  time.Duration // how long a received announcement counts
	FailedTTL        time.Duration // how long a member that failed or left is remembered
	ReconnectMin     time.Duration // the wait before the first attempt to reach a failed member; it doubles up to
	ReconnectMax     time.Duration // this, with jitter
	MaxMembers       int           // beyond this many, the member that failed or left first is forgotten
}

// DefaultLimits fit a detector that notices a death within 2 s.
func DefaultLimits() Limits {
	return Limits{
		DisputeTimeout:   2 * time.Second,
		StallThreshold:   time.Second,
		AnnounceInterval: 5 * time.Second,
		AnnouncementTTL:  16 * time.Second,
		FailedTTL:        time.Hour,
		ReconnectMin:     time.Second,
		ReconnectMax:     15 * time.Second,
		MaxMembers:       4096,
	}
}
