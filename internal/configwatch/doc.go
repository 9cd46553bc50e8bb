// Package configwatch runs a node's session for configuration versions: it opens the watches that package configversion
// decides on, reads updates, lets an Applier bring configurations into force, sends acknowledgements and stores the
// last known good version. It decides nothing itself.
//
// All events meet in one goroutine, which never waits for I/O. Each open watch has a goroutine, and so have an apply,
// an acknowledgement and a write to disk while they are in progress; Close ends them all. cmd/hookwalk runs one session
// for its node, the scale rigs hundreds in one process.
package configwatch
