package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// ErrProcessGone means that a process has ended.
var ErrProcessGone = errors.New("the process has ended")

// errMalformedProc means that a file of /proc does not have the documented form.
var errMalformedProc = errors.New("a file of /proc is malformed")

// Usage is what a process uses of the limits that all processes of a node share.
type Usage struct {
	PrivateMemory int64 // resident memory in bytes, without pages of files: processes of the same program share those
	Descriptors   int   // open file descriptors
}

// Process is another process of the same node. Its fields distinguish it from a later process with the same ID.
type Process struct {
	ID      int
	started uint64 // in clock ticks since the system was booted
}

// FindProcess returns the process with an ID. The error is ErrProcessGone if there is none, or that of reading /proc.
func FindProcess(id int) (Process, error) {
	started, err := startOf(id)
	return Process{ID: id, started: started}, err
}

// Usage returns what the process uses now, as Linux reports it. It does not depend on the process, which may hang. The error is
// ErrProcessGone if the process has ended, or that of reading /proc.
func (p Process) Usage() (Usage, error) {
	started, err := startOf(p.ID)
	if err != nil {
		return Usage{}, err
	}
	if started != p.started {
		return Usage{}, ErrProcessGone
	}
	memory, err := privateMemory(p.ID)
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := countDescriptors(p.ID)
	if err != nil {
		return Usage{}, err
	}
	return Usage{PrivateMemory: memory, Descriptors: descriptors}, nil
}

// startOf returns when a process was started. A process that has ended and was not waited for counts as gone.
func startOf(id int) (started uint64, err error) {
	const stateField, startField = 0, 19 // of the fields that follow the name, which may contain any character but ends with ")"
	text, err := readProc(id, "stat")
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= startField {
		return 0, errMalformedProc
	}
	if state := fields[stateField]; state[0] == 'Z' || state[0] == 'X' {
		return 0, ErrProcessGone
	}
	return strconv.ParseUint(string(fields[startField]), 10, 64)
}

// privateMemory returns the resident memory of a process in bytes, without pages of files.
func privateMemory(id int) (memory int64, err error) {
	text, err := readProc(id, "statm")
	if err != nil {
		return 0, err
	}
	var total, resident, shared int64
	if _, err := fmt.Sscan(string(text), &total, &resident, &shared); err != nil {
		return 0, errMalformedProc
	}
	return (resident - shared) * int64(os.Getpagesize()), nil
}

// countDescriptors returns how many file descriptors a process has open.
func countDescriptors(id int) (count int, err error) {
	folder, err := os.Open(procPath(id, "fd"))
	if err != nil {
		return 0, goneIfMissing(err)
	}
	defer folder.Close()
	const batch = 256 // names
	for {
		names, err := folder.Readdirnames(batch)
		count += len(names)
		if errors.Is(err, io.EOF) {
			return count, nil
		}
		if err != nil {
			return 0, goneIfMissing(err)
		}
	}
}

// readProc returns the text of a file of /proc about a process.
func readProc(id int, name string) ([]byte, error) {
	text, err := os.ReadFile(procPath(id, name))
	return text, goneIfMissing(err)
}

func procPath(id int, name string) string { return fmt.Sprintf("/proc/%d/%s", id, name) }

// goneIfMissing returns ErrProcessGone in place of the errors that a file of /proc causes if its process does not exist.
func goneIfMissing(err error) error {
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, unix.ESRCH) {
		return ErrProcessGone
	}
	return err
}

// PeerProcess returns the process at the other end of the connection. The error is ErrProcessGone if it has ended, or is in
// another namespace of processes, or an error of the operating system.
func (c *Conn) PeerProcess() (Process, error) {
	id, err := peerID(c.socket)
	if err != nil {
		return Process{}, err
	}
	return FindProcess(id)
}

// peerID returns the process ID at the other end of a Unix socket (SO_PEERCRED).
func peerID(socket *net.UnixConn) (id int, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *unix.Ucred
	var socketErr error
	err = raw.Control(func(fd uintptr) {
		credentials, socketErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil || socketErr != nil {
		return 0, errors.Join(err, socketErr)
	}
	return int(credentials.Pid), nil
}
