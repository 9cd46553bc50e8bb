package metrics

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// A line that is longer than a batch may be is dropped and counted, and the others are exported.
func TestLineLongerThanBatchIsDropped(t *testing.T) {
	r, out := newReporter(func(s *settings.Metrics) { s.MaxBatch = 62 })
	r.Count(r.Tags("bin-weighin", "okanagan-ridge"), Requests) // 63 bytes with its end
	r.Count(r.Tags("bin-weighin", ""), Requests)
	r.flush()
	r.flush()
	want := []string{"hookwalk.requests:1|c|#class:bin-weighin,tenant:none", "hookwalk.figures.dropped:1|c|#class:none,tenant:none"}
	if got := out.lines(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A destination fails for two flushes. What was lost is counted, and the count is exported once, when the destination is back.
func TestFailedWritesAreCounted(t *testing.T) {
	r, out := newReporter(nil)
	count := func() {
		r.Count(r.Tags("bin-weighin", "okanagan-ridge"), Requests)
		r.flush()
	}
	out.err = errors.New("broken")
	count()
	count()
	out.err = nil
	r.flush()
	if got := out.lines(); !slices.Equal(got, []string{"hookwalk.figures.dropped:2|c|#class:none,tenant:none"}) {
		t.Errorf("got %q", got)
	}
	r.flush()
	if got := out.lines(); got != nil {
		t.Errorf("reported again: %q", got)
	}
}

// More requests end within one flush interval than the buffer holds times of. Memory stays bounded, a flush is asked for early,
// and what did not fit is counted.
func TestTimersBeyondBufferAreCounted(t *testing.T) {
	r, out := newReporter(func(s *settings.Metrics) { s.MaxBatch = 65507 })
	for range maxTimers + 10 {
		r.Latency(0, time.Millisecond)
	}
	select {
	case <-r.flushEarly:
	default:
		t.Error("a buffer that is half full does not ask for a flush")
	}
	r.flush()
	got := out.lines()
	if len(got) != maxTimers+1 || got[0] != "hookwalk.figures.dropped:10|c|#class:none,tenant:none" {
		t.Errorf("%d lines, the first %q", len(got), got[0])
	}
	if size := 2*maxTimers*16 + cap(r.batch) + cap(r.line); size >= 256<<10 {
		t.Errorf("%d bytes are kept", size)
	}
}

// Standard error is a pipe that nobody reads. Neither those who record nor the node's end wait for it.
func TestStuckDestination(t *testing.T) {
	in, stuck, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	r, _ := newReporter(func(s *settings.Metrics) { s.Flush = time.Millisecond })
	r.exporters = []exporter{lineExporter{stuck}}
	stop := make(chan struct{})
	go r.Run(stop)
	for range 100_000 { // far more than the pipe holds
		r.Latency(r.Tags("bin-weighin", "t"), time.Millisecond)
	}
	close(stop)
	r.Wait()
	go func() {
		<-r.done
		stuck.Close()
	}()
	if got, err := io.ReadAll(in); err != nil || !strings.Contains(string(got), "hookwalk.figures.dropped:") {
		t.Errorf("%d bytes say nothing of what was dropped, %v", len(got), err)
	}
}

// Run exports after each interval, and once more when it is stopped.
func TestRunFlushesByTimeAndAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = time.Millisecond
		r, out := newReporter(func(s *settings.Metrics) { s.Flush = interval })
		stop := make(chan struct{})
		go r.Run(stop)
		r.Count(0, Requests)
		time.Sleep(interval) // of the bubble's clock
		synctest.Wait()
		if len(out.lines()) == 0 {
			t.Fatal("not flushed after the interval")
		}
		close(stop)
		<-r.done

		r, out = newReporter(nil)
		stop = make(chan struct{})
		go r.Run(stop)
		r.Count(0, Served)
		close(stop)
		r.Wait()
		if got := out.lines(); len(got) != 1 {
			t.Errorf("at the end: %q", got)
		}
	})
}
