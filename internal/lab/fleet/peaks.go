package fleet

import (
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
)

// Names of peaks, as printed.
const (
	peakOneServer  = "requests at one box"     // at the busiest server
	peakAllServers = "requests at all boxes"   // together
	peakHandshakes = "handshakes at all boxes" // together
	peakDiscovery  = "calls to discovery"      // polls and watches
)

// Peak is the highest count of an event in one time slice after a fault, with its ratio to the mean count before the fault.
type Peak struct {
	Name  string
	Max   int
	Mean  float64 // per slice, before the fault
	Ratio float64 // Max divided by Mean; 0 if Mean is 0
}

// Peaks returns the peaks of the events that the servers and discovery received: requests at the busiest server and, over
// all servers, requests, handshakes and calls to discovery.
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

// peakOf returns the highest peak of the events that groupOf selects, with each group counted separately.
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

// peakAfter returns the peak of one group. The first slices, before in number, precede the fault.
func peakAfter(counts []int, before int) (p Peak) {
	split := min(before, len(counts))
	sum := 0
	for _, c := range counts[:split] {
		sum += c
	}
	p.Mean = float64(sum) / float64(before)
	for _, c := range counts[split:] {
		p.Max = max(p.Max, c)
	}
	if p.Mean > 0 {
		p.Ratio = float64(p.Max) / p.Mean
	}
	return p
}
