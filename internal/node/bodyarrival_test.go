package node

import (
	"testing"
	"time"
)

// mB is a million bytes.
const mB = int64(1_000_000)

// The client's time runs from when it has written the last byte, which may have arrived unread, or wait in the client's kernel. The
// estimate must not be later than that, and for a client that still writes it must not be much earlier.
func TestBodyArrival(t *testing.T) {
	const ms = time.Millisecond
	type observed struct {
		at         time.Duration
		arrived    int64
		missing    int64 // -1: unknown
		open       bool
		endMissing bool
	}
	for name, c := range map[string]struct {
		observations []observed
		missing      time.Duration // the estimate, from the start
	}{
		"all there at once":               {[]observed{{0, mB, 0, true, false}, {time.Second, mB, 0, true, false}}, 0},
		"client writes, with a length":    {[]observed{{0, 100, mB, true, false}, {10 * ms, 200, mB, true, false}, {900 * ms, 300 * kB, mB, true, false}}, 900 * ms},
		"then it arrives":                 {[]observed{{0, 100, mB, true, false}, {500 * ms, 200, mB, true, false}, {600 * ms, mB, 0, true, false}, {3 * time.Second, mB, 0, true, false}}, 500 * ms},
		"the window is closed":            {[]observed{{0, 100 * kB, mB, false, false}, {time.Second, 100 * kB, mB, false, false}}, 0},
		"more is missing than a kernel":   {[]observed{{0, 100 * kB, 20 * mB, false, false}, {time.Second, 200 * kB, 20 * mB, false, false}}, time.Second},
		"what was held back comes":        {[]observed{{0, 100 * kB, -1, false, false}, {time.Second, 100 * kB, -1, true, false}, {1010 * ms, mB, -1, true, false}}, 0},
		"chunked, it arrives unread":      {[]observed{{0, 100, -1, true, false}, {10 * ms, 100, -1, true, false}, {100 * ms, 300 * kB, -1, true, false}, {2 * time.Second, 300 * kB, -1, true, false}}, 10 * ms},
		"chunked, the end is not there":   {[]observed{{0, 100, -1, true, false}, {10 * ms, 100, -1, true, false}, {2 * time.Second, 100, -1, true, true}}, 2 * time.Second},
		"chunked, drained, window closed": {[]observed{{0, 100, -1, false, false}, {10 * ms, 100 * kB, -1, false, true}}, 0},
		"chunked, flowing from a kernel":  {[]observed{{0, 100, -1, true, false}, {6 * ms, mB, -1, true, true}, {12 * ms, 2 * mB, -1, true, true}}, 0},
		"chunked, client writes":          {[]observed{{0, 100, -1, true, false}, {100 * ms, 30 * kB, -1, true, false}, {900 * ms, 300 * kB, -1, true, false}, {950 * ms, 310 * kB, -1, true, false}}, 900 * ms},
		"chunked, more than a kernel":     {[]observed{{0, mB, -1, false, false}, {time.Second, 3 * mB, -1, false, false}, {5 * time.Second, 8 * mB, -1, false, false}, {6 * time.Second, 9 * mB, -1, false, false}}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			arrival := newBodyArrival(start)
			for _, o := range c.observations {
				arrival.observe(bodyObservation{at: start.Add(o.at), arrived: o.arrived, missing: o.missing, windowOpen: o.open, endMissing: o.endMissing})
			}
			if got := arrival.missingAt.Sub(start); got != c.missing {
				t.Errorf("the last byte counts as missing until %v, want %v", got, c.missing)
			}
		})
	}
}

// A read that has waited for the client shows that nothing was held back, unless as much comes at once as only a kernel has.
func TestBodyArrivalAfterAWait(t *testing.T) {
	start := time.Now()
	arrival := newBodyArrival(start)
	now := start.Add(1900 * time.Millisecond)
	if arrival.waited(inputWait{now, 10 * time.Millisecond, mB}); !arrival.missingAt.Equal(start) {
		t.Errorf("after 1 MB in 10 ms: %v", arrival.missingAt.Sub(start))
	}
	if arrival.waited(inputWait{now, time.Millisecond, 10}); !arrival.missingAt.Equal(start) {
		t.Errorf("after a wait of 1 ms: %v", arrival.missingAt.Sub(start))
	}
	if arrival.waited(inputWait{now, 1900 * time.Millisecond, 400 * kB}); !arrival.missingAt.Equal(now) {
		t.Errorf("after a wait of 1.9 s: %v", arrival.missingAt.Sub(start))
	}
}
