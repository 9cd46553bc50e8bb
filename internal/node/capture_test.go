package node

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/asyncwriter"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/discovery"
	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/settings"
)

// A capture must explain each decision without exposing secrets. The capture of a node on real sockets replays without a
// difference. It covers failing servers, a changing endpoint list, a fault injection, denied clients and the shutdown, and
// contains no body, key or secret.
func TestCaptureReplays(t *testing.T) {
	faulty := func(n int, c net.Conn, r *http.Request) bool {
		switch {
		case n%5 == 1:
			return respond(c, "503 Service Unavailable", "", "X-Rejected: 1")
		case n%7 == 2:
			return respond(c, "500 Internal Server Error", "")
		case n%11 == 3:
			return false
		}
		return respond(c, "200 OK", "done")
	}
	features := accessListFeatures(func(a *settings.AccessList) { a.Deny = parsePrefixes("127.0.0.3/32") })
	features.FaultInjections = faultInjectionFeatures(func(d *settings.FaultInjection) { d.Percent, d.Delay = 30, 5*time.Millisecond }).FaultInjections
	features.Capture = &settings.Capture{FileBytes: 512 << 10}
	cfg, out := configWithBackends(t, newBackend(t, faulty), newBackend(t, faulty), newBackend(t, faulty)), &logBuffer{}
	cfg.Features = features
	n := startNode(t, cfg, withLog(out), func(n *Node) { n.stderr = out })
	postFaultInjection(t, n.url, secret)
	hosts := cfg.BootstrapList.Endpoints
	var wg sync.WaitGroup
	for caller := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 25 {
				class := []string{"keyed", "unsafe"}[i%2]
				r := newRequest(t, n.url, class, fmt.Sprintf("%d-%d", caller, i), "the body")
				r.Header.Set("X-Caller", "okanagan-ridge")
				if resp, err := http.DefaultClient.Do(r); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if caller == 0 && i%5 == 0 { // the endpoint list changes meanwhile
					hosts[0].StartedAtMillis++
					n.engine.ApplyUpdate(t.Context(), discovery.ToUpdate(discoveryapi.List{Endpoints: hosts[:1]}))
				}
			}
		}()
	}
	wg.Wait()
	if got := exchangeStatuses(t, dialFrom(t, n, "127.0.0.3"), requestText("stranger")); got[0] != 403 {
		t.Errorf("a denied client got statuses %v", got)
	}
	n.stop()
	if err := <-n.ended; err != nil {
		t.Errorf("the node ended with %v", err)
	}
	var output strings.Builder
	result, err := capture.Replay("node.log", strings.NewReader(out.String()), &output, func(format string, args ...any) {
		t.Errorf("the replay warned: "+format, args...)
	})
	if err != nil || output.Len() > 0 || result.Compared < 400 || result.Differences+result.Skipped != 0 {
		t.Errorf("replay: %+v, %v, output %.500s", result, err, &output)
	}
	text := captureRecords(t, out.String())
	for _, forbidden := range []string{"the body", "k-0-0", secret, faultinjection.Header} {
		if strings.Contains(text, forbidden) || strings.Contains(out.String(), forbidden) {
			t.Errorf("the capture or the log contains %q", forbidden)
		}
	}
	for _, want := range []string{`"tenant":"okanagan-ridge","budget":30000000000`, `"addr":"` + hosts[0].Addr + `"`, `"kind":"drill"`,
		`"do":"deny"`, `"answer":200`, `"kind":"leaving"`} {
		if !strings.Contains(text, want) {
			t.Errorf("the capture does not contain %s", want)
		}
	}
}

// captureRecords returns the text of all capture records in a log.
func captureRecords(t *testing.T, log string) string {
	t.Helper()
	var all strings.Builder
	for line := range strings.Lines(log) {
		text, ok := strings.CutPrefix(line, "capture:")
		if !ok {
			continue
		}
		raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
		if err != nil {
			t.Fatal(err)
		}
		all.Write(raw)
	}
	return all.String()
}

// Nobody reads standard error, and its pipe is full. A blocked write must not stop the node: requests are still served.
func TestServesWhenCaptureWriterBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	defer r.Close() // ends the blocked write
	if _, err := w.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	cfg := configWithBackends(t, newBackend(t, respondOK))
	cfg.Features.Capture = &settings.Capture{}
	full := asyncwriter.New(w)
	n := startNode(t, cfg, withLog(full), func(n *Node) { n.stderr = full })
	for i := range 20 {
		if status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", fmt.Sprint(i), "x")); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
	}
}
