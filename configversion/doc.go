// Package configversion holds the decisions about configuration versions. It is pure: no I/O, no clock, no goroutines.
// Callers report what happened, pass in the time and a seed, and carry out the actions that are returned.
//
// At a node, a Session decides which versions are applied and which controller is watched. Package
// internal/configwatch drives it. Each rule has a file of its own:
//
//	acceptance.go         which version of an update is applied or rejected (version acceptance)
//	class.go              which configurations would leave a class of requests without servers
//	acknowledgement.go    in which order decisions are acknowledged, retries and backoff
//	watch.go              the states of a watch
//	watchset.go           the open watches of a node
//	watchopening.go       connecting: timeouts, hedged watches, backoff
//	watchsilence.go       heartbeats and the silence timeout
//	controllerchoice.go   which controller is watched
//	controllersearch.go   the search for a controller that has a leader
//	watchmigration.go     requests of a controller to move to another one
//
// At a controller, a Placement decides how many sessions it admits (placement.go) and which of its own it migrates
// (migration.go). Package internal/controller drives it.
//
// For operators, MergeStatuses says where a version is in force (rollout.go).
package configversion
