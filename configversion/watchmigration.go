package configversion

import "time"

// Migration: a controller that has too many sessions, or that is shutting down, asks nodes to migrate to another one.
// The node probes the target, and closes its main watch only when it has received an update from the target and the
// target is no worse (chooseMain). A migration therefore never leaves the node without a watch.

// migrationRetryDelay is how long the node ignores migration requests after a failed migration. A controller whose
// information about the target is outdated repeats its request.
const migrationRetryDelay = 5 * time.Second

// migrationRequested handles a request from the main watch's controller to migrate to an address. The request is
// ignored if the target is being watched or avoided, or if a migration failed recently.
func (s *Session) migrationRequested(address string) {
	set := &s.watches
	if s.now < set.migrationsAllowedAt || set.isOpenAt(address) || s.now < set.avoidedUntil[address] {
		return
	}
	set.migrateTo = address
}
