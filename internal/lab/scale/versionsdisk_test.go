package scale

import (
	"os"
	"testing"
)

// diskTopology has seven controllers and few nodes, because these tests are about the controllers' disks, not about
// size.
var diskTopology = Topology{Regions: 4, ZonesPerRegion: 4, Controllers: 7, Nodes: 160, Services: 8}

// publishAndAwait publishes versions one after another and waits after each until it is in force at all nodes.
func publishAndAwait(rig *versionsRig, times int) {
	rig.Helper()
	for range times {
		rig.await(rig.mustPublish(rig.topology.ServiceNames()).Version, rig.fleet.Nodes())
	}
}

// replaceFolder replaces the data folder of a stopped controller by a copy of another folder, or by an empty folder if
// with is "".
func replaceFolder(t testing.TB, controller *Controller, with string) {
	t.Helper()
	err := os.RemoveAll(controller.Folder)
	if err == nil && with == "" {
		err = os.MkdirAll(controller.Folder, 0o700)
	}
	if err == nil && with != "" {
		err = os.CopyFS(controller.Folder, os.DirFS(with))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// copyFolder kills a controller, copies its data folder, restarts it, and waits until it has the newest version.
func copyFolder(rig *versionsRig, controller *Controller) (copied string) {
	rig.Helper()
	copied = rig.TempDir()
	rig.cluster.Kill(controller)
	if err := os.CopyFS(copied, os.DirFS(controller.Folder)); err != nil {
		rig.Fatal(err)
	}
	rig.start(controller)
	rig.awaitSameVersion()
	return copied
}

// start starts a controller.
func (r *versionsRig) start(controller *Controller) {
	r.Helper()
	if err := r.cluster.Start(controller); err != nil {
		r.Fatal(err)
	}
}

// follower returns a controller that is not the leader.
func (r *versionsRig) follower() *Controller {
	r.Helper()
	leader := r.leader()
	for _, controller := range r.cluster.Controllers {
		if controller != leader {
			return controller
		}
	}
	r.Fatal("no follower")
	return nil
}

// publishesPerStep is the number of versions published between two steps of a disk fault.
const publishesPerStep = 3

// checkEmptiedDisk restarts a follower, and then the leader, with an empty data folder.
func checkEmptiedDisk(rig *versionsRig) {
	for _, victim := range []*Controller{rig.follower(), rig.leader()} {
		rig.cluster.Kill(victim)
		replaceFolder(rig, victim, "")
		publishAndAwait(rig, publishesPerStep)
		rig.start(victim)
		publishAndAwait(rig, publishesPerStep)
		rig.awaitSameVersion()
	}
}

// checkOldDisk restarts a follower, and then the leader, with a copy of its data folder from some versions ago.
func checkOldDisk(rig *versionsRig) {
	for _, victim := range []*Controller{rig.follower(), rig.leader()} {
		old := copyFolder(rig, victim)
		publishAndAwait(rig, publishesPerStep)
		rig.cluster.Kill(victim)
		replaceFolder(rig, victim, old)
		publishAndAwait(rig, publishesPerStep)
		rig.start(victim)
		publishAndAwait(rig, publishesPerStep)
		rig.awaitSameVersion()
	}
}

// checkCopiedDisk starts a follower with a copy of the leader's data folder. The follower may refuse to start, but must
// not damage the cluster. Then it restarts with an empty data folder.
func checkCopiedDisk(rig *versionsRig) {
	source, victim := rig.leader(), rig.follower()
	copied := copyFolder(rig, source)
	rig.cluster.Kill(victim)
	replaceFolder(rig, victim, copied)
	rig.start(victim)
	publishAndAwait(rig, publishesPerStep)
	rig.cluster.Kill(victim)
	replaceFolder(rig, victim, "")
	rig.start(victim)
	publishAndAwait(rig, publishesPerStep)
	rig.awaitSameVersion()
}

// A cluster must neither lose an accepted version nor return to an old one when a controller loses its disk or gets the
// wrong one. The data folder of a controller is emptied, replaced by an older copy, and replaced by a copy of another
// controller's.
func TestVersionsDisks(t *testing.T) {
	largeOnly(t)
	rig := newVersionsRig(t, rigOptions{topology: diskTopology, folder: memoryFolder(t)})
	for _, step := range []struct {
		name string
		run  func(*versionsRig)
	}{
		{"emptied", checkEmptiedDisk},
		{"old", checkOldDisk},
		{"copied", checkCopiedDisk},
		{"all killed", checkAllControllersKilled},
	} {
		t.Run(step.name, func(t *testing.T) {
			rig.TB = t
			step.run(rig)
			rig.verify()
		})
		rig.TB = t
	}
}
