// Package state persists state that a node needs after a restart, even if the node is killed at any moment. Each kind of
// state has its own file.
//
// A file is always replaced as a whole, contains a checksum and the name of its owner, and its previous version is kept as
// PATH.before. Therefore a crash at any moment leaves a usable file. The age of a file is measured with the machine's boot
// clock, which is not affected by steps of the wall clock and includes the time that the machine was suspended. The package
// stores bytes and does not interpret them.
//
//	format.go, version1.go  file format, checksum and age; the errors for unusable files
//	write.go                replacing a file, and the state that a crash in each step leaves
//	read.go                 reading the newest usable file
//	lock.go                 exclusion of other processes, with a timeout
//	store.go                one file for concurrent callers
package state

import "time"

// MaxFileSize is the maximum size of a file in bytes. A larger file was not written by this program, and reading it could
// exhaust the memory.
const MaxFileSize = 8 << 20

// UnknownAge is the age of a file that was written before the machine's last boot: it is unknown how long the machine was
// off.
const UnknownAge = time.Duration(-1)

// previousPath returns the path of the previous version of the file.
func previousPath(path string) string { return path + ".before" }
