package capture

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/settings"
)

const msec = time.Millisecond

// testSettings returns settings of a balancer with a class for each effect, a fault injection and an access list.
func testSettings() balancer.Settings {
	return balancer.Settings{
		Classes: []balancer.Class{
			{Name: "block-view", Effect: balancer.Idempotent, DedupScope: balancer.ScopeAll, LatencyObjective: 250 * msec, Deadline: 600 * msec, PriorityWeight: 5},
			{Name: "bin-weighin", Effect: balancer.NonIdempotent, LatencyObjective: 250 * msec, Deadline: 600 * msec, PriorityWeight: 8},
			{Name: "in-order", Effect: balancer.IdempotentWithKey, DedupWindow: 400 * msec, OrderedByKey: true, LatencyObjective: 250 * msec, Deadline: 600 * msec, PriorityWeight: 1},
		},
		Replicas: 2, MaxAttempts: 3, TimerTolerance: 2 * msec, TotalValueWeight: 0.6, WorstClassWeight: 0.1, MaxRetryAfter: time.Second,
		PollDiscovery: true, MaxPollInterval: time.Second, KeyQuietPeriod: 20 * msec, SlowStartMinShare: 0.3, SlowStartDuration: time.Second, OverloadMultiple: 3,
		FaultInjections: []balancer.FaultInjection{{Name: "stall", Class: "bin-weighin", Percent: 30, Delay: 50 * msec, Duration: time.Second}},
		AccessList:      &balancer.AccessList{Deny: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}},
	}
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// workload runs a balancer under heavy random traffic and keeps what its Writer writes.
type workload struct {
	*Writer
	bal      *balancer.Balancer
	rng      *rand.Rand
	now      time.Duration
	stderr   bytes.Buffer
	outcomes []balancer.AttemptEnded // of all attempts, drawn in advance
	due      []time.Duration         // when each outcome is due; 0: the balancer has received it
	timers   []balancer.SetTimer
	counts   map[string]int // of events and actions, by type
	requests int
}

// newWorkload returns a workload whose balancer has received its first endpoint list.
func newWorkload(t testing.TB, set settings.Capture, seed uint64) *workload {
	t.Helper()
	bal, err := balancer.New(testSettings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &workload{bal: bal, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Duration(time.Now().UnixNano()), counts: map[string]int{}}
	c.Writer = New(set, "n0", bal, testSettings(), seed, &c.stderr, discardLog())
	c.feed(balancer.EndpointUpdate{Complete: true, Cached: true, Servers: c.servers()})
	return c
}

// servers returns an endpoint list in which some servers are draining and some are warming up.
func (c *workload) servers() (list []balancer.Server) {
	for i := range 6 {
		s := balancer.Server{ID: fmt.Sprint("s-", i), Zone: "z", State: balancer.ServerState(c.rng.IntN(12) / 10)}
		if c.rng.IntN(4) == 0 {
			s.StartTime = c.now
		}
		list = append(list, s)
	}
	return list
}

// feed passes an event to the balancer, records it, and schedules the timers and outcomes that result from the actions.
func (c *workload) feed(e balancer.Event) {
	actions := c.bal.Handle(c.now, e)
	c.counts[fmt.Sprintf("%T", e)]++
	c.Event(c.now, e, actions, EventContext{Tenant: "okanagan-ridge", Budget: 600 * msec, Addresses: map[string]string{"s-0": "127.0.0.1:5"}})
	for _, a := range actions {
		c.counts[fmt.Sprintf("%T", a)]++
		switch a := a.(type) {
		case balancer.Send:
			c.send(a)
		case balancer.SetTimer:
			c.timers = append(c.timers, a)
		}
	}
}

// send draws a random outcome for an attempt and the time at which it ends.
func (c *workload) send(a balancer.Send) {
	attempt := 0
	for _, o := range c.outcomes {
		if o.ID == a.ID {
			attempt = max(attempt, o.Attempt+1)
		}
	}
	took := time.Duration(c.rng.ExpFloat64() * float64(60*msec))
	o := balancer.AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server,
		Outcome: balancer.Outcome(c.rng.IntN(7) * c.rng.IntN(2)), Latency: took}
	if took > a.Timeout || c.rng.IntN(8) == 0 {
		took, o.Outcome = a.Timeout, balancer.TimedOut
	}
	o.RequestDone = o.Outcome == balancer.Success
	c.outcomes, c.due = append(c.outcomes, o), append(c.due, c.now+took)
}

// run simulates some steps of 2 ms. Each step first feeds what is due.
func (c *workload) run(steps int) *workload {
	for range steps {
		c.now += 2*msec + time.Duration(c.rng.IntN(1000))
		c.feedDue()
		if c.rng.IntN(3) == 0 {
			c.requests++
			client := netip.AddrFrom4([4]byte{10, byte(c.rng.IntN(10)), 0, 1})
			c.feed(balancer.Request{ID: fmt.Sprintf("id-%d\xff", c.requests), Class: []string{"block-view", "bin-weighin", "in-order"}[c.rng.IntN(3)],
				Deadline: c.now + time.Duration(100+c.rng.IntN(500))*msec, Key: c.rng.Uint64N(4) << 62, HasKey: true, Client: client})
		}
		switch c.rng.IntN(120) {
		case 0:
			c.feed(balancer.EndpointUpdate{Complete: c.rng.IntN(2) == 0, Servers: c.servers()})
		case 1:
			c.feed(balancer.WatchFailed{})
		case 2:
			c.feed(balancer.StartFaultInjection{Name: "stall"})
		case 3:
			c.feed(balancer.ClientGone{ID: fmt.Sprintf("id-%d\xff", c.requests)})
		}
	}
	return c
}

// feedDue passes the timers and outcomes that are due to the balancer.
func (c *workload) feedDue() {
	for i := 0; i < len(c.timers); i++ {
		if timer := c.timers[i]; timer.At <= c.now {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			i--
			c.feed(balancer.TimerFired{Token: timer.Token})
		}
	}
	for i := 0; i < len(c.due); i++ {
		if c.due[i] <= c.now && c.due[i] > 0 {
			c.due[i] = 0
			c.feed(c.outcomes[i])
		}
	}
}

// replayText replays a capture and returns its result, the differences and the warnings.
func replayText(t *testing.T, name string, text []byte) (res Result, differences, warnings string, err error) {
	t.Helper()
	var out, warned strings.Builder
	res, err = Replay(name, bytes.NewReader(text), &out, func(format string, args ...any) { fmt.Fprintf(&warned, format+"\n", args...) })
	return res, out.String(), warned.String(), err
}

// rewriteRecords applies a function to the JSON of each record in a log.
func rewriteRecords(t *testing.T, log string, change func(string) string) []byte {
	t.Helper()
	var out bytes.Buffer
	for line := range strings.Lines(log) {
		raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(strings.TrimPrefix(line, linePrefix)))
		if err != nil {
			t.Fatal(err)
		}
		text := change(string(raw[prefixBytes:]))
		frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
		out.WriteString(linePrefix + base64.StdEncoding.EncodeToString(frame) + "\n")
	}
	return out.Bytes()
}
