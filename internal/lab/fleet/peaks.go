package fleet

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
)

// Names of peaks.
const (
	peakOneServer  = "requests at one box"     // the busiest
	peakAllServers = "requests at all boxes"   // together
	peakHandshakes = "handshakes at all boxes" // together
	peakDiscovery  = "calls to discovery"      // polls and watches
)

// Peak is the most of something in one slice of time after a fault, and its ratio to the mean of a slice before.
type Peak struct {
	Name  string
	Max   int
	Mean  float64 // of a slice before the fault
	Ratio float64 // Max over Mean; 0: there was none before
}

// Peaks counts what servers and discovery received, at the busiest server and at all together.
func Peaks(events []blackbox.Event, fault, length time.Duration) []Peak {
	ofKind := func(kind blackbox.EventKind) func(blackbox.Event) (string, bool) {
		return func(e blackbox.Event) (string, bool) { return "", e.Kind == kind }
	}
	ofServer := func(e blackbox.Event) (string, bool) { return e.Server, e.Kind == blackbox.AttemptArrived }
	return []Peak{
		peakOf(peakOneServer, events, fault, length, ofServer),
		peakOf(peakAllServers, events, fault, length, ofKind(blackbox.AttemptArrived)),
		peakOf(peakHandshakes, events, fault, length, ofKind(blackbox.ConnectionOpened)),
		peakOf(peakDiscovery, events, fault, length, ofKind(blackbox.DiscoveryCalled)),
	}
}

// peakOf is the highest peak of some events, each group of them counted by itself.
func peakOf(name string, events []blackbox.Event, fault, length time.Duration, groupOf func(blackbox.Event) (string, bool)) Peak {
	counts := map[string][]int{}
	n := int(length/sliceLength) + 1
	for _, e := range events {
		group, ok := groupOf(e)
		if i := int(e.At / sliceLength); ok && i >= 0 && i < n {
			if counts[group] == nil {
				counts[group] = make([]int, n)
			}
			counts[group][i]++
		}
	}
	highest := Peak{Name: name}
	for _, c := range counts {
		if p := peakAfter(c, max(1, int(fault/sliceLength))); p.Max > highest.Max {
			p.Name = name
			highest = p
		}
	}
	return highest
}

// peakAfter is the peak of one group, whose first slices are before the fault.
func peakAfter(counts []int, before int) (p Peak) {
	cut := min(before, len(counts))
	sum := 0
	for _, c := range counts[:cut] {
		sum += c
	}
	p.Mean = float64(sum) / float64(before)
	for _, c := range counts[cut:] {
		p.Max = max(p.Max, c)
	}
	if p.Mean > 0 {
		p.Ratio = float64(p.Max) / p.Mean
	}
	return p
}
