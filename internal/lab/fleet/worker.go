package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/loopback"
)

const (
	// workerTimeout is the maximum time that a worker may take to become ready, and to exit.
	workerTimeout = 20 * time.Second

	// maxUnread is the maximum number of messages queued for a stopped worker, in addition to what its pipe buffers.
	maxUnread = 4096
)

// worker is a process of the rig other than a node. It runs the servers of one machine, discovery, or the clients.
type worker struct {
	rig          *rig
	name         string
	role         string
	servers      [][2]int // tier and index of each
	incarnation  int
	activeFaults int // number of active faults that keep it down

	mu       sync.Mutex
	cmd      *exec.Cmd
	outgoing chan []byte // messages to the process; nil: no more can be sent
	exited   chan struct{}
	killed   bool // its exit is expected
}

// startCommand starts a process that does not outlive the parent, however the parent ends. The kernel sends the signal
// when the thread that started the process ends, so one permanent thread starts all processes.
func (r *rig) startCommand(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	err := make(chan error, 1)
	r.commands <- func() { err <- cmd.Start() }
	return <-err
}

// send queues a message. It drops the message if the worker has exited, and never blocks on a stopped worker.
func (w *worker) send(m loopback.Message) {
	text, err := json.Marshal(m)
	if err != nil {
		w.rig.cancel(fmt.Errorf("%s: %w", w.name, err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outgoing == nil {
		return
	}
	select {
	case w.outgoing <- append(text, '\n'):
	default:
		w.rig.cancel(fmt.Errorf("worker %s does not read its messages: %d are queued", w.name, maxUnread))
	}
}

// writeMessages writes messages to a worker until the channel is closed, and then closes the worker's pipe.
func writeMessages(in io.WriteCloser, outgoing <-chan []byte) {
	defer in.Close()
	for text := range outgoing {
		in.Write(text) // an error means that the worker has exited
	}
}

// closeOutgoing stops sending messages to the worker. The caller holds mu.
func (w *worker) closeOutgoing() {
	if w.outgoing != nil {
		close(w.outgoing)
		w.outgoing = nil
	}
}

// start starts an incarnation of the worker. It adds the common fields to init, sends it as OpInit, and returns the
// worker's OpReady.
func (w *worker) start(init loopback.Message) (loopback.Message, error) {
	r := w.rig
	w.incarnation++
	init.Operation, init.Scenario, init.Role, init.Servers, init.Ports = loopback.OpInit, r.scenario, w.role, w.servers, r.portBlock
	init.History = filepath.Join(r.dir, fmt.Sprintf("%s.%d.jsonl", w.name, w.incarnation))
	ready, exited, err := w.launch(init.History)
	if err != nil {
		return init, err
	}
	w.send(init)
	select {
	case m := <-ready:
		if m.Err != "" {
			return m, fmt.Errorf("%s: %s", w.name, m.Err)
		}
		return m, nil
	case <-exited:
		return init, fmt.Errorf("worker %s exited before it was ready", w.name)
	case <-time.After(workerTimeout):
		return init, fmt.Errorf("worker %s is not ready after %v", w.name, workerTimeout)
	case <-r.ctx.Done():
		return init, context.Cause(r.ctx)
	}
}

// logFile returns the file that receives the worker's standard error.
func (w *worker) logFile() string { return filepath.Join(w.rig.dir, w.name+".log") }

// launch starts the process and the goroutines that write to it and read from it. ready receives its OpReady, and exited is
// closed when the process has exited.
func (w *worker) launch(history string) (ready chan loopback.Message, exited chan struct{}, err error) {
	r := w.rig
	cmd := exec.Command(r.options.Program[0], append(append([]string(nil), r.options.Program[1:]...), "lab", "part")...)
	cmd.Env = append(os.Environ(), append(slices.Clone(r.options.Env), "TMPDIR="+r.dir)...)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	log, err := os.OpenFile(w.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	cmd.Stderr = log
	err = r.startCommand(cmd)
	log.Close()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", w.name, err)
	}
	outgoing := make(chan []byte, maxUnread)
	ready, exited = make(chan loopback.Message, 1), make(chan struct{})
	w.mu.Lock()
	w.cmd, w.outgoing, w.exited, w.killed = cmd, outgoing, exited, false
	w.mu.Unlock()
	r.addHistory(history)
	r.wg.Go(func() { writeMessages(in, outgoing) })
	stopKilling := context.AfterFunc(r.ctx, func() { cmd.Process.Kill() }) // also kills a process that starts during shutDown
	r.wg.Go(func() {
		defer stopKilling()
		w.readMessages(out, ready)
		w.ended(cmd.Wait(), exited)
	})
	return ready, exited, nil
}

// readMessages handles what the worker sends until it closes its pipe.
func (w *worker) readMessages(out io.Reader, ready chan<- loopback.Message) {
	lines := bufio.NewReader(out)
	for {
		text, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var m loopback.Message
		if err := json.Unmarshal(text, &m); err != nil {
			w.rig.cancel(fmt.Errorf("%s: %w", w.name, err))
			continue
		}
		if m.Operation == loopback.OpReady {
			ready <- m
			continue
		}
		w.rig.handleMessage(w, m)
	}
}

// ended handles the exit of the process. An unexpected exit cancels the play.
func (w *worker) ended(err error, exited chan struct{}) {
	w.mu.Lock()
	killed := w.killed
	w.closeOutgoing()
	w.mu.Unlock()
	close(exited)
	if !killed {
		w.rig.cancel(fmt.Errorf("worker %s exited unexpectedly: %v; its log is %s", w.name, err, w.logFile()))
	}
}

// signal sends a signal to the worker if it is running.
func (w *worker) signal(s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd == nil || w.outgoing == nil {
		return
	}
	w.killed = w.killed || s == syscall.SIGKILL
	w.cmd.Process.Signal(s) // an error means that the process has just exited
}

// stop ends a worker by closing its pipe, and kills it if it does not exit within workerTimeout.
func (w *worker) stop() {
	w.mu.Lock()
	cmd, exited := w.cmd, w.exited
	w.killed = true
	w.closeOutgoing()
	w.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT) // in case a fault has stopped it
	select {
	case <-exited:
	case <-time.After(workerTimeout):
		cmd.Process.Kill()
		<-exited
	}
}
