// Package scale measures the cost of one instance of a role as the system grows. It starts real processes on loopback,
// or hollow nodes (kubemark's term: real control sessions without a data path), measures counts, bytes, processor time
// and memory, and fits a line through the points. docs/CAPACITY.md is derived from its measurements.
//
// The measurements run as tests of this package. Their small form runs with every `go test` and only checks counts and
// bytes against bounds. The large form, selected by the flag -scale.large, prints the tables of docs/CAPACITY.md.
//
// datapath*.go measure requests that pass through nodes; nodeload*.go, a node without requests; discovery*.go, hollow
// nodes that share one discovery service; membership*.go, members of internal/peers; hollow*.go and versions*.go,
// configuration versions.
package scale
