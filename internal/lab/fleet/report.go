package fleet

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/sweep"
)

// Names of the two groups of cells, used in place of a policy.
const (
	withFaults    = "with troubles" // plays of the scenario
	withoutFaults = "without"       // baseline plays
)

// noValue marks a missing value in a table.
const noValue = "-"

// Baseline plays scenarios without their faults. Consecutive scenarios that differ only in their faults share one play.
type Baseline struct {
	world  scenario.Scenario
	result *Result
}

// Play returns the result of a scenario without its faults, from the previous call if the scenario is the same.
func (b *Baseline) Play(ctx context.Context, s *scenario.Scenario, options Options) (*Result, error) {
	world := *s
	world.Name, world.Faults, world.Fleet.OldBuildShare, world.Discovery.CallsPerSecond = "", nil, 0, 0
	if b.result != nil && reflect.DeepEqual(b.world, world) {
		return b.result, nil
	}
	b.world = world
	world.Name, world.Discovery.CallsPerSecond = s.Name, s.Discovery.CallsPerSecond
	var err error
	b.result, err = Play(ctx, &world, options)
	return b.result, err
}

// eventCounts returns the number of events of a play by kind.
func (p *Result) eventCounts() map[blackbox.EventKind]int {
	counts := map[blackbox.EventKind]int{}
	for _, e := range p.Events {
		counts[e.Kind]++
	}
	return counts
}

// Write prints the result of a play, compared with the baseline if there is one.
func (p *Result) Write(w io.Writer, s *scenario.Scenario, baseline *Result) {
	timeline, counts := TimelineOf(s, p.Events), p.eventCounts()
	fmt.Fprintf(w, "scenario %s, seed %d, %.0f s: %d nodes, %d other processes\n", s.Name, s.Seed, s.Length.Seconds(), p.Nodes, p.Workers)
	fmt.Fprintf(w, "worth served   %.4f\n", timeline.Share())
	fmt.Fprintf(w, "requests       %d first tries, %d refusals, %d attempts, %d handshakes, %d calls to discovery\n",
		counts[blackbox.RequestBegun], counts[blackbox.TryRejected], counts[blackbox.AttemptArrived], counts[blackbox.ConnectionOpened], counts[blackbox.DiscoveryCalled])
	if len(p.StartTimes) > 0 {
		slices.Sort(p.StartTimes)
		fmt.Fprintf(w, "nodes ready    after %.2f s, median; %.2f s at most; %d starts\n",
			p.StartTimes[len(p.StartTimes)/2].Seconds(), p.StartTimes[len(p.StartTimes)-1].Seconds(), len(p.StartTimes))
	}
	if len(p.Faults) > 0 {
		first := p.Faults[0].At
		if baseline != nil {
			writeFullService(w, timeline, TimelineOf(s, baseline.Events), first)
		}
		for _, peak := range Peaks(p.Events, first, s.Length) {
			fmt.Fprintf(w, "peak           %s: %d in 0.1 s, %.1f times the mean before\n", peak.Name, peak.Max, peak.Ratio)
		}
	}
	fmt.Fprintf(w, "rig            %.0f ms late at most\n", milliseconds(p.Lateness))
}

func writeFullService(w io.Writer, with, baseline Timeline, fault time.Duration) {
	fmt.Fprintf(w, "without faults %.4f\n", baseline.Share())
	if took, lost, ok := FullService(with, baseline, fault); ok {
		fmt.Fprintf(w, "full service   %.1f s after the first fault; until then %.2f s of worth lost\n", took.Seconds(), lost)
	} else {
		fmt.Fprintf(w, "full service   not within the play\n")
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteTableHeader writes the header of the table to which WriteTableRow adds rows.
func WriteTableHeader(w io.Writer) {
	fmt.Fprintln(w, "| scenario | worth | without | full service, s | worth lost, s | refusals a try | peak at boxes | handshakes | discovery | nodes ready, s | rules broken | rig late, ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// formatSpread formats the median of some values, with the minimum and the maximum if there are several. It sorts the list.
func formatSpread(format string, list []float64) string {
	if len(list) == 0 {
		return noValue
	}
	slices.Sort(list)
	if len(list) == 1 {
		return fmt.Sprintf(format, list[0])
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", list[len(list)/2], list[0], list[len(list)-1])
}

// tableRow collects the values of a scenario's plays.
type tableRow struct {
	shares, fullService, lost, rejections, lateness []float64
	serverPeaks, handshakePeaks, discoveryPeaks     []float64
	startTimes                                      []float64
	violations                                      int
	withoutFullService                              int // number of plays that did not reach full service
}

// add adds the values of one play.
func (row *tableRow) add(s *scenario.Scenario, p, baseline *Result) {
	timeline, counts := TimelineOf(s, p.Events), p.eventCounts()
	row.shares = append(row.shares, timeline.Share())
	row.rejections = append(row.rejections, float64(counts[blackbox.TryRejected])/float64(max(counts[blackbox.RequestBegun], 1)))
	for _, d := range p.StartTimes {
		row.startTimes = append(row.startTimes, d.Seconds())
	}
	row.lateness = append(row.lateness, milliseconds(p.Lateness))
	row.violations += len(p.Violations)
	if len(p.Faults) == 0 {
		return
	}
	first := p.Faults[0].At
	for _, peak := range Peaks(p.Events, first, s.Length) {
		switch peak.Name {
		case peakAllServers:
			row.serverPeaks = append(row.serverPeaks, peak.Ratio)
		case peakHandshakes:
			row.handshakePeaks = append(row.handshakePeaks, peak.Ratio)
		case peakDiscovery:
			row.discoveryPeaks = append(row.discoveryPeaks, float64(peak.Max))
		}
	}
	if baseline == nil {
		return
	}
	if took, lost, ok := FullService(timeline, TimelineOf(s, baseline.Events), first); ok {
		row.fullService, row.lost = append(row.fullService, took.Seconds()), append(row.lost, lost)
	} else {
		row.withoutFullService++
	}
}

// WriteTableRow writes the values of a scenario's plays: medians, with minimum and maximum. Peaks at servers are the
// highest count in a tenth of a second after the first fault, as a multiple of the mean before it; the peak at
// discovery is the count.
func WriteTableRow(w io.Writer, s *scenario.Scenario, plays []*Result, baseline *Result) {
	row := &tableRow{}
	for _, p := range plays {
		row.add(s, p, baseline)
	}
	without := noValue
	if baseline != nil {
		without = fmt.Sprintf("%.4f", TimelineOf(s, baseline.Events).Share())
	}
	full := formatSpread("%.1f", row.fullService)
	if row.withoutFullService > 0 {
		full += fmt.Sprintf("; %d of %d not within the play", row.withoutFullService, len(plays))
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d | %s |\n", s.Name, formatSpread("%.4f", row.shares), without, full,
		formatSpread("%.2f", row.lost), formatSpread("%.3f", row.rejections), formatSpread("%.1f", row.serverPeaks), formatSpread("%.1f", row.handshakePeaks),
		formatSpread("%.0f", row.discoveryPeaks), formatSpread("%.2f", row.startTimes), row.violations, formatSpread("%.0f", row.lateness))
}

// Cells returns cells for `lab report`: one for each play and, in a separate group, one for the baseline. A cell has
// the share of the value earned in each second, the faults, and the time to full service. If a play did not reach full
// service, that time is the rest of the play, and never_whole is 1.
func Cells(s *scenario.Scenario, plays []*Result, baseline *Result) (list []sweep.Cell) {
	for _, p := range plays {
		list = append(list, cellOf(s, p, withFaults, baseline))
	}
	if baseline != nil {
		list = append(list, cellOf(s, baseline, withoutFaults, baseline))
	}
	return list
}

// cellOf returns the cell of one play in a group.
func cellOf(s *scenario.Scenario, p *Result, group string, baseline *Result) sweep.Cell {
	timeline := TimelineOf(s, p.Events)
	cell := sweep.Cell{Scenario: s.Name, Policy: group, Seed: s.Seed, Metrics: map[string]float64{
		"worth": timeline.Share(), "violations": float64(len(p.Violations)), "full_service_s": 0, "worth_lost_s": 0, "never_whole": 0}}
	for at := time.Duration(0); at < s.Length; at += time.Second {
		cell.ValueShares = append(cell.ValueShares, share(timeline.Between(at, at+time.Second)))
	}
	for _, f := range s.Faults {
		cell.Faults = append(cell.Faults, sweep.FaultInterval{Kind: f.Kind, From: f.At.Seconds(), To: (f.At + f.Spread + f.Duration).Seconds()})
	}
	if baseline == nil || len(p.Faults) == 0 {
		return cell
	}
	first := p.Faults[0].At
	if took, lost, ok := FullService(timeline, TimelineOf(s, baseline.Events), first); ok {
		cell.Metrics["full_service_s"], cell.Metrics["worth_lost_s"] = took.Seconds(), lost
	} else {
		cell.Metrics["full_service_s"], cell.Metrics["never_whole"] = (s.Length - first).Seconds(), 1
	}
	return cell
}
