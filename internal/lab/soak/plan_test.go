package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Seeds that failed once are recorded and played again. If a change moved a single random draw, the recorded seeds would
// yield other plans and would no longer guard against their failures. The digest covers every fault of 300 plans and
// changes only with a deliberate change of the plans.
func TestSeedKeepsItsPlan(t *testing.T) {
	const want = "d5ffed1d42879082af760960bce9e4df1fdff477c263ff00a540e875fb15eb8e"
	digest := sha256.New()
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		fmt.Fprintln(digest, p.Seed, p.Nodes, p.Servers, p.Rate, p.Length)
		for _, f := range p.Faults {
			fmt.Fprintln(digest, f, f.Share)
		}
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the plans = %s, want %s", got, want)
	}
}

// The same seed yields the same plan, so that it can be played again. All faults end before the recovery time, because a
// later one would hide whether nodes recover. The plans of many seeds contain every kind of fault.
func TestPlans(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		if !reflect.DeepEqual(p, DrawPlan(seed, 24, 20*second)) {
			t.Fatalf("seed %d yields two different plans", seed)
		}
		for _, f := range p.Faults {
			seen[f.Kind] = true
			if f.From < 0 || f.From > p.Length-recoveryTime+second || f.To > p.Length-recoveryTime || f.Target >= max(p.Nodes, p.Servers) {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	for _, kind := range weightedKinds {
		if !seen[kind] {
			t.Errorf("no plan has %s", kind)
		}
	}
}

// Restarts and connection floods end before the recovery time, because a later one would hide whether nodes recover. The
// plans of many seeds contain every pattern of signals, and floods with and without an outage.
func TestSignalSeriesAndFloods(t *testing.T) {
	patterns, floods, outages := map[string]bool{}, 0, 0
	const seeds = 300
	for seed := range uint64(seeds) {
		p := DrawPlan(seed, 24, 20*second)
		for _, s := range p.Series {
			patterns[fmt.Sprint(s.Signals)] = true
			end := s.From + time.Duration(len(s.Signals)-1)*s.Interval + killDelay
			if s.From < firstFault || end > p.Length-recoveryTime || s.Node >= p.Nodes || !slices.Contains(s.Signals, syscall.SIGTERM) {
				t.Errorf("seed %d: %v", seed, s)
			}
		}
		for _, c := range p.Floods {
			floods++
			if c.Outage {
				outages++
			}
			if c.From < firstFault || c.To > p.Length-recoveryTime || c.Node >= p.Nodes || c.Connections <= nodeDescriptors {
				t.Errorf("seed %d: %v", seed, c)
			}
		}
		if len(p.Series) == 0 {
			t.Errorf("seed %d has no signal series", seed)
		}
	}
	if len(patterns) != len(signalPatterns) || floods < seeds/3 || outages == 0 || outages == floods {
		t.Errorf("%d patterns of signals, %d connection floods, %d of them with an outage", len(patterns), floods, outages)
	}
}

// Every plan has second answers, because a plan without them accepts nodes that forward them to clients. The faults end
// before the recovery time, because a later one would hide whether nodes recover. Recorded seeds keep their faults.
func TestAnswerFaults(t *testing.T) {
	const want = "60c69ac69cde86af421c6a34408f19a9ccd847cbe51513c1a71eb9d4e794ae42"
	digest, seen, latest := sha256.New(), map[Kind]bool{}, time.Duration(0)
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		fmt.Fprintln(digest, p.Answers, p.Bursts)
		second := 0
		for _, f := range p.Answers {
			seen[f.Kind] = true
			if f.Kind == AnswerSecond || f.Kind == AnswerSecondRejected {
				second++
			}
			if f.From < firstFault || f.To > p.Length-recoveryTime || f.To-f.From < minAnswerFaultTime || f.Target >= p.Servers ||
				f.Wait > maxSecondWait || f.Share < minAnswerShare || f.Share > maxAnswerShare {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
		for _, f := range p.Late {
			latest = max(latest, f.Wait)
			if f.From < firstFault || f.To > p.Length-recoveryTime || f.Target >= p.Servers || f.Wait > maxLateWait {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
		for _, b := range slices.Concat(p.Bursts, p.LateBursts) {
			if b.From < firstFault || b.To > p.Length-recoveryTime || b.Node >= p.Nodes {
				t.Errorf("seed %d: %v", seed, b)
			}
		}
		if second < secondAnswerFaults || len(p.Bursts) != secondAnswerFaults {
			t.Errorf("seed %d has %d second-answer faults and %d bursts, want at least %d and %d", seed, second, len(p.Bursts),
				secondAnswerFaults, secondAnswerFaults)
		}
	}
	if latest < maxLateWait-maxLateWait/10 {
		t.Errorf("the latest second answer is %v late, want almost %v", latest, maxLateWait)
	}
	for _, kind := range answerKinds {
		if !seen[kind] {
			t.Errorf("no plan has %s", kind)
		}
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the faults of answers = %s, want %s", got, want)
	}
}

// Recorded seeds keep their signal series and connection floods, like their faults.
func TestSeedKeepsItsSignals(t *testing.T) {
	const want = "b566a3d3a3b2db7fe5d69f1607effbc256005540cf4aba80b30d0ecfb4dc4132"
	digest := sha256.New()
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		fmt.Fprintln(digest, p.Series, p.Floods)
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the series and floods = %s, want %s", got, want)
	}
}

// The faults of slow peers end before the recovery time, and each plan has every kind of them.
func TestSlowPeerFaults(t *testing.T) {
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		kinds := map[Kind]int{}
		for _, f := range p.SlowPeers {
			kinds[f.Kind]++
			if f.From < firstFault || f.To > p.Length-recoveryTime || f.To < f.From+minSlowPeerTime || f.Target >= p.Servers {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
		for _, kind := range slowPeerKinds {
			if kinds[kind] != slowPeerFaults {
				t.Errorf("seed %d has %d faults of kind %s", seed, kinds[kind], kind)
			}
		}
	}
}
