package metrics

import (
	"bytes"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// A node without metrics in its settings has a nil Reporter.
func TestNilReporterRecordsNothing(t *testing.T) {
	var r *Reporter
	r.Count(r.Tags("a", "b"), Requests)
	r.Add(0, OpenRequests, 1)
	r.Latency(0, 1)
}

// BenchmarkRequest measures the cost of recording one request.
func BenchmarkRequest(b *testing.B) {
	r := New(settings.Metrics{Format: "statsd", Flush: time.Second, MaxBatch: 1400}, []string{"c"}, []string{"t"}, &bytes.Buffer{}, discardLog())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tags := r.Tags("c", "t")
		r.Count(tags, Requests)
		r.Add(tags, OpenRequests, 1)
		r.Add(tags, OpenRequests, -1)
		r.Count(tags, Served)
		r.Latency(tags, time.Millisecond)
		if i%1000 == 0 {
			r.flush()
		}
	}
}
