package metrics

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// Log lines are written to standard error together with the metrics; they must never interrupt a line of metrics.
func TestEveryLineIsOneWrite(t *testing.T) {
	r, out := newReporter(nil)
	for i := range 100 {
		r.Latency(r.Tags("bin-weighin", ""), time.Duration(i))
		r.Count(r.Tags("bin-weighin", fmt.Sprint(i)), Requests)
	}
	r.flush()
	for _, w := range out.all {
		if strings.Count(w, "\n") != 1 || !strings.HasSuffix(w, "\n") {
			t.Errorf("wrote %q, want one whole line per Write", w)
		}
	}
}

// No line is split between two datagrams, because either of them can be lost.
func TestDatagramsHoldWholeLines(t *testing.T) {
	addr, got := datagrams(t)
	r, _ := newReporter(func(s *settings.Metrics) { s.UDP, s.MaxBatch = addr, 200 })
	for i := range 100 {
		r.Latency(r.Tags("bin-weighin", "okanagan-ridge"), time.Duration(i)*time.Millisecond)
	}
	r.flush()
	line := regexp.MustCompile(`^hookwalk\.latency:[0-9]+\|ms\|#class:bin-weighin,tenant:okanagan-ridge$`)
	for lines := 0; lines < 100; {
		select {
		case d := <-got:
			if len(d) > 200 {
				t.Errorf("a datagram has %d bytes, want at most 200", len(d))
			}
			for l := range strings.SplitSeq(d, "\n") {
				if lines++; !line.MatchString(l) {
					t.Fatalf("unexpected line %q", l)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d lines arrived, want 100", lines)
		}
	}
}

// The UDP address has no listener. Lost batches are counted as soon as the operating system reports the error.
func TestFailedSendsAreCounted(t *testing.T) {
	closed, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	r, _ := newReporter(func(s *settings.Metrics) { s.UDP = closed.LocalAddr().String() })
	for range 1000 { // the error of one send is reported by a later one
		r.Count(0, Requests)
		if r.flush(); r.dropped > 0 {
			return
		}
	}
	t.Error("no failed send was counted")
}

// The folder of the file is missing at first, and the file is rotated later. Neither requires a restart.
func TestFileIsOpenedForEachFlush(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	path := filepath.Join(dir, "figures")
	r, _ := newReporter(func(s *settings.Metrics) { s.File = path })
	r.Count(0, Requests)
	r.flush()
	if r.dropped != 1 {
		t.Errorf("missing folder: %d batches dropped, want 1", r.dropped)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	r.Count(0, Requests)
	r.flush()
	if err := os.Rename(path, path+".1"); err != nil {
		t.Fatal(err)
	}
	r.Count(0, Served)
	r.flush()
	for name, want := range map[string]string{
		path + ".1": "hookwalk.figures.dropped:1|c|#class:none,tenant:none\nhookwalk.requests:1|c|#class:none,tenant:none\n",
		path:        "hookwalk.served:1|c|#class:none,tenant:none\n",
	} {
		if got, err := os.ReadFile(name); err != nil || string(got) != want {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}

// A batch that can't be written to a full disk is counted as dropped.
func TestFullDiskIsCounted(t *testing.T) {
	r, _ := newReporter(func(s *settings.Metrics) { s.File = "/dev/full" })
	r.Count(0, Requests)
	r.flush()
	if r.dropped != 1 {
		t.Errorf("%d batches dropped, want 1", r.dropped)
	}
}

// The disk becomes full in the middle of a line, and the partial line can't be removed. The next batch starts on a new line.
func TestPartialLineIsEnded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	e := &fileExporter{path: path}
	if err := e.export([]byte("a\nb\n")); err != nil {
		t.Fatal(err)
	}
	if !e.removeLast(2) { // simulates a write of only part of the second line
		t.Error("removeLast failed")
	}
	e.partialWrite = true
	if err := e.export([]byte("c\n")); err != nil {
		t.Fatal(err)
	}
	e.close()
	if got, err := os.ReadFile(path); err != nil || string(got) != "a\n\nc\n" {
		t.Errorf("%q, %v", got, err)
	}
}
