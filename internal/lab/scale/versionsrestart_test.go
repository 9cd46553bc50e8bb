package scale

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// arrivalSpan is the length of the interval in which the largest number of opened watches is counted.
const arrivalSpan = 100 * time.Millisecond

// zonesRestart holds the measurements of zones that were killed and restarted all at once.
type zonesRestart struct {
	nodes            int
	watches          int
	maxTotal         int // watches opened within arrivalSpan
	maxPerController int // the same, at a single controller
	inForce          Delays
	shares           []int
}

// restartZones kills zones, publishes a version while they are down, restarts all of them at once, and waits until all
// nodes have that version in force.
func restartZones(rig *versionsRig, zones []int) (back zonesRestart) {
	rig.Helper()
	nodes := rig.fleet.Nodes(zones...)
	rig.fleet.Kill(zones...)
	publication := rig.mustPublish(rig.topology.ServiceNames())
	began := time.Now()
	if err := rig.fleet.Start(zones...); err != nil {
		rig.Fatal(err)
	}
	rig.await(publication.Version, rig.fleet.Nodes())
	back.nodes = len(nodes)
	back.inForce = Summarize(rig.delays(publication.Version, began, nodes))
	back.countArrivals(rig.fleet.Watches(began))
	back.shares = rig.sessions()
	return back
}

// countArrivals counts the opened watches, in total and by controller.
func (b *zonesRestart) countArrivals(watches []WatchOpened) {
	var all []int64
	at := map[string][]int64{}
	for _, watch := range watches {
		all = append(all, watch.AtNS)
		at[watch.Address] = append(at[watch.Address], watch.AtNS)
	}
	b.watches = len(watches)
	b.maxTotal = MaxWithin(all, arrivalSpan)
	for _, moments := range at {
		b.maxPerController = max(b.maxPerController, MaxWithin(moments, arrivalSpan))
	}
}

func TestVersionsZonesRestart(t *testing.T) {
	largeOnly(t)
	const settle, readings = 10 * time.Second, 3
	rig := newVersionsRig(t, rigOptions{topology: TargetTopology, folder: memoryFolder(t)})
	rig.sleep(settle)
	table := &Table{Title: "nodes killed and restarted at once, with a version published while they are down: 1,900 nodes, 7 controllers", Header: []string{"nodes",
		"watches opened", "most in 100 ms", "most in 100 ms at one controller", "start to in force p50", "p99", "most", "sessions at once, and largest deviation from the mean", "10 s later", "20 s later", "30 s later"}}
	for _, zones := range [][]int{{0}, rig.fleet.AllZones()} {
		back := restartZones(rig, zones)
		shares := []string{writeShares(back.shares)}
		var later []int
		for range readings {
			rig.sleep(settle)
			later = rig.sessions()
			shares = append(shares, writeShares(later))
		}
		table.Add(back.nodes, back.watches, back.maxTotal, back.maxPerController, Milliseconds(back.inForce.P50), Milliseconds(back.inForce.P99),
			Milliseconds(back.inForce.Max), shares[0], shares[1], shares[2], shares[3])
		if uneven := Unevenness(later); uneven > sharesTolerance {
			t.Errorf("sessions per controller %v: one deviates by %.1f%% from the mean", later, 100*uneven)
		}
	}
	rig.verify()
	printTable(table)
}

// writeShares formats the session counts of controllers in ascending order, and their largest deviation from the mean.
func writeShares(shares []int) string {
	return fmt.Sprintf("%v, %.1f%%", slices.Sorted(slices.Values(shares)), 100*Unevenness(shares))
}

// sharesTolerance is the largest allowed deviation of a controller's sessions from the mean, relative to the mean.
const sharesTolerance = 0.1
