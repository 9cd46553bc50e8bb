package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"hookwalk.example/hookwalk/internal/node"
)

const (
	// goMemoryPercent is the highest percentage of the memory limit that the Go runtime may use. The rest is for socket
	// buffers, which the platform counts and the runtime does not.
	goMemoryPercent = 75

	// nonGoMemory is the memory in bytes that the runtime does not count either: thread stacks, the C library, and pages of
	// the program that are first used after the start.
	nonGoMemory = 2 << 20

	// minGoMemory is the lowest memory limit of the Go runtime, in bytes. With less, it would do little but collect garbage.
	minGoMemory = 8 << 20

	// minProgramPages is the least that is assumed for the resident pages of the program and its libraries, in bytes. At the start
	// only some of them are resident.
	minProgramPages = 11 << 20
)

// limitResources limits the process to the memory and the cores of its configuration, and returns the memory in bytes that the
// Go runtime may use (0: no limit).
func limitResources(cfg node.Config) (goMemory int64) {
	if cfg.MemoryMB > 0 {
		goMemory = limitGoMemory(int64(cfg.MemoryMB) << 20)
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	signal.Ignore(syscall.SIGXFSZ) // so that a write beyond the file size limit fails instead of terminating the node
	return goMemory
}

// limitGoMemory limits the Go runtime to its part of a memory limit, in bytes, and returns that part.
func limitGoMemory(memory int64) (goMemory int64) {
	goMemory = goMemoryLimit(memory, residentProgramPages())
	debug.SetMemoryLimit(goMemory)
	return goMemory
}

// goMemoryLimit returns how much of a memory limit the Go runtime may use, in bytes. The platform also counts the resident
// pages of the program itself, which are a third of the least memory.
func goMemoryLimit(memory, programPages int64) int64 {
	return max(min(memory*goMemoryPercent/100, memory-programPages-nonGoMemory), minGoMemory)
}

// residentProgramPages returns the size in bytes of the resident pages that come from files, the program and its libraries, but at
// least minProgramPages.
func residentProgramPages() int64 {
	text, err := os.ReadFile("/proc/self/statm") // sizes in pages: total, resident, and the resident part that comes from files
	if err != nil {
		return minProgramPages
	}
	fields := strings.Fields(string(text))
	if len(fields) < 3 {
		return minProgramPages
	}
	pages, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil || pages <= 0 {
		return minProgramPages
	}
	return max(pages*int64(os.Getpagesize()), minProgramPages)
}
