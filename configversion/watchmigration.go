package configversion

import "time"

// Migration: a controller that has too many sessions, or shuts down, asks nodes to move to another one. The node probes
// the target, and closes its main watch only when the target brings an update that is no worse (chooseMain), so that a
// migration never leaves it without a watch.

// migrationRetryDelay is how long requests to migrate are ignored after one that failed: a controller whose view of the
// target is out of date repeats its request.
const migrationRetryDelay = 5 * time.Second

// migrationRequested notes a request of the main watch's controller to migrate to an address. It is ignored if the
// target is being watched or avoided, or if a migration failed lately.
func (s *Session) migrationRequested(address string) {
	set := &s.watches
	if s.now < set.migrationsAllowedAt || set.isOpenAt(address) || s.now < set.avoidedUntil[address] {
		return
	}
	set.migrateTo = address
}
