// Package soak runs a few dozen real nodes under random, overlapping faults of discovery, servers, clients and the node
// processes, and checks the observations from outside against the operators' rules. Broken invariants that nodes report
// themselves count as violations too. A plan of faults is drawn from a seed. Discovery, servers and clients are stand-ins
// in this process, so that all observations share one clock.
//
// plan.go draws the faults, run.go injects them, and violations.go checks the observations of observations.go.
// discovery.go, servers.go, clients.go and nodes.go contain the stand-ins and the node processes. The package is used by
// `hookwalk lab soak` and by the tests of cmd/hookwalk.
package soak
