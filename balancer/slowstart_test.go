package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Servers that fail at less than twice their capacity have no reserve for bursts. While such a server is warming up, it
// is drawn less often.
func TestLowOverloadMultipleReducesTheSlowStartShare(t *testing.T) {
	drawn := map[float64]int{}
	for _, multiple := range []float64{0, 1, 2, 3} {
		b := newBalancer(t, func(s *Settings) { s.SlowStartMinShare, s.OverloadMultiple = 0.5, multiple })
		b.now = 2 * time.Second
		starting := &server{Server: Server{StartTime: 2 * time.Second}}
		for range 2000 {
			if b.slowStartAdmits(starting, 0) {
				drawn[multiple]++
			}
		}
	}
	if n := drawn[1]; n < 400 || n > 600 {
		t.Errorf("drawn %d times in 2000 with an overload multiple of 1, want about a quarter", n)
	}
	if drawn[0] != drawn[2] || drawn[2] != drawn[3] || drawn[3] < 900 {
		t.Errorf("drawn %v times in 2000, by overload multiple: want about half with 0, 2 and 3", drawn)
	}
}

// overloadSpan is the period over which a server's load is summed.
const overloadSpan = 2 * time.Second

// slowStartViolation describes the first overloadSpan in which a server that started at startedAt was sent more than
// OverloadMultiple times the requests that it could serve. It returns "" if there is none. The capacity is the number
// of requests per second that a warm server can serve.
func slowStartViolation(set Settings, startedAt time.Duration, capacity float64, sent []time.Duration) string {
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < from+overloadSpan {
				n++
			}
		}
		progress := min(1, float64(from-startedAt+overloadSpan/2)/float64(set.SlowStartDuration)) // in the middle of the span
		limit := set.OverloadMultiple * capacity * (set.SlowStartMinShare + (1-set.SlowStartMinShare)*progress) * overloadSpan.Seconds()
		if float64(n) > limit {
			return fmt.Sprintf("sent %d requests in the %v from %v, limit %.0f", n, overloadSpan, from, limit)
		}
	}
	return ""
}

// The check that the slow start tests use must report a server that is sent one request too many.
func TestSlowStartViolationIsDetected(t *testing.T) {
	set := testSettings() // limit: 3 times 50 requests per second times 0.28, on average, for two seconds: 84
	var burst []time.Duration
	for i := range 85 {
		burst = append(burst, time.Second+time.Duration(i)*millisecond)
	}
	if got := slowStartViolation(set, time.Second, 50, burst); !strings.HasPrefix(got, "sent 85 requests in the 2s from 1s,") {
		t.Errorf("a burst of 85 exceeds the limit, got %q", got)
	}
	if got := slowStartViolation(set, time.Second, 50, burst[:84]); got != "" {
		t.Errorf("a burst of 84 is within the limit, got %q", got)
	}
}

// Many replicas send to servers of which one has just started, and no replica knows of the others. Together they could
// overload the new server at once. What all of them send it in any overloadSpan must stay within the limit: at a steady
// three quarters of capacity and in a burst of twice that right after its start, both with few replicas that have many
// attempts in flight and with many replicas that have hardly any.
func TestSlowStartKeepsServersBelowOverload(t *testing.T) {
	for _, tc := range []struct {
		replicas, servers int
		burst             float64 // factor on the request rate for the first two seconds
		keyed             bool
	}{{12, 6, 1, false}, {3, 12, 2, false}, {12, 6, 2, false}, {120, 40, 2, false}, {40, 6, 2, true}} {
		const capacity, start = 50.0, time.Second // requests per second that a warm server can serve
		settings := testSettings()
		settings.Tier, settings.Replicas = 1, tc.replicas
		class := "get"
		if tc.keyed {
			class = "post"
		}
		f := newStartingFleet(t, settings, tc.servers, start)
		for i := 0; f.now < start+12*time.Second; i++ {
			rate := 0.75 * float64(tc.servers) * capacity
			if f.now < start+2*time.Second {
				rate *= tc.burst
			}
			f.advance(time.Duration(float64(time.Second) / rate))
			f.send(fmt.Sprint(i), class)
		}
		if len(f.sentToStarting) < 20 {
			t.Errorf("%+v: the server in slow start got only %d requests", tc, len(f.sentToStarting))
		}
		if violation := slowStartViolation(settings, start, capacity, f.sentToStarting); violation != "" {
			t.Errorf("%+v: %s", tc, violation)
		}
	}
}

// startingFleet holds replicas that send to the same servers, of which one has just started.
type startingFleet struct {
	balancers      []*Balancer
	rng            *rand.Rand
	now            time.Duration
	starting       string // ID of the server that has just started
	pending        []fleetAttempt
	sentToStarting []time.Duration
}

// fleetAttempt is an attempt in flight of one of the replicas.
type fleetAttempt struct {
	balancer *Balancer
	at       time.Duration
	event    AttemptEnded
}

func newStartingFleet(t *testing.T, settings Settings, serverCount int, start time.Duration) *startingFleet {
	t.Helper()
	list := servers(serverCount)
	list[2].StartTime = start
	f := &startingFleet{rng: rand.New(rand.NewPCG(3, 3)), now: start, starting: list[2].ID}
	for i := range settings.Replicas {
		settings.ReplicaIndex = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(0, EndpointUpdate{Complete: true, Servers: list})
		f.balancers = append(f.balancers, b)
	}
	return f
}

// advance moves the clock forward and ends the attempts that are due by then.
func (f *startingFleet) advance(step time.Duration) {
	f.now += step
	for len(f.pending) > 0 && f.pending[0].at <= f.now {
		p := f.pending[0]
		p.balancer.Handle(p.at, p.event)
		f.pending = f.pending[1:]
	}
}

// send gives a request to a random replica. Each attempt takes 100 ms.
func (f *startingFleet) send(id, class string) {
	b := f.balancers[f.rng.IntN(len(f.balancers))]
	for _, s := range sends(b.Handle(f.now, newRequest(id, class, f.now, time.Second))) {
		if s.Server == f.starting {
			f.sentToStarting = append(f.sentToStarting, f.now)
		}
		f.pending = append(f.pending, fleetAttempt{b, f.now + 100*millisecond,
			AttemptEnded{ID: id, Server: s.Server, Outcome: Success, RequestDone: true}})
	}
}
