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

// A seed that failed once is kept and played again later. If a change of the drawing moved one random draw, all kept
// seeds would stand for other plans and their failures would no longer be guarded. The digest covers every fault of a
// few hundred plans; it changes only with a deliberate change of the plans.
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
		t.Errorf("digest of the plans is %s, want %s", got, want)
	}
}

// A seed that gave two plans could not be played again, and a fault that lasts to the end hides whether nodes recover: the
// same seed gives the same plan, all faults are over in time, and the plans of many seeds have every kind.
func TestPlans(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		if !reflect.DeepEqual(p, DrawPlan(seed, 24, 20*second)) {
			t.Fatalf("seed %d gives two plans", seed)
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

// A restart or a crowd that lasts into the recovery hides whether nodes recover, and one that no seed has is never played.
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
			t.Errorf("seed %d has no restart by signals in a row", seed)
		}
	}
	if len(patterns) != len(signalPatterns) || floods < seeds/3 || outages == 0 || outages == floods {
		t.Errorf("%d patterns of signals, %d crowds, %d of them with an outage", len(patterns), floods, outages)
	}
}

// A plan without second answers passes a node that hands them on; one whose faults last into the recovery hides whether
// nodes recover. Kept seeds go on standing for their faults of answers.
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
			t.Errorf("seed %d has %d faults that are second answers", seed, second)
		}
	}
	if latest < maxLateWait-maxLateWait/10 {
		t.Errorf("no second answer is later than %v", latest)
	}
	for _, kind := range answerKinds {
		if !seen[kind] {
			t.Errorf("no plan has %s", kind)
		}
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the faults of answers is %s, want %s", got, want)
	}
}

// Kept seeds go on standing for their series and crowds too, as for their faults.
func TestSeedKeepsItsSignals(t *testing.T) {
	const want = "b566a3d3a3b2db7fe5d69f1607effbc256005540cf4aba80b30d0ecfb4dc4132"
	digest := sha256.New()
	for seed := range uint64(300) {
		p := DrawPlan(seed, 24, 20*second)
		fmt.Fprintln(digest, p.Series, p.Floods)
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the series and crowds is %s, want %s", got, want)
	}
}
