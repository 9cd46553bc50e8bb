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

// Course is what clients asked for and were served in time, in pieces of a tenth of a second of their first tries.
type Course struct{ Asked, Got []float64 }

const piece10 = 100 * time.Millisecond

// CourseOf reads it off a history: a first try that was served within the aim counts whole, later its part.
func CourseOf(s *scenario.Scenario, events []blackbox.Event) (c Course) {
	n := int(s.Length/piece10) + 1
	c.Asked, c.Got = make([]float64, n), make([]float64, n)
	for _, e := range events {
		if e.Class < 0 || e.Class >= len(s.Classes) {
			continue
		}
		k := s.Classes[e.Class]
		switch e.What {
		case blackbox.Wish:
			c.Asked[min(max(int(e.At/piece10), 0), n-1)] += k.Worth
		case blackbox.Over:
			v := 0.0
			switch {
			case !e.Ready || e.Budget > k.Deadline:
			case e.Budget <= k.Aim:
				v = k.Worth
			default:
				v = k.Worth * k.LateShare
			}
			c.Got[min(max(int((e.At-e.Budget)/piece10), 0), n-1)] += v
		}
	}
	return c
}

// Between is the share of the worth asked for in a time that was served.
func (c Course) Between(from, to time.Duration) (asked, got float64) {
	for i := max(int(from/piece10), 0); i < min(int(to/piece10), len(c.Asked)); i++ {
		asked, got = asked+c.Asked[i], got+c.Got[i]
	}
	return asked, got
}

// Share is that of the whole play.
func (c Course) Share() float64 {
	asked, got := c.Between(0, time.Duration(len(c.Asked))*piece10)
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
	fullShare = 0.99
	fullFor   = 5
)

// Whole is the time from a fault to full service, and the worth lost until then, as a share of a second's worth without
// the faults. False: not within the play.
func Whole(with, calm Course, fault time.Duration) (took time.Duration, lost float64, ok bool) {
	end := time.Duration(len(with.Asked)-1) * piece10
	asked, _ := calm.Between(0, end)
	second := asked / end.Seconds()
	for at := fault.Truncate(piece10); at+fullFor*time.Second <= end; at += piece10 {
		full := true
		for k := range time.Duration(fullFor) {
			wa, wg := with.Between(at+k*time.Second, at+(k+1)*time.Second)
			ca, cg := calm.Between(at+k*time.Second, at+(k+1)*time.Second)
			full = full && share(wg, wa) >= fullShare*share(cg, ca)
		}
		if full {
			wa, wg := with.Between(fault, at)
			ca, cg := calm.Between(fault, at)
			return at - fault.Truncate(piece10), max(0, share(cg, ca)*wa-wg) / second, true
		}
	}
	return 0, 0, false
}

// Peak is the most of something in a tenth of a second after a fault, in multiples of its mean a tenth before.
type Peak struct {
	What  string
	Most  int
	Mean  float64 // a tenth of a second, before
	Times float64 // Most over Mean; 0: there was none before
}

// Peaks counts what boxes and discovery got, each box by itself and all together.
func Peaks(events []blackbox.Event, fault, length time.Duration) (list []Peak) {
	count := func(name string, of func(blackbox.Event) (string, bool)) {
		counts := map[string][]int{}
		n := int(length/piece10) + 1
		for _, e := range events {
			who, ok := of(e)
			if i := int(e.At / piece10); ok && i >= 0 && i < n {
				if counts[who] == nil {
					counts[who] = make([]int, n)
				}
				counts[who][i]++
			}
		}
		cut := max(1, int(fault/piece10))
		var worst Peak
		for _, c := range counts {
			sum := 0
			for _, v := range c[:min(cut, n)] {
				sum += v
			}
			p := Peak{What: name, Mean: float64(sum) / float64(cut)}
			for _, v := range c[min(cut, n):] {
				p.Most = max(p.Most, v)
			}
			if p.Mean > 0 {
				p.Times = float64(p.Most) / p.Mean
			}
			if p.Most > worst.Most {
				worst = p
			}
		}
		worst.What = name
		list = append(list, worst)
	}
	count("requests at one box", func(e blackbox.Event) (string, bool) { return e.Server, e.What == blackbox.Reach })
	count("requests at all boxes", func(e blackbox.Event) (string, bool) { return "", e.What == blackbox.Reach })
	count("handshakes at all boxes", func(e blackbox.Event) (string, bool) { return "", e.What == blackbox.Conn })
	count("calls to discovery", func(e blackbox.Event) (string, bool) { return "", e.What == blackbox.Call })
	return list
}

// Write prints what came of a play, beside one without its faults if there is one.
func (p *Played) Write(w io.Writer, s *scenario.Scenario, calm *Played) {
	c := CourseOf(s, p.Events)
	counts := map[string]int{}
	for _, e := range p.Events {
		counts[e.What]++
	}
	fmt.Fprintf(w, "scenario %s, seed %d, %.0f s: %d nodes, %d other processes\n", s.Name, s.Seed, s.Length.Seconds(), p.Nodes, p.Parts)
	fmt.Fprintf(w, "worth served   %.4f\n", c.Share())
	fmt.Fprintf(w, "requests       %d first tries, %d refusals, %d attempts, %d handshakes, %d calls to discovery\n",
		counts[blackbox.Wish], counts[blackbox.Away], counts[blackbox.Reach], counts[blackbox.Conn], counts[blackbox.Call])
	if len(p.Restart) > 0 {
		slices.Sort(p.Restart)
		fmt.Fprintf(w, "nodes ready    after %.2f s, median; %.2f s at most; %d starts\n",
			p.Restart[len(p.Restart)/2].Seconds(), p.Restart[len(p.Restart)-1].Seconds(), len(p.Restart))
	}
	if len(p.Faults) > 0 {
		first := p.Faults[0].At
		if calm != nil {
			quiet := CourseOf(s, calm.Events)
			fmt.Fprintf(w, "without faults %.4f\n", quiet.Share())
			if took, lost, ok := Whole(c, quiet, first); ok {
				fmt.Fprintf(w, "full service   %.1f s after the first fault; until then %.2f s of worth lost\n", took.Seconds(), lost)
			} else {
				fmt.Fprintf(w, "full service   not within the play\n")
			}
		}
		for _, k := range Peaks(p.Events, first, s.Length) {
			fmt.Fprintf(w, "peak           %s: %d in 0.1 s, %.1f times the mean before\n", k.What, k.Most, k.Times)
		}
	}
	fmt.Fprintf(w, "rig            %.0f ms late at most\n", float64(p.Late)/float64(time.Millisecond))
}

// Calm plays worlds without their troubles, each world once: scenarios that differ in what goes wrong share it.
type Calm struct {
	world  scenario.Scenario
	played *Played
}

// Of is a scenario's play without its troubles.
func (c *Calm) Of(ctx context.Context, s *scenario.Scenario, opt Options) (*Played, error) {
	quiet := *s
	quiet.Name, quiet.Troubles, quiet.Fleet.Old, quiet.Discovery.Capacity = "", nil, 0, 0
	if c.played != nil && reflect.DeepEqual(c.world, quiet) {
		return c.played, nil
	}
	c.world = quiet
	quiet.Name, quiet.Discovery.Capacity = s.Name, s.Discovery.Capacity
	var err error
	c.played, err = Play(ctx, &quiet, opt)
	return c.played, err
}

// WriteHead begins a table.
func WriteHead(w io.Writer) {
	fmt.Fprintln(w, "| scenario | worth | without | full service, s | worth lost, s | refusals a try | peak at boxes | handshakes | discovery | nodes ready, s | rules broken | rig late, ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// spreadOf is the median of some figures, with the least and the most.
func spreadOf(format string, list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	slices.Sort(list)
	if len(list) == 1 {
		return fmt.Sprintf(format, list[0])
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", list[len(list)/2], list[0], list[len(list)-1])
}

// WriteRow writes the figures of a scenario's plays: medians, with the least and the most. Peaks are the most in a tenth
// of a second after the first fault, in multiples of the mean before.
func WriteRow(w io.Writer, s *scenario.Scenario, plays []*Played, calm *Played) {
	var worth, full, lost, refused, boxes, shakes, calls, ready, late []float64
	broken, never, quiet := 0, 0, "-"
	var without Course
	if calm != nil {
		without = CourseOf(s, calm.Events)
		quiet = fmt.Sprintf("%.4f", without.Share())
	}
	for _, p := range plays {
		c := CourseOf(s, p.Events)
		worth = append(worth, c.Share())
		wishes, away := 0, 0
		for _, e := range p.Events {
			switch e.What {
			case blackbox.Wish:
				wishes++
			case blackbox.Away:
				away++
			}
		}
		refused = append(refused, float64(away)/float64(max(wishes, 1)))
		for _, d := range p.Restart {
			ready = append(ready, d.Seconds())
		}
		late = append(late, float64(p.Late)/float64(time.Millisecond))
		broken += len(p.Broken)
		if len(p.Faults) == 0 {
			continue
		}
		first := p.Faults[0].At
		peaks := Peaks(p.Events, first, s.Length)
		boxes, shakes = append(boxes, peaks[1].Times), append(shakes, peaks[2].Times)
		calls = append(calls, float64(peaks[3].Most))
		if took, gone, ok := Whole(c, without, first); ok && calm != nil {
			full, lost = append(full, took.Seconds()), append(lost, gone)
		} else {
			never++
		}
	}
	when := spreadOf("%.1f", full)
	if never > 0 && calm != nil {
		when += fmt.Sprintf("; %d of %d not within the play", never, len(plays))
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d | %s |\n", s.Name, spreadOf("%.4f", worth), quiet, when,
		spreadOf("%.2f", lost), spreadOf("%.3f", refused), spreadOf("%.1f", boxes), spreadOf("%.1f", shakes), spreadOf("%.0f", calls),
		spreadOf("%.2f", ready), broken, spreadOf("%.0f", late))
}

// Cells are plays and, as a group of their own, the one without the troubles, for `lab report`: worth second by second
// with the troubles marked, and how long it took until service was whole. Where it was not within the play, that is the
// rest of the play, and never_whole is 1.
func Cells(s *scenario.Scenario, plays []*Played, calm *Played) (list []sweep.Cell) {
	var without Course
	if calm != nil {
		without = CourseOf(s, calm.Events)
	}
	add := func(p *Played, which string) {
		c := CourseOf(s, p.Events)
		cell := sweep.Cell{Scenario: s.Name, Policy: which, Seed: s.Seed,
			Figures: map[string]float64{"worth": c.Share(), "violations": float64(len(p.Broken)), "full_service_s": 0, "worth_lost_s": 0, "never_whole": 0}}
		for at := time.Duration(0); at < s.Length; at += time.Second {
			asked, got := c.Between(at, at+time.Second)
			cell.Worth = append(cell.Worth, share(got, asked))
		}
		for _, t := range s.Troubles {
			cell.Troubles = append(cell.Troubles, sweep.Mark{Kind: t.Kind, From: t.At.Seconds(), To: (t.At + t.Spread + t.Length).Seconds()})
		}
		if calm != nil && len(p.Faults) > 0 {
			if took, lost, ok := Whole(c, without, p.Faults[0].At); ok {
				cell.Figures["full_service_s"], cell.Figures["worth_lost_s"] = took.Seconds(), lost
			} else {
				cell.Figures["full_service_s"], cell.Figures["never_whole"] = (s.Length - p.Faults[0].At).Seconds(), 1
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
