package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hookwalk.example/hookwalk/internal/lab/model"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Bounds of drawn schedules. Times are multiples of an eighth of a second, which a file represents exactly.
const (
	minFaults       = 2    // minimum number of faults in a schedule
	extraFaults     = 4    // exclusive upper bound of the number of faults beyond minFaults
	drawnSteps      = 8    // time steps per second
	firstFaultAt    = 1.0  // seconds from the start, so that a fault-free time precedes it
	lastFaultMargin = 2.0  // seconds between the latest begin of a fault and the fault-free tail
	minFaultSeconds = 0.2  // minimum duration
	maxFaultSeconds = 3.0  // maximum duration
	spreadSteps     = 3    // number of possible spreads: 0, 1 or 2 steps
	minDelayMS      = 5    // minimum delay of a slow link
	delayRangeMS    = 60   // exclusive upper bound of the addition to minDelayMS
	maxBreakBytes   = 2000 // maximum number of bytes before a connection breaks
	milderMagnitude = 1.5  // for faults that affect all clients or servers at once
)

// drawnWorldFaults lists the kinds that are drawn in addition to faults between processes. Their order determines the
// schedule of a seed.
var drawnWorldFaults = []string{scenario.FaultKill, scenario.FaultCrash, scenario.FaultDiscoveryDown, scenario.FaultRollingRelease,
	scenario.FaultNodeRestart, scenario.FaultSharedSlowdown, scenario.FaultOverload}

// linkPairs lists the targets and peers of drawn link faults.
var linkPairs = [][2]string{
	{scenario.TargetNodes, scenario.TargetServers}, {scenario.TargetNodes, scenario.TargetDiscovery}, {scenario.TargetNodes, scenario.TargetClients},
	{scenario.TargetServers, scenario.TargetNodes}, {scenario.TargetDiscovery, scenario.TargetNodes},
}

// Draw draws a schedule of two to five faults from a seed. All faults end before the fault-free tail.
func Draw(s *scenario.Scenario, seed uint64) []scenario.Fault {
	rng := model.Stream(seed, "hunt", 0)
	kinds := slices.Concat(drawnWorldFaults, scenario.ProcessFaultKinds)
	if !s.Fleet.AdminCalls { // without admin calls, nodes share one folder and cannot be replaced or overridden
		kinds = slices.DeleteFunc(kinds, func(kind string) bool {
			return kind == scenario.FaultUpgrade || kind == scenario.FaultAdminOverride
		})
	}
	var list []scenario.Fault
	for range minFaults + rng.IntN(extraFaults) {
		list = append(list, drawFault(s, rng, kinds[rng.IntN(len(kinds))]))
	}
	return list
}

// drawTime draws a time between two values in seconds, rounded down to a step and at least one step.
func drawTime(rng *rand.Rand, from, to float64) time.Duration {
	return max(1, time.Duration(drawnSteps*(from+rng.Float64()*(to-from)))) * time.Second / drawnSteps
}

// drawFault draws a fault of a kind. The order of its draws determines the schedule of every seed.
func drawFault(s *scenario.Scenario, rng *rand.Rand, kind string) scenario.Fault {
	last := (s.Length - faultFreeTail).Seconds()
	f := scenario.Fault{
		Kind:        kind,
		At:          drawTime(rng, firstFaultAt, last-lastFaultMargin),
		Tier:        s.Tiers[rng.IntN(len(s.Tiers))].Name,
		TargetShare: float64(1+rng.IntN(10)) / 10,
		Magnitude:   2,
		Share:       0.02,
		Target:      scenario.TargetNodes,
		Peer:        scenario.TargetServers,
	}
	f.Duration = min(drawTime(rng, minFaultSeconds, maxFaultSeconds), time.Duration(last*float64(time.Second))-f.At)
	f.Spread = time.Duration(rng.IntN(spreadSteps)) * time.Second / drawnSteps
	f.Direction = []string{scenario.DirectionBoth, scenario.DirectionOut, scenario.DirectionBack}[rng.IntN(3)]
	f.Recovery = []string{scenario.RecoveryHeld, scenario.RecoveryReset}[rng.IntN(2)]
	f.Folder = scenario.FolderKept
	if s.Fleet.AdminCalls {
		f.Folder = scenario.FolderStates[rng.IntN(len(scenario.FolderStates))]
	}
	drawKind(rng, &f)
	return f
}

// drawKind draws the fields that only some kinds have.
func drawKind(rng *rand.Rand, f *scenario.Fault) {
	switch f.Kind {
	case scenario.FaultStall:
		f.Target = []string{scenario.TargetNodes, scenario.TargetServers, scenario.TargetDiscovery}[rng.IntN(3)]
	case scenario.FaultLinkDown, scenario.FaultSlowLink, scenario.FaultResetLink, scenario.FaultRefuseLink, scenario.FaultHalfOpen:
		pair := linkPairs[rng.IntN(len(linkPairs))]
		f.Target, f.Peer = pair[0], pair[1]
		f.Delay = time.Duration(minDelayMS+rng.IntN(delayRangeMS)) * time.Millisecond
	case scenario.FaultBreakLink:
		f.Bytes = 1 + rng.IntN(maxBreakBytes)
	case scenario.FaultOverload, scenario.FaultSharedSlowdown:
		f.Magnitude = milderMagnitude
	}
}

// FaultText returns a fault in the syntax of a scenario file.
func FaultText(f scenario.Fault) string {
	var b strings.Builder
	fmt.Fprintf(&b, "trouble %q { at_s = %.3f length_s = %.3f part = %g tier = %q size = %g share = %g", f.Kind, f.At.Seconds(), f.Duration.Seconds(),
		f.TargetShare, f.Tier, f.Magnitude, f.Share)
	if f.Folder != scenario.FolderKept {
		fmt.Fprintf(&b, " folder = %q", f.Folder)
	}
	if f.Spread > 0 {
		fmt.Fprintf(&b, " spread_s = %.3f", f.Spread.Seconds())
	}
	if slices.Contains(scenario.ProcessFaultKinds, f.Kind) {
		fmt.Fprintf(&b, " who = %q whom = %q way = %q heal = %q delay_ms = %d rate_kb = %g bytes = %d", f.Target, f.Peer, f.Direction, f.Recovery,
			f.Delay.Milliseconds(), f.BytesPerSecond/1000, f.Bytes)
	}
	b.WriteString(" }\n")
	return b.String()
}
