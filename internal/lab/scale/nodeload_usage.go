package scale

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the resource usage of a process at one moment.
type Usage struct {
	CPU          time.Duration // processor time, user and system, of all threads since the start
	RSSBytes     int64         // resident memory
	PrivateBytes int64         // the part of RSSBytes that no other process shares
	Descriptors  int           // open files and sockets
}

// ReadUsage reads the resource usage of a process.
func ReadUsage(pid int) (Usage, error) {
	var usage Usage
	var err error
	if usage.CPU, err = processorTime(pid); err != nil {
		return usage, fmt.Errorf("scale: processor time of process %d: %w", pid, err)
	}
	memory, err := readKilobytes(fmt.Sprintf("/proc/%d/smaps_rollup", pid))
	if err != nil {
		return usage, fmt.Errorf("scale: memory of process %d: %w", pid, err)
	}
	usage.RSSBytes = memory["Rss"]
	usage.PrivateBytes = memory["Private_Clean"] + memory["Private_Dirty"]
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return usage, fmt.Errorf("scale: descriptors of process %d: %w", pid, err)
	}
	usage.Descriptors = len(descriptors)
	return usage, nil
}

// processorTime reads the processor-time clock of a process, which counts nanoseconds. /proc/PID/stat counts only
// hundredths of a second.
func processorTime(pid int) (time.Duration, error) {
	const scheduled = 2 // CPUCLOCK_SCHED: the scheduler's count of the time of all threads
	clock := int32(^pid)<<3 | scheduled
	var spent unix.Timespec
	if err := unix.ClockGettime(clock, &spent); err != nil {
		return 0, err
	}
	return time.Duration(spent.Nano()), nil
}

// readKilobytes reads lines of the form "Name: 123 kB" and returns the values in bytes, by name.
func readKilobytes(path string) (map[string]int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	bytes := map[string]int64{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 || fields[2] != "kB" {
			continue
		}
		kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return nil, err
		}
		bytes[strings.TrimSuffix(fields[0], ":")] = kilobytes << 10
	}
	return bytes, lines.Err()
}
