// Package soak runs a few dozen real nodes against random, overlapping faults of discovery, servers, clients and the
// nodes' own processes, and checks what is observed from outside against the operators' rules; invariants that nodes
// themselves report as broken count too. A plan is drawn from a seed. Discovery, servers and clients are stand-ins in this
// process, so that all observations share one clock.
//
// plan.go draws the faults, run.go injects them, violations.go checks observations.go; discovery.go, servers.go,
// clients.go and nodes.go are what is run. Called by `hookwalk lab soak` and by the tests of cmd/hookwalk.
package soak
