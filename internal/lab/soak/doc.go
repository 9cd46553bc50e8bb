// Package soak plays a few dozen real nodes against random, overlapping faults of discovery, servers, clients and the
// nodes' own processes, and holds what is seen from outside to the operators' rules; what the nodes' own invariants count
// is held against them too. A plan is drawn from a seed. Discovery, servers and clients are stand-ins in this process, so
// that all that is seen has one clock.
//
// plan.go draws, play.go runs, judge.go judges; discovery.go, servers.go, clients.go and nodes.go are what is played.
// Called by `hookwalk lab soak` and by the tests of cmd/hookwalk.
package soak
