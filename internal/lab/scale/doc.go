// Package scale measures what one instance of a role costs as the system grows: it starts real processes on loopback, or
// hollow nodes (kubemark's term: real control sessions without a data path), reads counts, bytes, processor time and
// memory, and fits a line through the points. docs/CAPACITY.md is derived from its measurements.
//
// The package's tests are its programs. Their small form runs with every `go test` and only checks counts and bytes
// against bounds; the large form, chosen by the flag -scale.large, prints the tables of docs/CAPACITY.md.
//
// datapath*.go measure a request's way through nodes, nodeload*.go a node without requests, discovery*.go hollow nodes at
// a shared discovery, membership*.go members of internal/peers, hollow*.go and versions*.go configuration versions.
package scale
