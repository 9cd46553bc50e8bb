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

// A line longer than the maximum batch size is dropped and counted, and the other lines are exported.
func TestLineLongerThanBatchIsDropped(t *testing.T) {
	r, out := newReporter(func(s *settings.Metrics) { s.MaxBatch = 62 })
	r.Count(r.Tags("bin-weighin", "okanagan-ridge"), Requests) // 63 bytes including its line end
	r.Count(r.Tags("bin-weighin", ""), Requests)
	r.flush()
	r.flush()
	want := []string{"hookwalk.requests:1|c|#class:bin-weighin,tenant:none", "hookwalk.figures.dropped:1|c|#class:none,tenant:none"}
	if got := out.lines(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A destination fails for two flushes. The lost batches are counted, and the count is exported once, when the destination
// works again.
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
		t.Errorf("the dropped batches were reported again: %q", got)
	}
}

// More requests end within one flush interval than the timer buffer can hold. Memory stays bounded, an early flush is
// requested, and the timers that did not fit are counted.
func TestTimersBeyondBufferAreCounted(t *testing.T) {
	r, out := newReporter(func(s *settings.Metrics) { s.MaxBatch = 65507 })
	for range maxTimers + 10 {
		r.Latency(0, time.Millisecond)
	}
	select {
	case <-r.flushEarly:
	default:
		t.Error("no early flush was requested for a buffer that is half full")
	}
	r.flush()
	got := out.lines()
	if len(got) != maxTimers+1 || got[0] != "hookwalk.figures.dropped:10|c|#class:none,tenant:none" {
		t.Errorf("%d lines, the first %q", len(got), got[0])
	}
	if size := 2*maxTimers*16 + cap(r.batch) + cap(r.line); size >= 256<<10 {
		t.Errorf("%d bytes are allocated", size)
	}
}

// Standard error is a pipe that is not read. Neither recording nor the node's shutdown waits for it.
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
	for range 100_000 { // far more than the pipe can hold
		r.Latency(r.Tags("bin-weighin", "t"), time.Millisecond)
	}
	close(stop)
	r.Wait()
	go func() {
		<-r.done
		stuck.Close()
	}()
	if got, err := io.ReadAll(in); err != nil || !strings.Contains(string(got), "hookwalk.figures.dropped:") {
		t.Errorf("the %d bytes of output do not report the dropped batches, error %v", len(got), err)
	}
}

// Run exports after each interval, and a last time when it is stopped.
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
			t.Errorf("after stop: got %q, want one line", got)
		}
	})
}
