package scale

import (
	"testing"
	"time"
)

// publishPause is the time from when a version is in force everywhere until the next publish.
const publishPause = 100 * time.Millisecond

// publishWithoutFaults publishes versions one after another, each after the previous one is in force everywhere. It
// returns the delay until in force at the last node of each version, and the delays at all nodes for all versions.
func publishWithoutFaults(rig *versionsRig, times int) (last, all []time.Duration) {
	for range times {
		publication := rig.mustPublish(rig.topology.ServiceNames())
		rig.await(publication.Version, rig.fleet.Nodes())
		delays := rig.delays(publication.Version, publication.Answered, rig.fleet.Nodes())
		last = append(last, Summarize(delays).Max)
		all = append(all, delays...)
		rig.sleep(publishPause)
	}
	return last, all
}

func TestVersionsWithoutFaults(t *testing.T) {
	largeOnly(t)
	const publishes = 100
	rig := newVersionsRig(t, rigOptions{topology: TargetTopology, folder: memoryFolder(t)})
	last, all := publishWithoutFaults(rig, publishes)
	rig.verify()
	table := &Table{Title: "100 publishes without faults, each for all 68 services: accepted to in force, 1,900 nodes, 7 controllers",
		Header: []string{"", "count", "p50", "p99", "most"}}
	for name, delays := range map[string][]time.Duration{"at a node": all, "at the last node of a version": last} {
		s := Summarize(delays)
		table.Add(name, s.Count, Milliseconds(s.P50), Milliseconds(s.P99), Milliseconds(s.Max))
	}
	printTable(table)
	if most := Summarize(last).Max; most > InForceLimit {
		t.Errorf("a version took %v to be in force everywhere, over %v", most, InForceLimit)
	}
}
