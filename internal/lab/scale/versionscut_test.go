package scale

import (
	"fmt"
	"testing"
	"time"
)

// regionPartition partitions one region of a rig from all others: its controllers and nodes cannot reach the controllers
// of other regions, nor can those regions reach its controllers.
type regionPartition struct {
	rig          *versionsRig
	region       int
	controllers  []*Controller
	insideNodes  []string // names
	outsideNodes []string // names
}

func newRegionPartition(rig *versionsRig, region int) *regionPartition {
	partition := &regionPartition{rig: rig, region: region, controllers: rig.cluster.InRegion(regionName(region))}
	for _, zone := range rig.fleet.AllZones() {
		if rig.topology.RegionOf(zone) == region {
			partition.insideNodes = append(partition.insideNodes, rig.fleet.Nodes(zone)...)
			continue
		}
		partition.outsideNodes = append(partition.outsideNodes, rig.fleet.Nodes(zone)...)
	}
	return partition
}

// addressesOf returns the addresses of controllers.
func addressesOf(controllers []*Controller) (addresses []string) {
	for _, controller := range controllers {
		addresses = append(addresses, controller.Address)
	}
	return addresses
}

// set begins or ends the partition.
func (c *regionPartition) set(partitioned bool) {
	c.rig.Helper()
	if err := c.rig.cluster.SetRegionPartitioned(regionName(c.region), partitioned); err != nil {
		c.rig.Fatal(err)
	}
	for _, zone := range c.rig.fleet.AllZones() {
		var unreachable []string
		switch {
		case !partitioned:
		case c.rig.topology.RegionOf(zone) == c.region:
			unreachable = c.rig.cluster.Addresses(c.controllers...)
		default:
			unreachable = addressesOf(c.controllers)
		}
		if err := c.rig.fleet.SetUnreachable(zone, unreachable); err != nil {
			c.rig.Fatal(err)
		}
	}
}

// publishDuringPartition publishes on the majority's side and, after each publish, attempts one on the minority's side. It
// returns the time each publish took to reach the last node of the majority's side, and the results of the attempts.
func (c *regionPartition) publishDuringPartition(times int, span time.Duration) (last []time.Duration, refused []Publication) {
	c.rig.Helper()
	majority, minority := NewPublisher(c.rig.cluster.Addresses(c.controllers...)), NewPublisher(addressesOf(c.controllers))
	services := c.rig.topology.ServiceNames()
	before := c.rig.publisher
	c.rig.publisher = majority
	defer func() { c.rig.publisher = before }()
	end := time.Now().Add(span)
	for number := range times {
		c.rig.sleep(time.Until(end) / time.Duration(times-number+1))
		publication := c.rig.mustPublish(services)
		c.rig.await(publication.Version, c.outsideNodes)
		last = append(last, Summarize(c.rig.delays(publication.Version, publication.Answered, c.outsideNodes)).Max)
		refused = append(refused, c.rig.record(minority.Publish(c.rig.Context(), c.rig.nextRequest(services), services, 1)))
	}
	if left := time.Until(end); left > 0 {
		c.rig.sleep(left)
	}
	return last, refused
}

// checkNothingAccepted fails if the minority's side accepted a publish, or if a version reached a node there.
func (c *regionPartition) checkNothingAccepted(attempts []Publication, newest Publication) {
	c.rig.Helper()
	for _, attempt := range attempts {
		if attempt.Outcome == PublishAccepted {
			c.rig.Errorf("%s was accepted on the minority's side", attempt.ID)
		}
	}
	c.rig.fleet.Audit(func(a *Audit) {
		if delays, _ := a.InForce(newest.Version, newest.Answered, c.insideNodes); len(delays) > 0 {
			c.rig.Errorf("version %d reached %d nodes through the partition", newest.Version, len(delays))
		}
	})
}

func TestVersionsRegionCutOff(t *testing.T) {
	largeOnly(t)
	const publishes = 8
	const length = 30 * time.Second
	rig := newVersionsRig(t, rigOptions{topology: TargetTopology, relays: true, folder: memoryFolder(t)})
	partition := newRegionPartition(rig, 0)
	partition.set(true)
	last, attempts := partition.publishDuringPartition(publishes, length)
	partition.checkNothingAccepted(attempts, Publication{Version: rig.newest})
	healed := time.Now()
	partition.set(false)
	newest := rig.newest
	rig.await(newest, rig.fleet.Nodes())
	after := Summarize(rig.delays(newest, healed, partition.insideNodes))
	rig.verify()
	table := &Table{Title: fmt.Sprintf("a region (%d nodes, %d controllers) partitioned for %v, %d publishes meanwhile", len(partition.insideNodes), len(partition.controllers), length, publishes),
		Header: []string{"", "count", "p50", "p99", "most"}}
	during := Summarize(last)
	table.Add("accepted to in force at the last node of the majority's side", during.Count, Milliseconds(during.P50), Milliseconds(during.P99), Milliseconds(during.Max))
	table.Add("end of the partition to the newest version at a node of the region", after.Count, Milliseconds(after.P50), Milliseconds(after.P99), Milliseconds(after.Max))
	table.Add("publishes on the minority's side", len(attempts), formatOutcomeCounts(attempts), "", "")
	printTable(table)
	if most := max(during.Max, after.Max); most > InForceLimit {
		t.Errorf("a version took %v, over %v", most, InForceLimit)
	}
}

// formatOutcomeCounts counts the outcomes of publishes.
func formatOutcomeCounts(publications []Publication) string {
	count := map[PublishOutcome]int{}
	for _, p := range publications {
		count[p.Outcome]++
	}
	return fmt.Sprintf("%d refused, %d unknown, %d accepted", count[PublishRejected], count[PublishUnknown], count[PublishAccepted])
}
