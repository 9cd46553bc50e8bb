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

// Log lines go to standard error beside the metrics; they must never stand within a line of metrics.
func TestEveryLineIsOneWrite(t *testing.T) {
	r, out := newReporter(nil)
	for i := range 100 {
		r.Latency(r.Tags("bin-weighin", ""), time.Duration(i))
		r.Count(r.Tags("bin-weighin", fmt.Sprint(i)), Requests)
	}
	r.flush()
	for _, w := range out.all {
		if strings.Count(w, "\n") != 1 || !strings.HasSuffix(w, "\n") {
			t.Errorf("a Write of %q", w)
		}
	}
}

// No line is split between two datagrams, either of which may be lost.
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
				t.Errorf("a datagram of %d bytes", len(d))
			}
			for l := range strings.SplitSeq(d, "\n") {
				if lines++; !line.MatchString(l) {
					t.Fatalf("line %q", l)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d lines came", lines)
		}
	}
}

// Nobody listens at the UDP address: what is lost is counted as soon as the system reports it.
func TestFailedSendsAreCounted(t *testing.T) {
	closed, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	r, _ := newReporter(func(s *settings.Metrics) { s.UDP = closed.LocalAddr().String() })
	for range 1000 { // nobody listens: the machine says so by the next send
		r.Count(0, Requests)
		if r.flush(); r.dropped > 0 {
			return
		}
	}
	t.Error("no failed send was counted")
}

// The folder of the file is missing at first, and later the file is rotated. Neither needs a restart.
func TestFileIsOpenedForEachFlush(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	path := filepath.Join(dir, "figures")
	r, _ := newReporter(func(s *settings.Metrics) { s.File = path })
	r.Count(0, Requests)
	r.flush()
	if r.dropped != 1 {
		t.Errorf("without a folder %d were dropped, want 1", r.dropped)
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

func TestFullDiskIsCounted(t *testing.T) {
	r, _ := newReporter(func(s *settings.Metrics) { s.File = "/dev/full" })
	r.Count(0, Requests)
	r.flush()
	if r.dropped != 1 {
		t.Errorf("%d were dropped, want 1", r.dropped)
	}
}

// A disk is full in the middle of a line, and the part can't be removed. The next batch begins on a line of its own.
func TestPartialLineIsEnded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	e := &fileExporter{path: path}
	if err := e.export([]byte("a\nb\n")); err != nil {
		t.Fatal(err)
	}
	if !e.removeLast(2) { // as if only a half of the second line had been written
		t.Error("could not be shortened")
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
