package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Hunt plays a world again and again, each time with several troubles at once drawn from a seed, keeps the schedules
// that broke a rule or after which service did not come back, and leaves out of each what is not needed for that.
type Hunt struct {
	World     *scenario.Scenario // its own troubles are not played
	Seeds     int
	FirstSeed uint64
	Parallel  int    // plays side by side
	Folder    string // for what is found
	WorldFile string // the world's file, which found schedules build on
	Options   Options
	Logf      func(format string, args ...any)
	Played    int // schedules that were played to their verdict

	play func(context.Context, *scenario.Scenario) (*Result, error) // in tests another than Play
}

// Finding is a schedule that shows something.
type Finding struct {
	Seed   uint64
	Reason string
	Faults []scenario.Fault
	File   string
}

// faultFreeTail is how long before the end the last trouble is over, and the time at the end in which service must be back.
const (
	faultFreeTail  = 6 * time.Second
	recoveryWindow = 3 * time.Second
	recoveredShare = 0.8
)

// Draw gives a schedule: from two to five troubles, all over well before the end.
func Draw(s *scenario.Scenario, seed uint64) []scenario.Fault {
	rng := model.Stream(seed, "hunt", 0)
	kinds := append([]string{"kill", "crash", "discovery_down", "release", "node_restart", "shared_slow", "overload"}, scenario.ProcessFaultKinds...)
	if !s.Fleet.AdminCalls { // then nodes have neither a folder of their own nor anyone who replaces them
		kinds = slices.DeleteFunc(kinds, func(kind string) bool { return kind == "upgrade" || kind == "hand" })
	}
	var list []scenario.Fault
	for range 2 + rng.IntN(4) {
		kind := kinds[rng.IntN(len(kinds))]
		list = append(list, drawFault(s, rng, kind))
	}
	return list
}

func drawFault(s *scenario.Scenario, rng *rand.Rand, kind string) scenario.Fault {
	eighth := func(from, to float64) time.Duration { // times that a file shows as they are
		return max(1, time.Duration(8*(from+rng.Float64()*(to-from)))) * time.Second / 8
	}
	last := (s.Length - faultFreeTail).Seconds()
	t := scenario.Fault{Kind: kind, At: eighth(1, last-2), Tier: s.Tiers[rng.IntN(len(s.Tiers))].Name,
		TargetShare: float64(1+rng.IntN(10)) / 10, Magnitude: 2, Share: 0.02, Target: "nodes", Peer: "boxes", Direction: "both", Recovery: "held"}
	t.Duration = min(eighth(0.2, 3), time.Duration(last*float64(time.Second))-t.At)
	t.Spread = time.Duration(rng.IntN(3)) * time.Second / 8
	t.Direction = []string{"both", "out", "back"}[rng.IntN(3)]
	t.Recovery = []string{"held", "reset"}[rng.IntN(2)]
	t.Folder = "kept"
	if s.Fleet.AdminCalls {
		t.Folder = scenario.FolderStates[rng.IntN(len(scenario.FolderStates))]
	}
	switch kind {
	case "stall":
		t.Target = []string{"nodes", "boxes", "discovery"}[rng.IntN(3)]
	case "cut", "slow_link", "reset_link", "refuse_link", "half_open":
		pair := [][2]string{{"nodes", "boxes"}, {"nodes", "discovery"}, {"nodes", "clients"}, {"boxes", "nodes"}, {"discovery", "nodes"}}[rng.IntN(5)]
		t.Target, t.Peer = pair[0], pair[1]
		t.Delay, t.BytesPerSecond = time.Duration(5+rng.IntN(60))*time.Millisecond, 0
	case "break_link":
		t.Bytes = 1 + rng.IntN(2000)
	case "overload", "shared_slow":
		t.Magnitude = 1.5
	}
	return t
}

// FaultText is a trouble as a file has it.
func FaultText(t scenario.Fault) string {
	var b strings.Builder
	fmt.Fprintf(&b, "trouble %q { at_s = %.3f length_s = %.3f part = %g tier = %q size = %g share = %g", t.Kind, t.At.Seconds(), t.Duration.Seconds(),
		t.TargetShare, t.Tier, t.Magnitude, t.Share)
	if t.Folder != "kept" {
		fmt.Fprintf(&b, " folder = %q", t.Folder)
	}
	if t.Spread > 0 {
		fmt.Fprintf(&b, " spread_s = %.3f", t.Spread.Seconds())
	}
	for _, kind := range scenario.ProcessFaultKinds {
		if t.Kind == kind {
			fmt.Fprintf(&b, " who = %q whom = %q way = %q heal = %q delay_ms = %d rate_kb = %g bytes = %d", t.Target, t.Peer, t.Direction, t.Recovery,
				t.Delay.Milliseconds(), t.BytesPerSecond/1000, t.Bytes)
		}
	}
	b.WriteString(" }\n")
	return b.String()
}

// Run hunts and returns what it found.
func (h *Hunt) Run(ctx context.Context) ([]Finding, error) {
	if h.play == nil {
		h.play = func(ctx context.Context, s *scenario.Scenario) (*Result, error) { return Play(ctx, s, h.Options) }
	}
	if err := os.MkdirAll(h.Folder, 0o755); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var found []Finding
	var failed error
	seeds := make(chan uint64)
	var all sync.WaitGroup
	for range max(h.Parallel, 1) {
		all.Go(func() {
			for seed := range seeds {
				f, err := h.playSeed(ctx, seed)
				mu.Lock()
				if unstaged := (*StageError)(nil); errors.As(err, &unstaged) && ctx.Err() == nil {
					h.Logf("seed %d: not played: %v\n", seed, err)
					mu.Unlock()
					continue
				}
				switch {
				case err == nil:
					h.Played++
				case failed == nil:
					failed = err
				}
				if f != nil {
					found = append(found, *f)
				}
				mu.Unlock()
			}
		})
	}
	for n := range h.Seeds {
		mu.Lock()
		over := failed != nil || ctx.Err() != nil
		mu.Unlock()
		if over {
			break
		}
		seeds <- h.FirstSeed + uint64(n)
	}
	close(seeds)
	all.Wait()
	return found, failed
}

// verdict is what a schedule shows: nothing is "". A play that the machine was too slow for, or
// that can't be staged, is made again.
func (h *Hunt) verdict(ctx context.Context, seed uint64, list []scenario.Fault) (string, error) {
	s := *h.World
	s.Seed, s.Faults = seed, list
	var unstaged *StageError
	for range maxStagings {
		p, err := h.play(ctx, &s)
		if errors.As(err, &unstaged) && ctx.Err() == nil {
			h.Logf("seed %d: staged again: %v\n", seed, err)
			continue
		}
		if err != nil {
			return "", err
		}
		unstaged = nil
		if p.Folder != "" {
			os.RemoveAll(p.Folder) // the schedule is what is kept
		}
		if p.Unreliable() {
			continue
		}
		if len(p.Violations) > 0 {
			return "breaks " + string(p.Violations[0].Rule), nil
		}
		asked, got := TimelineOf(&s, p.Events).Between(s.Length-recoveryWindow, s.Length)
		if share(got, asked) < recoveredShare {
			return fmt.Sprintf("serves %.2f at the end", share(got, asked)), nil
		}
		return "", nil
	}
	if unstaged != nil {
		return "", unstaged
	}
	return "", nil
}

// maxStagings is how often a schedule is played where the machine is too slow for it, or a play can't be staged.
const maxStagings = 3

// sameVerdict says that a smaller schedule shows what the larger one does.
func sameVerdict(a, b string) bool {
	return a != "" && b != "" && strings.Fields(a)[0] == strings.Fields(b)[0]
}

// playSeed plays a seed, and makes what it shows smaller.
func (h *Hunt) playSeed(ctx context.Context, seed uint64) (*Finding, error) {
	list := Draw(h.World, seed)
	why, err := h.verdict(ctx, seed, list)
	if err != nil || why == "" {
		if err == nil {
			h.Logf("seed %d: nothing\n", seed)
		}
		return nil, err
	}
	h.Logf("seed %d: %s, with %d troubles\n", seed, why, len(list))
	for i := 0; i < len(list) && len(list) > 1; {
		less := append(append([]scenario.Fault(nil), list[:i]...), list[i+1:]...)
		shown := ""
		for range 2 { // on sockets a schedule may need luck
			if shown, err = h.verdict(ctx, seed, less); err != nil {
				return nil, err
			}
			if sameVerdict(shown, why) {
				break
			}
		}
		if sameVerdict(shown, why) {
			list, why, i = less, shown, 0
			continue
		}
		i++
	}
	f := &Finding{Seed: seed, Reason: why, Faults: list, File: filepath.Join(h.Folder, fmt.Sprintf("found-%d.hcl", seed))}
	h.Logf("seed %d: %s, with %d troubles at least: %s\n", seed, why, len(list), f.File)
	return f, h.write(f)
}

// write puts a find beside a copy of the world that it builds on.
func (h *Hunt) write(f *Finding) error {
	world, err := os.ReadFile(h.WorldFile)
	if err != nil {
		return err
	}
	base := filepath.Join(h.Folder, filepath.Base(h.WorldFile))
	if err := os.WriteFile(base, world, 0o644); err != nil {
		return err
	}
	text := fmt.Sprintf("# %s\nscenario \"found-%d\" { base = %q seed = %d length_s = %.3f }\n", f.Reason, f.Seed, filepath.Base(base), f.Seed, h.World.Length.Seconds())
	for _, t := range f.Faults {
		text += FaultText(t)
	}
	return os.WriteFile(f.File, []byte(text), 0o644)
}
