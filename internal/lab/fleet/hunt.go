package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const (
	// faultFreeTail is how long before the end of a play its last fault is over.
	faultFreeTail = 6 * time.Second

	// recoveryWindow is the time at the end of a play in which service must be back.
	recoveryWindow = 3 * time.Second

	// recoveredShare is the share of the offered value that must be earned in that time.
	recoveredShare = 0.8

	// maxPlayTries is how often a schedule is played where the machine is too slow for it, or the play can't be staged.
	maxPlayTries = 3

	// shrinkPlays is how often a smaller schedule is played: on sockets it may need luck to show what the larger one does.
	shrinkPlays = 2
)

// Hunt plays a world again and again, each time with several faults at once drawn from a seed. It keeps the schedules that
// broke a rule or after which service did not come back, and leaves out of each what is not needed for that.
type Hunt struct {
	World     *scenario.Scenario // its own faults are not played
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

// Finding is a schedule that breaks a rule, or after which service does not come back.
type Finding struct {
	Seed   uint64
	Reason string
	Faults []scenario.Fault
	File   string
}

// huntState is what the workers of a hunt share.
type huntState struct {
	mu    sync.Mutex
	found []Finding
	err   error // the first one
}

// Run hunts and returns what it found, also beside an error.
func (h *Hunt) Run(ctx context.Context) ([]Finding, error) {
	if h.play == nil {
		h.play = func(ctx context.Context, s *scenario.Scenario) (*Result, error) { return Play(ctx, s, h.Options) }
	}
	if err := os.MkdirAll(h.Folder, 0o755); err != nil {
		return nil, err
	}
	state := &huntState{}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(h.Parallel, 1) {
		workers.Go(func() {
			for seed := range seeds {
				finding, err := h.playSeed(ctx, seed)
				h.recordOutcome(ctx, state, seed, finding, err)
			}
		})
	}
	for n := 0; n < h.Seeds && !state.stopped(ctx); n++ {
		seeds <- h.FirstSeed + uint64(n)
	}
	close(seeds)
	workers.Wait()
	return state.found, state.err
}

// recordOutcome notes what came of a seed. One that can't be staged is left out.
func (h *Hunt) recordOutcome(ctx context.Context, state *huntState, seed uint64, finding *Finding, err error) {
	state.mu.Lock()
	defer state.mu.Unlock()
	var stageErr *StageError
	switch {
	case errors.As(err, &stageErr) && ctx.Err() == nil:
		h.Logf("seed %d: not played: %v\n", seed, err)
		return
	case err == nil:
		h.Played++
	case state.err == nil:
		state.err = err
	}
	if finding != nil {
		state.found = append(state.found, *finding)
	}
}

// stopped says that no more seeds are to be played.
func (state *huntState) stopped(ctx context.Context) bool {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.err != nil || ctx.Err() != nil
}

// playSeed plays a seed's schedule, and makes what it shows smaller; nil: it shows nothing.
func (h *Hunt) playSeed(ctx context.Context, seed uint64) (*Finding, error) {
	faults := Draw(h.World, seed)
	reason, err := h.verdict(ctx, seed, faults)
	if err != nil {
		return nil, err
	}
	if reason == "" {
		h.Logf("seed %d: nothing\n", seed)
		return nil, nil
	}
	h.Logf("seed %d: %s, with %d troubles\n", seed, reason, len(faults))
	faults, reason, err = h.shrink(ctx, seed, faults, reason)
	if err != nil {
		return nil, err
	}
	f := &Finding{Seed: seed, Reason: reason, Faults: faults, File: filepath.Join(h.Folder, fmt.Sprintf("found-%d.hcl", seed))}
	h.Logf("seed %d: %s, with %d troubles at least: %s\n", seed, reason, len(faults), f.File)
	return f, h.write(f)
}

// shrink leaves out fault after fault, as long as what is left shows the same.
func (h *Hunt) shrink(ctx context.Context, seed uint64, faults []scenario.Fault, reason string) ([]scenario.Fault, string, error) {
	for i := 0; i < len(faults) && len(faults) > 1; {
		smaller := slices.Delete(slices.Clone(faults), i, i+1)
		shown := ""
		for range shrinkPlays {
			var err error
			if shown, err = h.verdict(ctx, seed, smaller); err != nil {
				return nil, "", err
			}
			if sameVerdict(shown, reason) {
				break
			}
		}
		if sameVerdict(shown, reason) {
			faults, reason, i = smaller, shown, 0
			continue
		}
		i++
	}
	return faults, reason, nil
}

// verdict plays a schedule and returns what it shows; "": nothing. A play that the machine was too slow for, or that can't be
// staged, is made again.
func (h *Hunt) verdict(ctx context.Context, seed uint64, faults []scenario.Fault) (string, error) {
	s := *h.World
	s.Seed, s.Faults = seed, faults
	var unstaged *StageError
	for range maxPlayTries {
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
		if !p.Unreliable() {
			return reasonOf(&s, p), nil
		}
	}
	if unstaged != nil {
		return "", unstaged
	}
	return "", nil
}

// reasonOf is what a play shows; "": nothing.
func reasonOf(s *scenario.Scenario, p *Result) string {
	if len(p.Violations) > 0 {
		return "breaks " + string(p.Violations[0].Rule)
	}
	if served := share(TimelineOf(s, p.Events).Between(s.Length-recoveryWindow, s.Length)); served < recoveredShare {
		return fmt.Sprintf("serves %.2f at the end", served)
	}
	return ""
}

// sameVerdict says that a smaller schedule shows what the larger one does.
func sameVerdict(a, b string) bool {
	return a != "" && b != "" && strings.Fields(a)[0] == strings.Fields(b)[0]
}

// write writes a finding's schedule beside a copy of the world that it builds on.
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
	for _, fault := range f.Faults {
		text += FaultText(fault)
	}
	return os.WriteFile(f.File, []byte(text), 0o644)
}
