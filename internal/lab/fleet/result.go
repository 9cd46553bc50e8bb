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

// Timeline is what clients asked for and were served in time, in pieces of a tenth of a second of their first tries.
type Timeline struct{ Offered, Earned []float64 }

const sliceLength = 100 * time.Millisecond

// TimelineOf reads it off a history: a first try that was served within the aim counts whole, later its part.
func TimelineOf(s *scenario.Scenario, events []blackbox.Event) (c Timeline) {
	n := int(s.Length/sliceLength) + 1
	c.Offered, c.Earned = make([]float64, n), make([]float64, n)
	for _, e := range events {
		if e.Class < 0 || e.Class >= len(s.Classes) {
			continue
		}
		k := s.Classes[e.Class]
		switch e.Kind {
		case blackbox.RequestBegun:
			c.Offered[min(max(int(e.At/sliceLength), 0), n-1)] += k.PriorityWeight
		case blackbox.RequestEnded:
			v := 0.0
			switch {
			case !e.Ready || e.Duration > k.Deadline:
			case e.Duration <= k.LatencyObjective:
				v = k.PriorityWeight
			default:
				v = k.PriorityWeight * k.LateCredit
			}
			c.Earned[min(max(int((e.At-e.Duration)/sliceLength), 0), n-1)] += v
		}
	}
	return c
}

// Between is the share of the worth asked for in a time that was served.
func (c Timeline) Between(from, to time.Duration) (asked, got float64) {
	for i := max(int(from/sliceLength), 0); i < min(int(to/sliceLength), len(c.Offered)); i++ {
		asked, got = asked+c.Offered[i], got+c.Earned[i]
	}
	return asked, got
}

// Share is that of the whole play.
func (c Timeline) Share() float64 {
	asked, got := c.Between(0, time.Duration(len(c.Offered))*sliceLength)
	return share(got, asked)
}

func share(got, asked float64) float64 {
	if asked == 0 {
		return 1
	}
	return got / asked
}

// Full service: each second of the next five serves so much of what the same seed serves without the faults.
const (
	fullServiceShare   = 0.99
	fullServiceSeconds = 5
)

// FullService is the time from a fault to full service, and the worth lost until then, as a share of a second's worth without
// the faults. False: not within the play.
func FullService(with, calm Timeline, fault time.Duration) (took time.Duration, lost float64, ok bool) {
	end := time.Duration(len(with.Offered)-1) * sliceLength
	asked, _ := calm.Between(0, end)
	second := asked / end.Seconds()
	for at := fault.Truncate(sliceLength); at+fullServiceSeconds*time.Second <= end; at += sliceLength {
		full := true
		for k := range time.Duration(fullServiceSeconds) {
			wa, wg := with.Between(at+k*time.Second, at+(k+1)*time.Second)
			ca, cg := calm.Between(at+k*time.Second, at+(k+1)*time.Second)
			full = full && share(wg, wa) >= fullServiceShare*share(cg, ca)
		}
		if full {
			wa, wg := with.Between(fault, at)
			ca, cg := calm.Between(fault, at)
			return at - fault.Truncate(sliceLength), max(0, share(cg, ca)*wa-wg) / second, true
		}
	}
	return 0, 0, false
}

// Peak is the most of something in a tenth of a second after a fault, in multiples of its mean a tenth before.
type Peak struct {
	Name  string
	Max   int
	Mean  float64 // a tenth of a second, before
	Ratio float64 // Most over Mean; 0: there was none before
}

// Peaks counts what boxes and discovery got, each box by itself and all together.
func Peaks(events []blackbox.Event, fault, length time.Duration) (list []Peak) {
	count := func(name string, of func(blackbox.Event) (string, bool)) {
		counts := map[string][]int{}
		n := int(length/sliceLength) + 1
		for _, e := range events {
			who, ok := of(e)
			if i := int(e.At / sliceLength); ok && i >= 0 && i < n {
				if counts[who] == nil {
					counts[who] = make([]int, n)
				}
				counts[who][i]++
			}
		}
		cut := max(1, int(fault/sliceLength))
		var worst Peak
		for _, c := range counts {
			sum := 0
			for _, v := range c[:min(cut, n)] {
				sum += v
			}
			p := Peak{Name: name, Mean: float64(sum) / float64(cut)}
			for _, v := range c[min(cut, n):] {
				p.Max = max(p.Max, v)
			}
			if p.Mean > 0 {
				p.Ratio = float64(p.Max) / p.Mean
			}
			if p.Max > worst.Max {
				worst = p
			}
		}
		worst.Name = name
		list = append(list, worst)
	}
	count("requests at one box", func(e blackbox.Event) (string, bool) { return e.Server, e.Kind == blackbox.AttemptArrived })
	count("requests at all boxes", func(e blackbox.Event) (string, bool) { return "", e.Kind == blackbox.AttemptArrived })
	count("handshakes at all boxes", func(e blackbox.Event) (string, bool) { return "", e.Kind == blackbox.ConnectionOpened })
	count("calls to discovery", func(e blackbox.Event) (string, bool) { return "", e.Kind == blackbox.DiscoveryCalled })
	return list
}

// Write prints what came of a play, beside one without its faults if there is one.
func (p *Result) Write(w io.Writer, s *scenario.Scenario, calm *Result) {
	c := TimelineOf(s, p.Events)
	counts := map[string]int{}
	for _, e := range p.Events {
		counts[e.Kind]++
	}
	fmt.Fprintf(w, "scenario %s, seed %d, %.0f s: %d nodes, %d other processes\n", s.Name, s.Seed, s.Length.Seconds(), p.Nodes, p.Workers)
	fmt.Fprintf(w, "worth served   %.4f\n", c.Share())
	fmt.Fprintf(w, "requests       %d first tries, %d refusals, %d attempts, %d handshakes, %d calls to discovery\n",
		counts[blackbox.RequestBegun], counts[blackbox.TryRejected], counts[blackbox.AttemptArrived], counts[blackbox.ConnectionOpened], counts[blackbox.DiscoveryCalled])
	if len(p.StartTimes) > 0 {
		slices.Sort(p.StartTimes)
		fmt.Fprintf(w, "nodes ready    after %.2f s, median; %.2f s at most; %d starts\n",
			p.StartTimes[len(p.StartTimes)/2].Seconds(), p.StartTimes[len(p.StartTimes)-1].Seconds(), len(p.StartTimes))
	}
	if len(p.Faults) > 0 {
		first := p.Faults[0].At
		if calm != nil {
			quiet := TimelineOf(s, calm.Events)
			fmt.Fprintf(w, "without faults %.4f\n", quiet.Share())
			if took, lost, ok := FullService(c, quiet, first); ok {
				fmt.Fprintf(w, "full service   %.1f s after the first fault; until then %.2f s of worth lost\n", took.Seconds(), lost)
			} else {
				fmt.Fprintf(w, "full service   not within the play\n")
			}
		}
		for _, k := range Peaks(p.Events, first, s.Length) {
			fmt.Fprintf(w, "peak           %s: %d in 0.1 s, %.1f times the mean before\n", k.Name, k.Max, k.Ratio)
		}
	}
	fmt.Fprintf(w, "rig            %.0f ms late at most\n", float64(p.Lateness)/float64(time.Millisecond))
}

// Baseline plays worlds without their troubles, each world once: scenarios that differ in what goes wrong share it.
type Baseline struct {
	world  scenario.Scenario
	result *Result
}

// Play is a scenario's play without its troubles.
func (c *Baseline) Play(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	quiet := *s
	quiet.Name, quiet.Faults, quiet.Fleet.OldBuildShare, quiet.Discovery.CallsPerSecond = "", nil, 0, 0
	if c.result != nil && reflect.DeepEqual(c.world, quiet) {
		return c.result, nil
	}
	c.world = quiet
	quiet.Name, quiet.Discovery.CallsPerSecond = s.Name, s.Discovery.CallsPerSecond
	var err error
	c.result, err = Play(ctx, &quiet, opt)
	return c.result, err
}

// WriteTableHeader begins a table.
func WriteTableHeader(w io.Writer) {
	fmt.Fprintln(w, "| scenario | worth | without | full service, s | worth lost, s | refusals a try | peak at boxes | handshakes | discovery | nodes ready, s | rules broken | rig late, ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// formatSpread is the median of some figures, with the least and the most.
func formatSpread(format string, list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	if len(list) == 1 {
		return fmt.Sprintf(format, list[0])
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", list[len(list)/2], list[0], list[len(list)-1])
}

// WriteTableRow writes the figures of a scenario's plays: medians, with the least and the most. Peaks are the most in a tenth
// path a second after the first fault, in multiples of the mean before.
func WriteTableRow(w io.Writer, s *scenario.Scenario, plays []*Result, calm *Result) {
	var worth, full, lost, refused, boxes, shakes, calls, ready, late []float64
	broken, never, quiet := 0, 0, "-"
	var without Timeline
	if calm != nil {
		without = TimelineOf(s, calm.Events)
		quiet = fmt.Sprintf("%.4f", without.Share())
	}
	for _, p := range plays {
		c := TimelineOf(s, p.Events)
		worth = append(worth, c.Share())
		wishes, away := 0, 0
		for _, e := range p.Events {
			switch e.Kind {
			case blackbox.RequestBegun:
				wishes++
			case blackbox.TryRejected:
				away++
			}
		}
		refused = append(refused, float64(away)/float64(max(wishes, 1)))
		for _, d := range p.StartTimes {
			ready = append(ready, d.Seconds())
		}
		late = append(late, float64(p.Lateness)/float64(time.Millisecond))
		broken += len(p.Violations)
		if len(p.Faults) == 0 {
			continue
		}
		first := p.Faults[0].At
		peaks := Peaks(p.Events, first, s.Length)
		boxes, shakes = append(boxes, peaks[1].Ratio), append(shakes, peaks[2].Ratio)
		calls = append(calls, float64(peaks[3].Max))
		if took, gone, ok := FullService(c, without, first); ok && calm != nil {
			full, lost = append(full, took.Seconds()), append(lost, gone)
		} else {
			never++
		}
	}
	when := formatSpread("%.1f", full)
	if never > 0 && calm != nil {
		when += fmt.Sprintf("; %d of %d not within the play", never, len(plays))
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d | %s |\n", s.Name, formatSpread("%.4f", worth), quiet, when,
		formatSpread("%.2f", lost), formatSpread("%.3f", refused), formatSpread("%.1f", boxes), formatSpread("%.1f", shakes), formatSpread("%.0f", calls),
		formatSpread("%.2f", ready), broken, formatSpread("%.0f", late))
}

// Cells are plays and, as a group of their own, the one without the troubles, for `lab report`: worth second by second
// with the troubles marked, and how long it took until service was whole. Where it was not within the play, that is the
// rest of the play, and never_whole is 1.
func Cells(s *scenario.Scenario, plays []*Result, calm *Result) (list []sweep.Cell) {
	var without Timeline
	if calm != nil {
		without = TimelineOf(s, calm.Events)
	}
	add := func(p *Result, which string) {
		c := TimelineOf(s, p.Events)
		cell := sweep.Cell{Scenario: s.Name, Policy: which, Seed: s.Seed,
			Metrics: map[string]float64{"worth": c.Share(), "violations": float64(len(p.Violations)), "full_service_s": 0, "worth_lost_s": 0, "never_whole": 0}}
		for at := time.Duration(0); at < s.Length; at += time.Second {
			asked, got := c.Between(at, at+time.Second)
			cell.ValueShares = append(cell.ValueShares, share(got, asked))
		}
		for _, t := range s.Faults {
			cell.Faults = append(cell.Faults, sweep.FaultInterval{Kind: t.Kind, From: t.At.Seconds(), To: (t.At + t.Spread + t.Duration).Seconds()})
		}
		if calm != nil && len(p.Faults) > 0 {
			if took, lost, ok := FullService(c, without, p.Faults[0].At); ok {
				cell.Metrics["full_service_s"], cell.Metrics["worth_lost_s"] = took.Seconds(), lost
			} else {
				cell.Metrics["full_service_s"], cell.Metrics["never_whole"] = (s.Length - p.Faults[0].At).Seconds(), 1
			}
		}
		list = append(list, cell)
	}
	for _, p := range plays {
		add(p, "with troubles")
	}
	if calm != nil {
		add(calm, "without")
	}
	return list
}
