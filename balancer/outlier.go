// Outlier detection, ejection and probation.

package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// maxTimeoutRunProbability: a run of time-outs that is likelier than this, by the share of failures at all
	// servers, is taken for chance.
	maxTimeoutRunProbability = 0.08
	// maxErrorRunProbability is the same for a run that ends in an error or a lost connection. These are often
	// passed on from below the server and say less of it.
	maxErrorRunProbability = 0.001
	// minErrorRate is the share of failures that is assumed at least: below it a single error would seem
	// too unlikely for chance.
	minErrorRate = 0.01
	// probationSuccesses is how many successes in a row take back one level of ejection.
	probationSuccesses = 3
	// maxExcludedShare is the share of a list that may be excluded. Where more look bad to one node, the
	// fault is likelier its own or in the tier below, and excluding them would overload the others.
	maxExcludedShare = 0.2
	// ejectionLatencies is how long a first ejection lasts, in mean latencies of the class that failed:
	// longer than a pause of the server, short enough that a sound one is not missed.
	ejectionLatencies = 12
	// maxBackoffLevel is how many times the time of an ejection or of a capacity limit doubles: up to 32
	// times.
	maxBackoffLevel = 5
	// unresponsiveDeviations is how many deviations above the mean latency an attempt must be unanswered for
	// its server to count as unresponsive.
	unresponsiveDeviations = 3.0
	// answeredSinceDivisor: since half of that wait another server must have answered and this one not,
	// which shows that the fault is the server's alone.
	answeredSinceDivisor = 2
)

// excludeOutliers marks the servers of a list that are kept out for their health. Input: the servers that a
// request could go to, and the share of requests shed. Output: true for the outliers with the most failures
// in a row, up to maxExcludedShare of the list. Time-outs and errors count there, a long wait does not: an
// unresponsive server may have none in a row, and is then the first to stay in where there are too many.
//
// The share falls as more load is shed, for time-outs in an overload show load rather than ill health. One
// may always be excluded: a server that fails at once drains its count and would win most draws; one that
// is cut off would hold its attempts to their time-outs, fill the window, and so cause the shedding that
// kept it in.
func (b *Balancer) excludeOutliers(r *request, list []*server) []bool {
	excluded := make([]bool, len(list))
	var outliers []int
	for i, s := range list {
		if b.isOutlier(s, r) {
			outliers = append(outliers, i)
		}
	}
	slices.SortStableFunc(outliers, func(i, j int) int {
		return list[j].consecutiveFailures - list[i].consecutiveFailures
	})
	limit := max(int(maxExcludedShare*(1-r.class.pool.shedShare)*float64(len(list))), 1)
	for _, i := range outliers[:min(len(outliers), limit)] {
		excluded[i] = true
	}
	return excluded
}

// isOutlier says that a server should not be drawn for a request because of its health: it is ejected,
// unresponsive, or on probation and not open to this request. On probation one request at a time decides,
// and not a NonIdempotent one: a bad server must not fail many, nor one that can't be tried again. Where no
// other comes for as long as a first ejection, reckoned by the class of this request, a NonIdempotent one
// must do, or the server would never come back.
func (b *Balancer) isOutlier(s *server, r *request) bool {
	if b.now < s.ejectedUntil || b.isUnresponsive(s) {
		return true
	}
	if s.ejectionLevel == 0 || s.consecutiveSuccesses > 0 {
		return false
	}
	firstEjection := time.Duration(ejectionLatencies * r.class.meanLatency)
	nonIdempotentTooEarly := r.class.Effect == NonIdempotent && b.now < s.ejectedUntil+firstEjection
	return nonIdempotentTooEarly || s.inFlightCount() > 0
}

// isUnresponsive says that an old attempt at the server is unanswered while a younger one was answered
// elsewhere. A machine that hangs, pauses or is cut off shows nothing else until time-outs end; meanwhile
// it would be sent more. Streamed attempts don't count: their clients may be what is slow.
func (b *Balancer) isUnresponsive(s *server) bool {
	oldest := slices.IndexFunc(s.inFlight, func(a *attempt) bool {
		return a.serverStart == s.startedAt() && !a.request.streamedBody && !a.request.streaming
	})
	if oldest < 0 {
		return false
	}
	a := s.inFlight[oldest]
	wait := a.request.class.latencyBound(unresponsiveDeviations)
	since := a.sentAt + wait/answeredSinceDivisor
	return b.now-a.sentAt > wait && b.lastSuccess > since && s.lastSuccess < since
}

// recordFailure counts a failure of a server and ejects the server when its run of failures is too long for
// chance. Input: the length of the run and the share of failures at all servers. Output: the clock time
// until which the server is ejected. A bad server that stays in shows as a steady share of failures, about
// one over the number of servers, and more if it fails quickly.
//
// Errors that strike everywhere come from the tier below, and ejecting on them would leave nobody. So a run
// of n failures counts only if share^n is below the limit of the last one's kind. That gives:
//
//	share of failures   ejected by a time-out as    ejected by an error as
//	before the last     the failure in a row of     the failure in a row of
//	1 to 2 %            number 1                    number 2
//	5 %                 number 1                    number 3
//	10 %                number 2                    number 4
//	20 %                number 2                    number 5
//	50 %                number 4                    number 10
//
// Each failure raises the share by 0.06 of what it lacks to 1, each success at any server takes 0.06 of it:
// where nothing succeeds between them, it takes four or five errors rather than two. The time of an
// ejection doubles while requests on probation fail.
func (b *Balancer) recordFailure(s *server, c *class, outcome Outcome) {
	s.consecutiveFailures++
	s.consecutiveSuccesses = 0
	limit := maxErrorRunProbability
	if outcome == TimedOut {
		limit = maxTimeoutRunProbability
	}
	if b.now >= s.ejectedUntil && math.Pow(b.errorRate, float64(s.consecutiveFailures)) < limit {
		s.ejectedUntil = b.now + time.Duration(ejectionLatencies*c.meanLatency)<<s.ejectionLevel
		s.ejectionLevel = min(s.ejectionLevel+1, maxBackoffLevel)
	}
	moveTowards(&b.errorRate, 1, sampleWeight)
}

// endFailureRun ends a run of failures. Each full run of successes takes one level of ejection back.
func (b *Balancer) endFailureRun(s *server) {
	s.consecutiveFailures = 0
	moveTowards(&b.errorRate, 0, sampleWeight)
	b.errorRate = max(minErrorRate, b.errorRate)
	if s.consecutiveSuccesses++; s.consecutiveSuccesses >= probationSuccesses && s.ejectionLevel > 0 {
		s.ejectionLevel--
		s.consecutiveSuccesses = 1
	}
}
