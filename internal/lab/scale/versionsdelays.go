package scale

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// InForceLimit is the longest time that a version may take from the acceptance of its publish until it is in force at
// every node.
const InForceLimit = 3 * time.Second

// Delays summarizes how long versions took to come into force at nodes.
type Delays struct {
	Count         int
	P50, P99, Max time.Duration
}

// Summarize computes the percentiles of delays by the nearest-rank method.
func Summarize(delays []time.Duration) Delays {
	if len(delays) == 0 {
		return Delays{}
	}
	sorted := slices.Sorted(slices.Values(delays))
	return Delays{Count: len(sorted), P50: nearestRank(sorted, 0.50), P99: nearestRank(sorted, 0.99), Max: sorted[len(sorted)-1]}
}

// nearestRank returns the percentile of sorted durations by the nearest-rank method. Share is above 0 and at most 1.
func nearestRank(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// Milliseconds formats a duration in milliseconds for a table.
func Milliseconds(d time.Duration) string {
	return fmt.Sprintf("%s ms", FormatNumber(float64(d)/float64(time.Millisecond)))
}

// MaxWithin returns the largest number of moments that lie within any interval of length span. The moments are in
// nanoseconds and in ascending order.
func MaxWithin(moments []int64, span time.Duration) (largest int) {
	first := 0
	for last := range moments {
		for moments[last]-moments[first] >= int64(span) {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// Unevenness returns the largest deviation of a share from the mean, relative to the mean.
func Unevenness(shares []int) float64 {
	total := 0
	for _, share := range shares {
		total += share
	}
	if total == 0 {
		return 0
	}
	mean := float64(total) / float64(len(shares))
	furthest := 0.0
	for _, share := range shares {
		furthest = max(furthest, math.Abs(float64(share)-mean)/mean)
	}
	return furthest
}
