package metrics

import (
	"regexp"
	"slices"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// Counters are summed over a flush interval. Gauges are exported while they are not zero, and once after they fall to zero.
func TestStatsdLines(t *testing.T) {
	r, out := newReporter(nil)
	tags := r.Tags("brix-update", "okanagan-ridge")
	r.Count(tags, Requests)
	r.flush()
	if got := out.lines(); !slices.Equal(got, []string{"hookwalk.requests:1|c|#class:brix-update,tenant:okanagan-ridge"}) {
		t.Errorf("got %q", got)
	}
	for range 3 {
		r.Count(tags, Requests)
		r.Count(tags, FaultInjected)
	}
	r.Add(tags, OpenConnections, 2)
	r.Latency(tags, 12345*time.Microsecond)
	r.flush()
	const suffix = "|#class:brix-update,tenant:okanagan-ridge"
	want := []string{"hookwalk.requests:3|c" + suffix, "hookwalk.drill.applied:3|c" + suffix,
		"hookwalk.open_connections:2|g" + suffix, "hookwalk.latency:12.345|ms" + suffix}
	if got := out.lines(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	r.Add(tags, OpenConnections, -2)
	r.flush()
	r.flush() // does not export the gauge again
	if got := out.lines(); !slices.Equal(got, []string{"hookwalk.open_connections:0|g" + suffix}) {
		t.Errorf("got %q", got)
	}
}

// InfluxDB merges points with the same timestamp, so two latencies recorded at the same time must get different
// timestamps.
func TestInfluxLines(t *testing.T) {
	r, out := newReporter(func(s *settings.Metrics) { s.Format = "influx" })
	tags := r.Tags("brix-update", "okanagan-ridge")
	r.Count(tags, Requests)
	r.Add(tags, OpenConnections, 2)
	r.Latency(tags, 1500*time.Microsecond)
	r.Latency(tags, 1500*time.Microsecond)
	r.flush()
	got := out.lines()
	const tagged = `,class=brix-update,tenant=okanagan-ridge value=`
	for i, want := range []string{`requests` + tagged + `1i`, `open_connections` + tagged + `2i`, `latency` + tagged + `1\.5`, `latency` + tagged + `1\.5`} {
		if len(got) != 4 || !regexp.MustCompile(`^hookwalk\.`+want+` [0-9]{19}$`).MatchString(got[i]) {
			t.Fatalf("got %q, want %s", got, want)
		}
	}
	if got[2] == got[3] {
		t.Errorf("two points have the same timestamp: %q", got[2])
	}
}

// A tag that a client sends contains separators or line ends. It must neither end the line nor inject other tags or values.
func TestTagsAreEscaped(t *testing.T) {
	for tag, want := range map[string][2]string{
		"a b":       {"a b", `a\ b`},
		"a,b=c|d":   {"a%2Cb=c%7Cd", `a\,b\=c|d`},
		"a:b#c@d":   {"a%3Ab%23c%40d", "a:b#c@d"},
		"a\nb\r":    {"a%0Ab%0D", "a%0Ab%0D"},
		`a\`:        {"a%5C", "a%5C"},
		"100%":      {"100%25", "100%25"},
		"\xff\x7f":  {"%FF%7F", "%FF%7F"},
		"Côte 村":    {"Côte 村", `Côte\ 村`},
		"\u0085end": {"%C2%85end", "%C2%85end"},
	} {
		if got, want := (statsd{}).tags("c", tag), "|#class:c,tenant:"+want[0]; got != want {
			t.Errorf("statsd: tag %q was encoded as %q, want %q", tag, got, want)
		}
		if got, want := (influx{}).tags("c", tag), ",class=c,tenant="+want[1]; got != want {
			t.Errorf("influx: tag %q was encoded as %q, want %q", tag, got, want)
		}
	}
}
