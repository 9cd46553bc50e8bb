package model

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

func kind() *scenario.ServerKind {
	return &scenario.ServerKind{Cores: 2, Speed: 2, Concurrency: 4, QueueLength: 2, ContentionThreshold: 4, ContentionLoss: 1, WarmupStartShare: 0.5, WarmupDuration: 10 * time.Second, CancelsQueued: true}
}

// playToEnd plays a server until nothing runs and returns when each job was done.
func playToEnd(b *Server, now time.Duration, jobs []*Job) map[*Job]time.Duration {
	done := map[*Job]time.Duration{}
	for {
		at, ok := b.NextCompletion(now)
		if !ok {
			return done
		}
		now = at
		for _, j := range b.Completed(now) {
			done[j] = now
			b.Release(now, j)
		}
	}
}

func almostEqual(a, b time.Duration) bool { return (a - b).Abs() <= time.Microsecond }

// Two cores of speed 2: one or two jobs of 100 ms take 50 ms, three take 75, each alike.
func TestCoresAreShared(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 50 * time.Millisecond, 2: 50 * time.Millisecond, 3: 75 * time.Millisecond} {
		b := NewServer("b", 0, 0, kind(), scenario.Rules{})
		var jobs []*Job
		for range n {
			j := &Job{Work: 100 * time.Millisecond}
			if !b.Admit(0, j) {
				t.Fatal("no room")
			}
			jobs = append(jobs, j)
		}
		for _, at := range playToEnd(b, 0, jobs) {
			if !almostEqual(at, want) {
				t.Errorf("%d jobs: done at %v, want %v", n, at, want)
			}
		}
	}
}

// A server that is full rejects, and one that is crowded slows down: both show as an overload that feeds itself.
func TestCapacityAndCrowding(t *testing.T) {
	b := NewServer("b", 0, 0, kind(), scenario.Rules{})
	var jobs []*Job
	for range 7 {
		j := &Job{Work: 100 * time.Millisecond}
		if b.Admit(0, j) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) != 6 || b.InFlight() != 6 {
		t.Fatalf("took %d, want its slots and its queue: 6", len(jobs))
	}
	// Four run on two cores at half speed, and six held where four are no crowd cost a factor of 1.5.
	at, _ := b.NextCompletion(0)
	if want := 150 * time.Millisecond; !almostEqual(at, want) {
		t.Errorf("the first is done at %v, want %v", at, want)
	}
	if !b.CancelQueued(0, jobs[5]) || b.CancelQueued(0, jobs[0]) || b.InFlight() != 5 {
		t.Error("one that waits can be given up, one that runs can't")
	}
	b.State = Draining
	if b.Admit(0, &Job{Work: 1}) {
		t.Error("a draining server accepted a request")
	}
	done, _ := b.NextCompletion(0)
	calling := b.Completed(done) // its stretch is over, and it waits for calls
	lost := b.Stop()
	if len(calling) == 0 || len(lost) != 5 || lost[0] != jobs[0] || b.InFlight() != 0 {
		t.Errorf("%d jobs died, %d of them in calls", len(lost), len(calling))
	}
	// An answer to a call of a job that has died frees no slot of the next incarnation, and runs nothing there.
	b.Start(time.Hour)
	b.Release(time.Hour, calling[0])
	b.Resume(time.Hour, calling[0], time.Second)
	if _, runs := b.NextCompletion(time.Hour); runs || b.slotsTaken != 0 {
		t.Errorf("jobs of the last incarnation live on: %d slots taken, runs %v", b.slotsTaken, runs)
	}
}

// A server that gets more than it can do while it warms up falls over, and takes its requests with it.
func TestWarmingServerFallsOver(t *testing.T) {
	b := NewServer("b", 0, 0, kind(), scenario.Rules{OverloadMultiple: 3, OverloadWindow: time.Second})
	b.Stop()
	b.Start(time.Hour)
	for age, want := range map[time.Duration]float64{0: 2, 5 * time.Second: 3, 10 * time.Second: 4} {
		if got := b.Capacity(time.Hour + age); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v it can do %v a second, want %v", age, got, want)
		}
	}
	j := &Job{Work: 100 * time.Millisecond}
	b.Admit(time.Hour, j)
	if at := playToEnd(b, time.Hour, []*Job{j})[j] - time.Hour; at < 99*time.Millisecond || at > 100*time.Millisecond {
		t.Errorf("cold, 100 ms take %v, want a little under 100 ms", at)
	}
	// 3 times 2 a second, and one largest request for chance: the eighth second of work is too much.
	for n := 1; n <= 8; n++ {
		if overloaded := b.RecordArrival(time.Hour, time.Second); overloaded != (n == 8) {
			t.Errorf("after %d s of work: overloaded %v", n, overloaded)
		}
	}
	if b.RecordArrival(time.Hour+2*time.Second, time.Second) {
		t.Error("what was sent before the window counts")
	}
}

// Whatever comes and goes, no work is lost or made, and nothing is done sooner than the cores allow.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewServer("b", 0, 0, kind(), scenario.Rules{})
		now, given, took := time.Duration(0), time.Duration(0), time.Duration(0)
		var jobs []*Job
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, int(100*time.Millisecond)).Draw(t, "gap"))
			for _, j := range b.Completed(now) {
				took += j.WorkDone
				b.Release(now, j)
			}
			j := &Job{Work: time.Duration(rapid.IntRange(1, int(200*time.Millisecond)).Draw(t, "work"))}
			if b.Admit(now, j) {
				given += j.Work
				jobs = append(jobs, j)
			}
		}
		end := now
		for j, at := range playToEnd(b, now, jobs) {
			took += j.WorkDone
			end = max(end, at)
		}
		if given != took || b.InFlight() != 0 {
			t.Fatalf("given %v, done %v, %d held", given, took, b.InFlight())
		}
		if float64(end) < float64(given)/4-1e3 {
			t.Fatalf("%v of work done in %v by two cores of speed 2", given, end)
		}
	})
}

// Arrivals have the rate, the shares and the work of their scenario; recorded ones are read as they stand.
func TestArrivals(t *testing.T) {
	s := &scenario.Scenario{Length: 100 * time.Second, Classes: []scenario.Class{{Name: "a", Share: 3, WorkVariation: 0.5}, {Name: "b", Share: 1}},
		Tenants: []scenario.Tenant{{Name: "x", Share: 1}}, Clients: scenario.Clients{Rate: 100, Arrivals: "ramp"}}
	a, err := NewArrivals(s)
	if err != nil {
		t.Fatal(err)
	}
	n, early, second, work := 0, 0, 0, 0.0
	for v, ok := a.Next(); ok; v, ok = a.Next() {
		n++
		if v.At < s.Length/2 {
			early++
		}
		second += v.Class
		work += v.Work
	}
	// The fixed seed makes these figures the same at every run; the bounds are four deviations.
	if n < 9600 || n > 10400 || early < 3500 || early > 4000 || second < 2300 || second > 2700 || math.Abs(work/float64(n)-1) > 0.02 {
		t.Errorf("%d arrivals, %d in the first half, %d of the second class, mean work %.3f", n, early, second, work/float64(n))
	}
	s.Clients = scenario.Clients{Arrivals: "recorded", ArrivalsFile: filepath.Join(t.TempDir(), "r.jsonl")}
	for text, want := range map[string]string{
		`{"at_ms":5,"class":"b","tenant":"x","work":2}`: "",
		`{"at_ms":5,"class":"c","tenant":"x","work":2}`: ":1: class",
		"{\"at_ms\":5,\"class\":\"b\",\"tenant\":\"x\",\"work\":2}\n{\"at_ms\":4,\"class\":\"b\",\"tenant\":\"x\",\"work\":2}": ":2: class",
		"half": ":1: invalid",
	} {
		if err := os.WriteFile(s.Clients.ArrivalsFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		a, err := NewArrivals(s)
		if want != "" {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: %v", text, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		v, ok := a.Next()
		if _, more := a.Next(); !ok || more || v.At != 5*time.Millisecond || v.Class != 1 || v.Work != 2 {
			t.Errorf("got %+v", v)
		}
	}
}

// A fault that did not end as it began would leave every later figure of a scenario wrong.
func TestWorldChangesAreInOrderAndComeInPairs(t *testing.T) {
	s := &scenario.Scenario{Tiers: []scenario.Tier{{Name: "t", Kinds: []scenario.ServerKind{{Count: 10}}}}, Ingress: scenario.Ingress{Nodes: 4}}
	for _, k := range scenario.WorldFaultKinds {
		s.Faults = append(s.Faults, scenario.Fault{Kind: k, At: time.Second, Duration: 4 * time.Second, Tier: "t", TargetShare: 0.5, Magnitude: 0.5, Period: time.Second})
	}
	list, err := WorldChanges(s)
	if err != nil {
		t.Fatal(err)
	}
	down, slow, last := map[ChangeKind]map[int]int{}, map[int]float64{}, time.Duration(0)
	for _, c := range list {
		if c.At < last || c.At > 5*time.Second || c.Kind.String() == "" {
			t.Errorf("%v at %v after %v", c.Kind, c.At, last)
		}
		last = c.At
		if down[c.Kind] == nil {
			down[c.Kind] = map[int]int{}
		}
		down[c.Kind][c.Index]++
		if c.Kind == ScaleSpeed {
			if slow[c.Index] == 0 {
				slow[c.Index] = 1
			}
			slow[c.Index] *= c.Magnitude
		}
	}
	for i := range 10 {
		if down[Crash][i] != down[Start][i] || down[Disconnect][i] != down[Reconnect][i] || math.Abs(slow[i]-1) > 1e-9 {
			t.Errorf("server %d does not come back as it was: %v, %v", i, down, slow[i])
		}
	}
	s.Faults = []scenario.Fault{{Kind: "neighbour", Tier: "t", Magnitude: 2, Position: "f:3"}}
	if _, err := WorldChanges(s); err == nil || !strings.HasPrefix(err.Error(), "f:3: ") {
		t.Errorf("a neighbour that takes it all: %v", err)
	}
}
