// Outlier detection, ejection and probation.

package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// maxTimeoutRunProbability: a run of timeouts that is more probable than this, given the share of
	// failures at all servers, is attributed to chance.
	maxTimeoutRunProbability = 0.08
	// maxErrorRunProbability is the same for a run that ends in an error or a lost connection. These are
	// often passed on from a deeper tier and say less about the server itself.
	maxErrorRunProbability = 0.001
	// minErrorRate is the lowest share of failures that is assumed: below it, a single error would seem too
	// improbable to be chance.
	minErrorRate = 0.01
	// probationSuccesses is how many consecutive successes lower the ejection level of a server by one.
	probationSuccesses = 3
	// maxExcludedShare is the share of a list that may be excluded. If more servers look bad to one node, the
	// fault is more likely in that node or in a deeper tier, and excluding them would overload the others.
	maxExcludedShare = 0.2
	// ejectionLatencies is how long a first ejection lasts, in mean latencies of the class that failed:
	// longer than a pause of the server, but short enough that the loss of a healthy server does no harm.
	ejectionLatencies = 12
	// maxBackoffLevel is how many times the duration of an ejection or of a capacity limit can double: it
	// grows to at most 32 times the first duration.
	maxBackoffLevel = 5
	// unresponsiveDeviations is the number of deviations above the mean latency after which an unanswered
	// attempt can make its server count as unresponsive.
	unresponsiveDeviations = 3.0
	// answeredSinceDivisor: after half of that wait, another server must have answered and this one must not
	// have, which shows that the fault is in this server alone.
	answeredSinceDivisor = 2
)

// excludeOutliers marks the servers of a list that are excluded because of their health. Input: the servers
// that a request could be sent to, and the share of requests shed. Output: true for the outliers with the
// most consecutive failures, up to maxExcludedShare of the list. Timeouts and errors count as failures; a
// long wait does not. An unresponsive server may therefore have no failures, and if there are too many
// outliers, it is the first that is not excluded.
//
// The limit falls as more load is shed, because timeouts in an overload show load rather than bad health. One
// server may always be excluded, for two reasons. A server that fails quickly has few attempts in flight and
// would win most draws. A server that is cut off from the network would hold its attempts until they time
// out, fill the window and cause load shedding, which would lower the limit until the server is not excluded.
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

// isOutlier reports whether a server should not be chosen for a request because of its health: it is ejected
// or unresponsive, or it is on probation and may not get this request. On probation a server gets one request
// at a time, and not a NonIdempotent one: a bad server must not fail many requests, nor one that cannot be
// retried. A NonIdempotent request is allowed once the duration of a first ejection, computed with the mean
// latency of this request's class, has passed since the end of the ejection: if no other requests arrive, the
// server might otherwise never return.
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

// isUnresponsive reports whether an old attempt at a server is unanswered although another server has
// answered since. A machine that hangs, pauses or is cut off from the network shows nothing else until
// attempts time out, and would be sent more requests meanwhile. Streamed attempts do not count: their clients
// may be the slow part.
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

// recordFailure counts a failure of a server and ejects the server if its run of failures is too long to be
// chance. Input: the length of the run and the share of failures at all servers. Output: the clock time
// until which the server is ejected. The symptom of a bad server that is not ejected is a steady share of
// failures, about one over the number of servers, and more if it fails quickly.
//
// Errors at all servers have their cause in a deeper tier, and ejecting servers for them would leave no
// server. A run of n failures therefore counts only if share^n is below the limit for the kind of its last
// failure:
//
//	share of failures    consecutive failures that eject a server
//	before the last      if the last is a timeout     if the last is an error
//	1 to 2 %             1                            2
//	5 %                  1                            3
//	10 %                 2                            4
//	20 %                 2                            5
//	50 %                 4                            10
//
// Each failure raises the share by 0.06 of its distance from 1, and each success at any server lowers it by
// 0.06 of its value: without a success between them, it therefore takes four or five errors rather than two.
// The duration of an ejection doubles while requests on probation fail.
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

// endFailureRun ends a run of failures after a success. Each full run of successes lowers the ejection level
// by one.
func (b *Balancer) endFailureRun(s *server) {
	s.consecutiveFailures = 0
	moveTowards(&b.errorRate, 0, sampleWeight)
	b.errorRate = max(minErrorRate, b.errorRate)
	if s.consecutiveSuccesses++; s.consecutiveSuccesses >= probationSuccesses && s.ejectionLevel > 0 {
		s.ejectionLevel--
		s.consecutiveSuccesses = 1
	}
}
