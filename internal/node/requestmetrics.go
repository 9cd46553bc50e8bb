package node

import (
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
)

// serveWithMetrics serves a request, records its metrics and returns its status.
func (h *ingressHandler) serveWithMetrics(w http.ResponseWriter, r *http.Request) (status int) {
	reporter, begin := h.metrics, h.clock.Now()
	tags := reporter.Tags(r.Header.Get(headerClass), r.Header.Get(headerTenant))
	reporter.Count(tags, metrics.Requests)
	reporter.Add(tags, metrics.OpenRequests, 1)
	if c := connOf(r); c != nil {
		c.setTags(tags)
	}
	status = h.serveRequest(w, r, tags)
	reporter.Add(tags, metrics.OpenRequests, -1)
	reporter.Count(tags, counterForStatus(status))
	h.recordLatency(tags, status, h.clock.Now()-begin)
	return status
}

// recordLatency records the latency of a final answer. Requests that are not accepted are left out, because they are
// answered at once and would distort the latency of the others.
func (h *ingressHandler) recordLatency(tags metrics.Tags, status int, latency time.Duration) {
	switch counterForStatus(status) {
	case metrics.Served, metrics.Rejected, metrics.Failed:
		h.metrics.Latency(tags, latency)
	}
}

// counterForStatus returns the metric that counts requests that ended with a status.
func counterForStatus(status int) metrics.Counter {
	switch {
	case status == statusClientGone:
		return metrics.ClientGone
	case status == http.StatusOK:
		return metrics.Served
	case status == statusTruncated:
		return metrics.Failed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return metrics.Rejected
	case status < http.StatusInternalServerError || status == http.StatusHTTPVersionNotSupported:
		return metrics.NotAccepted
	}
	return metrics.Failed
}
