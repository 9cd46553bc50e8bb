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

// ownUsage is the memory and the descriptors of this process, whose hollow nodes share them.
type ownUsage struct {
	rssBytes    int64
	descriptors int
}

// readOwnUsage reads them, if they are wanted. What is garbage by then goes back to the system first.
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

// ownResidentMemory is the resident memory of this process, in bytes.
func ownResidentMemory() (int64, error) {
	const path = "/proc/self/statm" // sizes in pages; the second one is the resident size
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("scale: %s has no resident memory: %q", path, text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// ownProcessorTime is the processor time of this process, user and system, of all threads.
func ownProcessorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0 // it fails only for another target
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// descriptorsFolder lists the open files and sockets of this process.
const descriptorsFolder = "/proc/self/fd"

// countDescriptors is how many files and sockets this process has open.
func countDescriptors() (int, error) {
	open, err := os.ReadDir(descriptorsFolder)
	return len(open), err
}
