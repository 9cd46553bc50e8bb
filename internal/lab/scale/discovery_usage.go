package scale

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ownUsage is the memory and the descriptors of this process, including those of all its hollow nodes.
type ownUsage struct {
	rssBytes    int64
	descriptors int
}

// readOwnUsage returns the usage of this process, or zero if it is not wanted. It first collects garbage and returns the
// freed memory to the operating system.
func readOwnUsage(wanted bool) (usage ownUsage, err error) {
	if !wanted {
		return usage, nil
	}
	debug.FreeOSMemory()
	if usage.rssBytes, err = ownResidentMemory(); err != nil {
		return usage, err
	}
	usage.descriptors, err = countDescriptors()
	return usage, err
}

// ownResidentMemory returns the resident memory of this process, in bytes.
func ownResidentMemory() (int64, error) {
	const path = "/proc/self/statm" // sizes in pages; the second one is the resident size
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("scale: no resident memory in %s: %q", path, text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// ownProcessorTime returns the user and system processor time of all threads of this process.
func ownProcessorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0 // never fails for RUSAGE_SELF
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// descriptorsFolder is the folder in which the kernel lists the open files and sockets of this process.
const descriptorsFolder = "/proc/self/fd"

// countDescriptors returns how many files and sockets this process has open.
func countDescriptors() (int, error) {
	open, err := os.ReadDir(descriptorsFolder)
	return len(open), err
}
