package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/metrics"
)

// gaveUp is in place of a status for a request whose client left.
const gaveUp = 0

// cutShort is in place of a status for an answer that could not be passed on to its end.
const cutShort = -1

// measured serves a request and counts it.
func (h *callers) measured(w http.ResponseWriter, r *http.Request) (status int) {
	f, begin := h.figures, h.clock.Now()
	tags := f.Tags(r.Header.Get("X-Call-Class"), r.Header.Get("X-Caller"))
	f.Count(tags, metrics.Requests)
	f.Add(tags, metrics.OpenRequests, 1)
	if c := connOf(r); c != nil {
		c.tag(tags)
	}
	status = h.serve(w, r, tags)
	f.Add(tags, metrics.OpenRequests, -1)
	f.Count(tags, counterOf(status))
	h.latency(tags, status, h.clock.Now()-begin)
	return status
}

// latency notes how long an answer took, if the module gave it: what is turned down at the door takes no time.
func (h *callers) latency(tags metrics.Tags, status int, took time.Duration) {
	switch counterOf(status) {
	case metrics.Served, metrics.Rejected, metrics.Failed:
		h.figures.Latency(tags, took)
	}
}

func counterOf(status int) metrics.Counter {
	switch {
	case status == gaveUp:
		return metrics.ClientGone
	case status == http.StatusOK:
		return metrics.Served
	case status == cutShort:
		return metrics.Failed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return metrics.Rejected
	case status < http.StatusInternalServerError || status == http.StatusHTTPVersionNotSupported:
		return metrics.NotAccepted
	}
	return metrics.Failed
}

type connKey struct{}

// withConn lets requests find the connection that they came on.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if in, ok := c.(*inConn); ok {
		ctx, in.ahead.left = context.WithCancel(ctx) // of every request on it
	}
	return context.WithValue(ctx, connKey{}, c)
}

// connOf gives the connection of a request, or nil where no feature needs it.
func connOf(r *http.Request) *inConn {
	c, _ := r.Context().Value(connKey{}).(*inConn)
	return c
}
