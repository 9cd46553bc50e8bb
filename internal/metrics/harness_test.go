package metrics

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// recordedWrites is an io.Writer that keeps the data of each Write. Write fails while err is set.
type recordedWrites struct {
	mu  sync.Mutex
	all []string
	err error
}

func (w *recordedWrites) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	w.all = append(w.all, string(b))
	return len(b), nil
}

// lines returns the lines written since its last call.
func (w *recordedWrites) lines() (lines []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range strings.Lines(strings.Join(w.all, "")) {
		lines = append(lines, strings.TrimSuffix(line, "\n"))
	}
	w.all = nil
	return lines
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newReporter returns a Reporter that flushes only when the test calls flush, and its destination.
func newReporter(change func(*settings.Metrics)) (*Reporter, *recordedWrites) {
	set := settings.Metrics{Format: "statsd", Flush: time.Hour, MaxBatch: 1400}
	if change != nil {
		change(&set)
	}
	out := &recordedWrites{}
	return New(set, []string{"brix-update", "bin-weighin"}, []string{"okanagan-ridge"}, out, discardLog()), out
}

// datagrams listens on a UDP address and sends the received datagrams to a channel.
func datagrams(t *testing.T) (addr string, got <-chan string) {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ch := make(chan string, 1000)
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			ch <- string(buf[:n])
		}
	}()
	return c.LocalAddr().String(), ch
}
