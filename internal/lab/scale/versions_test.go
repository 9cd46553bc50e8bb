package scale

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestVersions is the small form of the tests of configuration versions: three controllers and 24 nodes run the scenarios
// of the large forms one after another. It checks which versions are in force, their order and counts, but no speed.
func TestVersions(t *testing.T) {
	rig := newVersionsRig(t, rigOptions{topology: SmallTopology, relays: true, folder: t.TempDir()})
	for _, step := range []struct {
		name string
		run  func(*versionsRig)
	}{
		{"publishes while idle", checkPublishesWhileIdle},
		{"one service", checkOneService},
		{"bad versions", checkBadVersions},
		{"a leader killed", checkLeaderKilled},
		{"a follower stalled", checkFollowerStalled},
		{"a region partitioned", checkRegionPartitioned},
		{"zones killed", checkZonesKilled},
		{"all controllers killed", checkAllControllersKilled},
	} {
		t.Run(step.name, func(t *testing.T) {
			rig.TB = t
			step.run(rig)
			rig.verify()
		})
		rig.TB = t
	}
}

func checkPublishesWhileIdle(rig *versionsRig) {
	const publishes = 3
	before := rig.newest
	publishWithoutFaults(rig, publishes)
	if rig.newest != before+publishes {
		rig.Errorf("%d publishes raised the version from %d to %d", publishes, before, rig.newest)
	}
}

func checkOneService(rig *versionsRig) {
	publication := rig.mustPublish([]string{serviceName(1)})
	rig.await(publication.Version, rig.fleet.Nodes())
}

// checkBadVersions checks that nodes reject a bad version and keep the previous one in force.
func checkBadVersions(rig *versionsRig) {
	publication := rig.publishBad(rig.topology.ServiceNames())
	rig.await(publication.Version, rig.fleet.Nodes())
	rig.fleet.Audit(func(a *Audit) {
		if a.CameIntoForce(publication.ID) {
			rig.Error("a version that nodes cannot read came into force")
		}
	})
	rig.verify()
	rig.mustPublish(rig.topology.ServiceNames())
}

func checkLeaderKilled(rig *versionsRig) {
	fault := controllerFault{name: "leader killed", leader: true}
	round := publishDuringFault(rig, fault, rand.New(rand.NewPCG(1, 0)), true)
	if round.final.Outcome != PublishAccepted {
		rig.Errorf("the outcome of a repeated publish is %s", round.final.Outcome)
	}
}

func checkFollowerStalled(rig *versionsRig) {
	fault := controllerFault{name: "follower stalled", stall: true}
	publishDuringFault(rig, fault, rand.New(rand.NewPCG(2, 0)), true)
}

func checkRegionPartitioned(rig *versionsRig) {
	const publishes = 2
	const length = 2 * time.Second
	partition := newRegionPartition(rig, 0)
	partition.set(true)
	_, attempts := partition.publishDuringPartition(publishes, length)
	partition.checkNothingAccepted(attempts, Publication{Version: rig.newest})
	partition.set(false)
	rig.await(rig.newest, rig.fleet.Nodes())
}

func checkZonesKilled(rig *versionsRig) {
	for _, zones := range [][]int{{0}, rig.fleet.AllZones()} {
		if back := restartZones(rig, zones); back.watches < back.nodes {
			rig.Errorf("%d nodes restarted, but only %d watches were opened", back.nodes, back.watches)
		}
	}
}

func checkAllControllersKilled(rig *versionsRig) {
	for _, controller := range rig.cluster.Controllers {
		rig.cluster.Kill(controller)
	}
	before := rig.newest
	for _, controller := range rig.cluster.Controllers {
		if err := rig.cluster.Start(controller); err != nil {
			rig.Fatal(err)
		}
	}
	if newest := rig.awaitSameVersion(); newest < before {
		rig.Errorf("version %d was accepted, but the controllers restarted with %d", before, newest)
	}
	rig.mustPublish(rig.topology.ServiceNames())
}
