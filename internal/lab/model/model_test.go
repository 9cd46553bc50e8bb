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

func testKind() *scenario.ServerKind {
	return &scenario.ServerKind{Cores: 2, Speed: 2, Concurrency: 4, QueueLength: 2, ContentionThreshold: 4, ContentionLoss: 1, WarmupStartShare: 0.5, WarmupDuration: 10 * time.Second, CancelsQueued: true}
}

// runToCompletion runs a server until no job runs and returns the completion time of each job.
func runToCompletion(server *Server, now time.Duration, jobs []*Job) map[*Job]time.Duration {
	completedAt := map[*Job]time.Duration{}
	for {
		at, ok := server.NextCompletion(now)
		if !ok {
			return completedAt
		}
		now = at
		for _, j := range server.Completed(now) {
			completedAt[j] = now
			server.Release(now, j)
		}
	}
}

func almostEqual(a, b time.Duration) bool { return (a - b).Abs() <= time.Microsecond }

// On two cores of speed 2, one or two jobs of 100 ms take 50 ms each, and three take 75 ms each.
func TestCoresAreShared(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 50 * time.Millisecond, 2: 50 * time.Millisecond, 3: 75 * time.Millisecond} {
		server := NewServer("b", 0, 0, testKind(), scenario.Rules{})
		var jobs []*Job
		for range n {
			j := &Job{Work: 100 * time.Millisecond}
			if !server.Admit(0, j) {
				t.Fatal("the server rejected a job although it has free slots")
			}
			jobs = append(jobs, j)
		}
		for _, at := range runToCompletion(server, 0, jobs) {
			if !almostEqual(at, want) {
				t.Errorf("%d jobs: done at %v, want %v", n, at, want)
			}
		}
	}
}

// A full server rejects requests, and a crowded one slows down. Without these effects the model could not show a
// self-sustaining overload.
func TestCapacityAndCrowding(t *testing.T) {
	server := NewServer("b", 0, 0, testKind(), scenario.Rules{})
	var jobs []*Job
	for range 7 {
		j := &Job{Work: 100 * time.Millisecond}
		if server.Admit(0, j) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) != 6 || server.InFlight() != 6 {
		t.Fatalf("accepted %d, want 6: 4 slots and a queue of 2", len(jobs))
	}
	// Four jobs share two cores, which halves their speed. Six jobs in flight where ContentionThreshold is four slow it down
	// by another factor of 1.5.
	at, _ := server.NextCompletion(0)
	if want := 150 * time.Millisecond; !almostEqual(at, want) {
		t.Errorf("the first job is done at %v, want %v", at, want)
	}
	if !server.CancelQueued(0, jobs[5]) || server.CancelQueued(0, jobs[0]) || server.InFlight() != 5 {
		t.Error("CancelQueued did not remove a queued job, or removed a running one")
	}
	server.State = Draining
	if server.Admit(0, &Job{Work: 1}) {
		t.Error("a draining server accepted a request")
	}
	done, _ := server.NextCompletion(0)
	calling := server.Completed(done) // their stage is done, and they wait for calls
	lost := server.Stop()
	if len(calling) == 0 || len(lost) != 5 || lost[0] != jobs[0] || server.InFlight() != 0 {
		t.Errorf("Stop lost %d jobs, want 5; %d of them waited for calls; %d are still in flight", len(lost), len(calling), server.InFlight())
	}
	// The answer to a call of a lost job must neither free a slot of the next incarnation nor start a job there.
	server.Start(time.Hour)
	server.Release(time.Hour, calling[0])
	server.Resume(time.Hour, calling[0], time.Second)
	if _, runs := server.NextCompletion(time.Hour); runs || server.slotsTaken != 0 {
		t.Errorf("jobs of the previous incarnation survived: %d slots taken, a job runs: %v", server.slotsTaken, runs)
	}
}

// A server that receives too much work while it warms up crashes.
func TestOverloadedWarmingServerFails(t *testing.T) {
	server := NewServer("b", 0, 0, testKind(), scenario.Rules{OverloadMultiple: 3, OverloadWindow: time.Second})
	server.Stop()
	server.Start(time.Hour)
	for age, want := range map[time.Duration]float64{0: 2, 5 * time.Second: 3, 10 * time.Second: 4} {
		if got := server.Capacity(time.Hour + age); math.Abs(got-want) > 1e-9 {
			t.Errorf("capacity %v after the start: %v, want %v", age, got, want)
		}
	}
	j := &Job{Work: 100 * time.Millisecond}
	server.Admit(time.Hour, j)
	if at := runToCompletion(server, time.Hour, []*Job{j})[j] - time.Hour; at < 99*time.Millisecond || at > 100*time.Millisecond {
		t.Errorf("on a cold server 100 ms of work take %v, want a little under 100 ms", at)
	}
	// The allowance is 3 times a capacity of 2, plus the largest request of 1 s: the eighth second of work exceeds it.
	for n := 1; n <= 8; n++ {
		if overloaded := server.RecordArrival(time.Hour, time.Second); overloaded != (n == 8) {
			t.Errorf("after %d s of work: overloaded %v", n, overloaded)
		}
	}
	if server.RecordArrival(time.Hour+2*time.Second, time.Second) {
		t.Error("work that arrived before the window was counted")
	}
}

// For any sequence of arrivals, the completed work equals the admitted work, and no work is done faster than the cores
// allow.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := NewServer("b", 0, 0, testKind(), scenario.Rules{})
		now, admitted, completed := time.Duration(0), time.Duration(0), time.Duration(0)
		var jobs []*Job
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, int(100*time.Millisecond)).Draw(t, "gap"))
			for _, j := range server.Completed(now) {
				completed += j.WorkDone
				server.Release(now, j)
			}
			j := &Job{Work: time.Duration(rapid.IntRange(1, int(200*time.Millisecond)).Draw(t, "work"))}
			if server.Admit(now, j) {
				admitted += j.Work
				jobs = append(jobs, j)
			}
		}
		end := now
		for j, at := range runToCompletion(server, now, jobs) {
			completed += j.WorkDone
			end = max(end, at)
		}
		if admitted != completed || server.InFlight() != 0 {
			t.Fatalf("admitted %v of work, completed %v, %d jobs still in flight", admitted, completed, server.InFlight())
		}
		if float64(end) < float64(admitted)/4-1e3 {
			t.Fatalf("%v of work done in %v by two cores of speed 2", admitted, end)
		}
	})
}

// Arrivals have the rate, the shares and the mean work of their scenario. Recorded arrivals are returned unchanged.
func TestArrivals(t *testing.T) {
	s := &scenario.Scenario{Length: 100 * time.Second, Classes: []scenario.Class{{Name: "a", Share: 3, WorkVariation: 0.5}, {Name: "b", Share: 1}},
		Tenants: []scenario.Tenant{{Name: "x", Share: 1}}, Clients: scenario.Clients{Rate: 100, Arrivals: "ramp"}}
	a, err := NewArrivals(s)
	if err != nil {
		t.Fatal(err)
	}
	n, early, secondClass, work := 0, 0, 0, 0.0
	for v, ok := a.Next(); ok; v, ok = a.Next() {
		n++
		if v.At < s.Length/2 {
			early++
		}
		secondClass += v.Class
		work += v.Work
	}
	// The seed is fixed, so the figures are the same in every run. The bounds are four standard deviations.
	if n < 9600 || n > 10400 || early < 3500 || early > 4000 || secondClass < 2300 || secondClass > 2700 || math.Abs(work/float64(n)-1) > 0.02 {
		t.Errorf("%d arrivals, %d in the first half, %d of the second class, mean work %.3f", n, early, secondClass, work/float64(n))
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
			t.Errorf("arrival %+v, want exactly one at 5ms with class 1 and work 2", v)
		}
	}
}

// Changes are ordered by time, and the end of each fault undoes its beginning. A fault with lasting effects would
// falsify all later figures of a scenario.
func TestWorldChangesAreOrderedAndUndone(t *testing.T) {
	s := &scenario.Scenario{Tiers: []scenario.Tier{{Name: "t", Kinds: []scenario.ServerKind{{Count: 10}}}}, Ingress: scenario.Ingress{Nodes: 4}}
	for _, k := range scenario.WorldFaultKinds {
		s.Faults = append(s.Faults, scenario.Fault{Kind: k, At: time.Second, Duration: 4 * time.Second, Tier: "t", TargetShare: 0.5, Magnitude: 0.5, Period: time.Second})
	}
	list, err := WorldChanges(s)
	if err != nil {
		t.Fatal(err)
	}
	counts, speedFactors, last := map[ChangeKind]map[int]int{}, map[int]float64{}, time.Duration(0)
	for _, c := range list {
		if c.At < last || c.At > 5*time.Second || c.Kind.String() == "" {
			t.Errorf("%v at %v after %v", c.Kind, c.At, last)
		}
		last = c.At
		if counts[c.Kind] == nil {
			counts[c.Kind] = map[int]int{}
		}
		counts[c.Kind][c.Index]++
		if c.Kind == ScaleSpeed {
			if speedFactors[c.Index] == 0 {
				speedFactors[c.Index] = 1
			}
			speedFactors[c.Index] *= c.Magnitude
		}
	}
	for i := range 10 {
		if counts[Crash][i] != counts[Start][i] || counts[Disconnect][i] != counts[Reconnect][i] || math.Abs(speedFactors[i]-1) > 1e-9 {
			t.Errorf("server %d is not restored: counts of changes %v, speed factor %v", i, counts, speedFactors[i])
		}
	}
	s.Faults = []scenario.Fault{{Kind: "neighbour", Tier: "t", Magnitude: 2, Position: "f:3"}}
	if _, err := WorldChanges(s); err == nil || !strings.HasPrefix(err.Error(), "f:3: ") {
		t.Errorf("a neighbour that takes more than all cores: error %v, want one with the position f:3", err)
	}
}
