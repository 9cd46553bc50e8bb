package scale

import (
	"os"
	"testing"
)

// diskTopology is seven controllers with a few nodes: these rows are about disks, not about size.
var diskTopology = Topology{Regions: 4, ZonesPerRegion: 4, Controllers: 7, Nodes: 160, Services: 8}

// publishAndAwait publishes and waits until all is in force.
func publishAndAwait(rig *versionsRig, times int) {
	rig.Helper()
	for range times {
		rig.await(rig.mustPublish(rig.topology.ServiceNames()).Version, rig.fleet.Nodes())
	}
}

// replaceFolder gives a controller that does not run another folder of data; "": an empty one.
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

// copyFolder makes a copy of a controller's data while it does not run.
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

// follower is a controller that does not lead.
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

// publishesPerStep is how many versions are published between two steps.
const publishesPerStep = 3

// checkEmptiedDisk has a follower, and then the leader, come back with an empty folder.
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

// checkOldDisk has a follower, and then the leader, come back with the folder that it had some versions ago.
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

// checkCopiedDisk has a controller come up with the folder of another one. It may refuse to start, but may not harm;
// then it comes back with an empty folder.
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

// A controller that has lost or mixed up its disk must neither lose an accepted version nor bring back an old one: its
// folder is emptied, replaced by an older one, and by that of another controller.
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
