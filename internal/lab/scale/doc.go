// Package scale measures what one instance of a role costs as the system grows: it starts real processes, or hollow
// ones that lack the data path, on loopback, reads counts, bytes, processor time and memory, and fits a line through
// the points. docs/CAPACITY.md is worked out from its figures.
//
// The package's tests are its programs. Their small form runs with every `go test` and only holds counts and bytes to
// bounds; the large form, chosen by the flag -scale.large, prints the tables of docs/CAPACITY.md.
package scale
