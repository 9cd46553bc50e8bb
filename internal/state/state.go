// Package state keeps on disk what a node must still know after it was ended at any moment: one file for each thing.
//
// A file is replaced as a whole, has a checksum, names its owner, and has its previous version beside it (PATH.before), so
// that a crash at any moment leaves one that can be used. Its age is measured by the machine's boot clock, which neither a
// step of the wall clock nor a sleep of the machine distorts. The package stores bytes; what they mean is its callers'.
//
//	format.go, version1.go  the form of a file, its checksum and age; the errors of one that can't be used
//	write.go                replacing a file, and which crash each step survives
//	read.go                 the newest file that can be used
//	lock.go                 exclusion of other processes, with a time-out
//	store.go                one file for many callers at once
package state

import "time"

// MaxFileSize is how long a file may be, in bytes. What is longer is not of this program, and would fill the memory.
const MaxFileSize = 8 << 20

// UnknownAge is the age of a file that was not written since the machine booted: how long it was off is not known.
const UnknownAge = time.Duration(-1)

// previousPath is where the file before the last is kept.
func previousPath(path string) string { return path + ".before" }
