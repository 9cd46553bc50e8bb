package capture

import (
	"bufio"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/settings"
)

// A record has the fields that docs/features.md names, including those that are not passed to the balancer.
func TestRecordFields(t *testing.T) {
	c := newWorkload(t, settings.Capture{}, 1)
	c.stderr.Reset()
	c.feed(balancer.EndpointUpdate{Complete: true, Servers: []balancer.Server{{ID: "s-0"}}})
	c.feed(balancer.Request{ID: "9b1f03aa5c7e2d41", Class: "bin-weighin", Deadline: c.now + time.Second, Client: netip.MustParseAddr("10.9.0.1")})
	var text string
	rewriteRecords(t, c.stderr.String(), func(s string) string { text += s + "\n"; return s })
	for _, want := range []string{`"id":"9b1f03aa5c7e2d41","class":"bin-weighin","tenant":"okanagan-ridge","budget":600000000`,
		`"host":"s-0","addr":"127.0.0.1:5"`, `"do":"deny"`, `"answer":403`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in %s", want, text)
		}
	}
}

// BenchmarkEvent measures the cost of recording one event.
func BenchmarkEvent(b *testing.B) {
	bal, err := balancer.New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	w := New(settings.Capture{}, "n0", bal, testSettings(), 1, bufio.NewWriterSize(io.Discard, 1), discardLog())
	e := balancer.Request{ID: "9b1f03aa5c7e2d41", Class: "bin-weighin", Deadline: time.Second}
	actions := []balancer.Action{balancer.Send{ID: e.ID, Server: "s-5be2a07c", Timeout: time.Second}}
	b.ReportAllocs()
	for b.Loop() {
		w.Event(time.Second, e, actions, EventContext{Tenant: "okanagan-ridge", Budget: time.Second})
	}
}
