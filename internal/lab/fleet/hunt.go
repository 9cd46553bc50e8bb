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
	// faultFreeTail is the time between the end of the last fault and the end of the play.
	faultFreeTail = 6 * time.Second

	// recoveryWindow is the time at the end of a play during which service must have recovered.
	recoveryWindow = 3 * time.Second

	// recoveredShare is the minimum share of the offered value that must be earned in recoveryWindow.
	recoveredShare = 0.8

	// maxPlayTries limits how often a schedule is played while the machine is too slow or the rig fails.
	maxPlayTries = 3

	// shrinkPlays is how often a smaller schedule is played: on real sockets, a failure may not reproduce in every play.
	shrinkPlays = 2
)

// Hunt plays a scenario repeatedly, each time with several concurrent faults drawn from a seed. It keeps the schedules that
// broke a rule or after which service did not recover, and removes from each the faults that the failure does not need.
type Hunt struct {
	World     *scenario.Scenario // scenario to play; its own faults are ignored
	Seeds     int
	FirstSeed uint64
	Parallel  int    // number of concurrent plays
	Folder    string // receives the found schedules
	WorldFile string // file of World, which found schedules use as their base
	Options   Options
	Logf      func(format string, args ...any)
	Played    int // number of seeds whose plays gave a verdict

	play func(context.Context, *scenario.Scenario) (*Result, error) // replaced in tests; nil: Play
}

// Finding is a schedule that breaks a rule or after which service does not recover.
type Finding struct {
	Seed   uint64
	Reason string
	Faults []scenario.Fault
	File   string
}

// huntState is the state that the workers of a hunt share.
type huntState struct {
	mu    sync.Mutex
	found []Finding
	err   error // the first error
}

// Run plays all seeds and returns the findings. With an error it returns the findings so far.
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

// recordOutcome records the result of a seed. A seed that the rig could not play is only logged.
func (h *Hunt) recordOutcome(ctx context.Context, state *huntState, seed uint64, finding *Finding, err error) {
	state.mu.Lock()
	defer state.mu.Unlock()
	var rigErr *RigError
	switch {
	case errors.As(err, &rigErr) && ctx.Err() == nil:
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

// stopped reports whether no more seeds are to be played.
func (state *huntState) stopped(ctx context.Context) bool {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.err != nil || ctx.Err() != nil
}

// playSeed plays a seed's schedule and shrinks it if it fails. It returns nil if the schedule shows no failure.
func (h *Hunt) playSeed(ctx context.Context, seed uint64) (*Finding, error) {
	faults := Draw(h.World, seed)
	reason, err := h.verdict(ctx, seed, faults)
	if err != nil {
		return nil, err
	}
	if reason == "" {
		h.Logf("seed %d: no failure\n", seed)
		return nil, nil
	}
	h.Logf("seed %d: %s, with %d faults\n", seed, reason, len(faults))
	faults, reason, err = h.shrink(ctx, seed, faults, reason)
	if err != nil {
		return nil, err
	}
	f := &Finding{Seed: seed, Reason: reason, Faults: faults, File: filepath.Join(h.Folder, fmt.Sprintf("found-%d.hcl", seed))}
	h.Logf("seed %d: %s, reduced to %d faults: %s\n", seed, reason, len(faults), f.File)
	return f, h.write(f)
}

// shrink removes faults one at a time while the remaining schedule still shows the same failure.
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

// verdict plays a schedule and returns its failure, or "" if there is none. It repeats a play for which the machine was too
// slow, or that the rig could not complete.
func (h *Hunt) verdict(ctx context.Context, seed uint64, faults []scenario.Fault) (string, error) {
	s := *h.World
	s.Seed, s.Faults = seed, faults
	var rigErr *RigError
	for range maxPlayTries {
		p, err := h.play(ctx, &s)
		if errors.As(err, &rigErr) && ctx.Err() == nil {
			h.Logf("seed %d: playing again: %v\n", seed, err)
			continue
		}
		if err != nil {
			return "", err
		}
		rigErr = nil
		if p.Folder != "" {
			os.RemoveAll(p.Folder) // only the schedule is kept
		}
		if !p.Unreliable() {
			return reasonOf(&s, p), nil
		}
	}
	if rigErr != nil {
		return "", rigErr
	}
	return "", nil
}

// reasonOf returns the failure that a play shows, or "" if there is none.
func reasonOf(s *scenario.Scenario, p *Result) string {
	if len(p.Violations) > 0 {
		return "breaks " + string(p.Violations[0].Rule)
	}
	if served := share(TimelineOf(s, p.Events).Between(s.Length-recoveryWindow, s.Length)); served < recoveredShare {
		return fmt.Sprintf("serves %.2f at the end", served)
	}
	return ""
}

// sameVerdict reports whether two verdicts are failures of the same kind.
func sameVerdict(a, b string) bool {
	return a != "" && b != "" && strings.Fields(a)[0] == strings.Fields(b)[0]
}

// write writes a finding's schedule, and a copy of its base scenario next to it.
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
