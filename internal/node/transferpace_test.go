package node

import (
	"testing"
	"time"
)

// transferStep is what a peer does: it is waited for, and then transfers bytes at once. It is repeated count times.
type transferStep struct {
	count int
	wait  time.Duration
	bytes int64
}

const kB = int64(1000)

// A peer is sound if it keeps its pace on average, in pieces of any size; one that has stopped or drips is not, whatever came before.
func TestTransferPace(t *testing.T) {
	const ms = time.Millisecond
	drip := transferStep{count: 1 << 12, wait: 100 * ms, bytes: 1}
	for name, c := range map[string]struct {
		steps   []transferStep
		unsound time.Duration // of waiting for the peer by which a sending server counts as stopped; 0: it is sound
	}{
		"steady, 64 kB/s":              {steps: []transferStep{{1000, 50 * ms, 3200}}},
		"pieces of 0.86 s, 64 kB/s":    {steps: []transferStep{{40, 860 * ms, 55 * kB}}},
		"pieces of 1.9 s, 64 kB/s":     {steps: []transferStep{{40, 1900 * ms, 122 * kB}}},
		"pieces of 2.5 s, 64 kB/s":     {steps: []transferStep{{40, 2500 * ms, 160 * kB}}},
		"uneven pieces":                {steps: []transferStep{{1, 500 * ms, 32 * kB}, {1, 1900 * ms, 20 * kB}, {1, 900 * ms, 190 * kB}, {1, 2200 * ms, 10 * kB}}},
		"hangs":                        {steps: []transferStep{{20, 50 * ms, 3200}, {1, 5 * time.Second, 0}}, unsound: 4 * time.Second},
		"hangs after much":             {steps: []transferStep{{1, 0, 50000 * kB}, {1, 5 * time.Second, 0}}, unsound: 3 * time.Second},
		"hangs from the beginning":     {steps: []transferStep{{1, 5 * time.Second, 0}}, unsound: 3 * time.Second},
		"drips":                        {steps: []transferStep{drip}, unsound: 3 * time.Second},
		"drips after much":             {steps: []transferStep{{1, 0, 50000 * kB}, drip}, unsound: 3 * time.Second},
		"half of the minimum rate":     {steps: []transferStep{{1, 0, 500 * kB}, {1000, 50 * ms, 819}}, unsound: 6 * time.Second},
		"nine tenths, without an end":  {steps: []transferStep{{4000, 50 * ms, 1474}}, unsound: 30 * time.Second},
		"pieces of 1 s, below minimum": {steps: []transferStep{{100, time.Second, 16 * kB}}, unsound: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			progress, waited := sendingServerPace.begin(sendingServerPace.maxPause), time.Duration(0)
			for _, step := range c.steps {
				for range step.count {
					if waited += step.wait; !progress.record(step.bytes, step.wait) {
						if c.unsound == 0 || waited > c.unsound+step.wait {
							t.Errorf("counts as stopped after %v, want %v", waited, c.unsound)
						}
						return
					}
				}
			}
			if c.unsound > 0 {
				t.Errorf("counts as sound after %v, want %v at most", waited, c.unsound)
			}
		})
	}
}

// The paces of all directions let sound peers transfer in pieces that are 2 s apart.
func TestPacesOfAllDirections(t *testing.T) {
	const interval, rate = 2 * time.Second, 64 * kB
	for name, pace := range map[string]transferPace{"client sends": sendingClientPace, "server sends": sendingServerPace, "peer receives": receivingPeerPace} {
		progress := pace.begin(pace.maxPause)
		for range 100 {
			if !progress.record(rate*int64(interval/time.Second), interval) {
				t.Fatalf("%s: a sound peer counts as stopped", name)
			}
		}
	}
}

// responseArrival is a part of a response that arrives at a time after the request.
type responseArrival struct {
	at    time.Duration
	bytes int
}

// Until its time, a response may pause. After it, one that is not known to be over 64 KiB ends soon, unless it has kept the minimum
// rate, and one that is continues until its server has stopped for 3 s.
func TestResponseLimit(t *testing.T) {
	const ms, budget = time.Millisecond, 2500 * time.Millisecond
	for name, c := range map[string]struct {
		length   int64
		arrivals []responseArrival
		end      time.Duration // after the request
	}{
		"no byte, short":             {60 * kB, nil, 2750 * ms},
		"part of a short one":        {60 * kB, []responseArrival{{100 * ms, 50e3}}, 2750 * ms},
		"long, stopped early":        {190 * kB, []responseArrival{{100 * ms, 50e3}}, 3000 * ms},
		"long, stopped late":         {190 * kB, []responseArrival{{100 * ms, 50e3}, {2400 * ms, 50e3}}, 4526 * ms},
		"long, in pieces":            {190 * kB, []responseArrival{{490 * ms, 50e3}, {2020 * ms, 107e3}}, 4920 * ms},
		"unknown, dripping":          {-1, []responseArrival{{100 * ms, 50e3}, {2400 * ms, 1}}, 2750 * ms},
		"unknown, a late piece":      {-1, []responseArrival{{2000 * ms, 40e3}}, 3471 * ms},
		"unknown, a late long piece": {-1, []responseArrival{{2400 * ms, 60e3}}, 3750 * ms},
		"unknown, over 64 KiB":       {-1, []responseArrival{{2400 * ms, 70e3}}, 5300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			sent := time.Now()
			limit := newResponseLimit(c.length, sent.Add(50*ms))
			limit.start(sent.Add(budget), sent.Add(50*ms))
			now := sent.Add(50 * ms)
			for _, arrival := range c.arrivals {
				if until := limit.beginWait(now); until.Before(sent.Add(arrival.at)) {
					t.Fatalf("ends after %v, before the piece of %v", until.Sub(sent), arrival.at)
				}
				now = sent.Add(arrival.at)
				limit.record(arrival.bytes, now)
			}
			if end := limit.beginWait(now).Sub(sent); end > c.end || end < c.end-100*ms {
				t.Errorf("ends %v after the request, want %v", end, c.end)
			}
		})
	}
}

// The time in which the node waits for a client does not count against the server.
func TestResponseLimitWhileTheClientIsSlow(t *testing.T) {
	sent := time.Now()
	limit := newResponseLimit(1000*kB, sent)
	limit.start(sent.Add(time.Second), sent)
	limit.beginWait(sent)
	limit.record(100e3, sent)
	const forClient = 20 * time.Second
	if got := limit.beginWait(sent.Add(forClient)).Sub(sent); got < forClient+2*time.Second || got > forClient+3*time.Second {
		t.Errorf("after 20 s for the client, the response ends after %v", got)
	}
}
