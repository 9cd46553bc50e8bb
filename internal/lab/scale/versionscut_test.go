package scale

import (
	"fmt"
	"testing"
	"time"
)

// regionCut is a region of a rig that is cut off from all others: controllers from controllers, nodes from controllers.
type regionCut struct {
	rig    *versionsRig
	region int
	inside []*Controller
	cut    []string // nodes inside
	rest   []string // nodes outside
}

func newRegionCut(rig *versionsRig, region int) *regionCut {
	cut := &regionCut{rig: rig, region: region, inside: rig.cluster.InRegion(regionName(region))}
	for _, zone := range rig.fleet.AllZones() {
		if rig.topology.RegionOf(zone) == region {
			cut.cut = append(cut.cut, rig.fleet.Nodes(zone)...)
			continue
		}
		cut.rest = append(cut.rest, rig.fleet.Nodes(zone)...)
	}
	return cut
}

func addressesOf(controllers []*Controller) (addresses []string) {
	for _, controller := range controllers {
		addresses = append(addresses, controller.Address)
	}
	return addresses
}

// set begins or ends the cut.
func (c *regionCut) set(off bool) {
	c.rig.Helper()
	if err := c.rig.cluster.CutRegion(regionName(c.region), off); err != nil {
		c.rig.Fatal(err)
	}
	for _, zone := range c.rig.fleet.AllZones() {
		var unreachable []string
		switch {
		case !off:
		case c.rig.topology.RegionOf(zone) == c.region:
			unreachable = c.rig.cluster.Addresses(c.inside...)
		default:
			unreachable = addressesOf(c.inside)
		}
		if err := c.rig.fleet.Cut(zone, unreachable); err != nil {
			c.rig.Fatal(err)
		}
	}
}

// publishDuringCut publishes on the majority's side and asks the side that is cut off once beside each publish. It
// returns for each publish how long it took to the last node of the majority's side.
func (c *regionCut) publishDuringCut(times int, span time.Duration) (last []time.Duration, refused []Publication) {
	c.rig.Helper()
	majority, minority := NewPublisher(c.rig.cluster.Addresses(c.inside...)), NewPublisher(addressesOf(c.inside))
	services := c.rig.topology.ServiceNames()
	before := c.rig.publisher
	c.rig.publisher = majority
	defer func() { c.rig.publisher = before }()
	end := time.Now().Add(span)
	for number := range times {
		c.rig.within(time.Until(end) / time.Duration(times-number+1))
		publication := c.rig.mustPublish(services)
		c.rig.await(publication.Version, c.rest)
		last = append(last, Summarize(c.rig.delays(publication.Version, publication.Answered, c.rest)).Max)
		refused = append(refused, c.rig.record(minority.Publish(c.rig.Context(), c.rig.request(services), services, 1)))
	}
	if left := time.Until(end); left > 0 {
		c.rig.within(left)
	}
	return last, refused
}

// checkNothingTaken fails if the side that is cut off took a publish, or if a version reached a node there.
func (c *regionCut) checkNothingTaken(attempts []Publication, newest Publication) {
	c.rig.Helper()
	for _, attempt := range attempts {
		if attempt.Outcome == PublishAccepted {
			c.rig.Errorf("%s was accepted on the side that is cut off", attempt.ID)
		}
	}
	c.rig.fleet.Audit(func(a *Audit) {
		if delays, _ := a.InForce(newest.Version, newest.Answered, c.cut); len(delays) > 0 {
			c.rig.Errorf("version %d reached %d nodes through the cut", newest.Version, len(delays))
		}
	})
}

func TestVersionsRegionCutOff(t *testing.T) {
	largeOnly(t)
	const publishes = 8
	const length = 30 * time.Second
	rig := newVersionsRig(t, rigOptions{topology: TargetTopology, relays: true, folder: memoryFolder(t)})
	cut := newRegionCut(rig, 0)
	cut.set(true)
	last, attempts := cut.publishDuringCut(publishes, length)
	cut.checkNothingTaken(attempts, Publication{Version: rig.newest})
	healed := time.Now()
	cut.set(false)
	newest := rig.newest
	rig.await(newest, rig.fleet.Nodes())
	after := Summarize(rig.delays(newest, healed, cut.cut))
	rig.verify()
	table := &Table{Title: fmt.Sprintf("a region (%d nodes, %d controllers) cut off for %v, %d publishes meanwhile", len(cut.cut), len(cut.inside), length, publishes),
		Header: []string{"", "count", "p50", "p99", "most"}}
	during := Summarize(last)
	table.Add("yes to in force at the last node of the majority's side", during.Count, Milliseconds(during.P50), Milliseconds(during.P99), Milliseconds(during.Max))
	table.Add("heal to the newest version at a node that was cut off", after.Count, Milliseconds(after.P50), Milliseconds(after.P99), Milliseconds(after.Max))
	table.Add("publishes at the side cut off", len(attempts), outcomes(attempts), "", "")
	printTable(table)
	if most := max(during.Max, after.Max); most > InForceLimit {
		t.Errorf("a version took %v, over %v", most, InForceLimit)
	}
}

// outcomes counts the ends of publishes.
func outcomes(publications []Publication) string {
	count := map[PublishOutcome]int{}
	for _, p := range publications {
		count[p.Outcome]++
	}
	return fmt.Sprintf("%d refused, %d unknown, %d accepted", count[PublishRefused], count[PublishUnknown], count[PublishAccepted])
}
