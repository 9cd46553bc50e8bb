// Package configversion makes the decisions about configuration versions. It is pure: it does no I/O, reads no clock
// and starts no goroutines. Callers report events, pass in the time and a random seed, and carry out the returned
// actions.
//
// At a node, a Session decides which versions to apply and which controller to watch. Package internal/configwatch
// drives it. Each rule has its own file:
//
//	acceptance.go         which versions are applied or rejected (version acceptance)
//	class.go              which configurations would leave a class of requests without servers
//	acknowledgement.go    the order of acknowledgements, their retries and backoff
//	watch.go              the states of a watch
//	watchset.go           the open watches of a node
//	watchopening.go       connecting: timeouts, hedged watches, backoff
//	watchsilence.go       heartbeats and the silence timeout
//	controllerchoice.go   which controller is watched
//	controllersearch.go   the search for a controller that is in contact with a leader
//	watchmigration.go     requests from a controller to migrate to another one
//
// At a controller, a Placement decides how many sessions to admit (placement.go) and which sessions to migrate to other
// controllers (migration.go). Package internal/controller drives it.
//
// For operators, MergeStatuses determines at which nodes a version is in force (rollout.go).
package configversion
