// Package configwatch runs a node's session for configuration versions. It carries out the decisions of package
// configversion: it opens watches, reads updates, passes configurations to an Applier, sends acknowledgements and
// stores the last known good version. It makes no decisions itself.
//
// One goroutine per session handles all events, and never waits for I/O. Further goroutines run the open watches and
// the apply, the acknowledgement and the write to disk that are in progress; Close waits for them. cmd/hookwalk runs
// one session for its node, whereas internal/lab/scale runs hundreds in one process.
package configwatch
