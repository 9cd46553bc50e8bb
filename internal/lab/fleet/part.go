// A part of a fleet: one process, told and heard in lines of JSON.

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

// worker is a process of the rig that is no node.
type worker struct {
	rig          *rig
	name         string
	role         string
	servers      [][2]int
	incarnation  int
	activeFaults int // troubles that have it down at present

	mu       sync.Mutex
	cmd      *exec.Cmd
	outgoing chan []byte // to it, until nil
	ready    chan loopback.Message
	exited   chan struct{}
	killed   bool
}

// startCommand starts a process that does not outlive the parent, whatever ends that.
func (r *rig) startCommand(cmd *exec.Cmd) error {
	// The system's signal comes when the thread that started a process ends: one thread starts all, and stays.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	err := make(chan error, 1)
	r.commands <- func() { err <- cmd.Start() }
	return <-err
}

// maxUnread is how many lines a part that is stopped may leave unread beside what its pipe takes.
const maxUnread = 4096

// send sends a line to a part. One that is gone needs none; one that is stopped holds up nobody.
func (p *worker) send(m loopback.Message) {
	text, err := json.Marshal(m)
	if err != nil {
		p.rig.cancel(fmt.Errorf("%s: %w", p.name, err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outgoing == nil {
		return
	}
	select {
	case p.outgoing <- append(text, '\n'):
	default:
		p.rig.cancel(fmt.Errorf("%s reads nothing", p.name))
	}
}

// writeMessages writes what a part is told until that is over, and closes its pipe.
func writeMessages(in io.WriteCloser, words <-chan []byte) {
	defer in.Close()
	for text := range words {
		in.Write(text) // one that is gone needs none
	}
}

// closeOutgoing ends what a part is told. The caller holds mu.
func (p *worker) closeOutgoing() {
	if p.outgoing != nil {
		close(p.outgoing)
		p.outgoing = nil
	}
}

// start begins a life of a part and returns what it says once it is ready.
func (p *worker) start(m loopback.Message) (loopback.Message, error) {
	r := p.rig
	p.incarnation++
	m.Operation, m.Scenario, m.Role, m.Servers, m.Ports = loopback.OpInit, r.scenario, p.role, p.servers, r.portBlock
	m.History = filepath.Join(r.dir, fmt.Sprintf("%s.%d.jsonl", p.name, p.incarnation))
	cmd := exec.Command(r.options.Program[0], append(append([]string(nil), r.options.Program[1:]...), "lab", "part")...)
	cmd.Env = append(os.Environ(), append(slices.Clone(r.options.Env), "TMPDIR="+r.dir)...)
	in, err := cmd.StdinPipe()
	if err != nil {
		return m, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return m, err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return m, err
	}
	cmd.Stderr = log
	err = r.startCommand(cmd)
	log.Close()
	if err != nil {
		return m, fmt.Errorf("%s: %w", p.name, err)
	}
	ready, exited := make(chan loopback.Message, 1), make(chan struct{})
	p.mu.Lock()
	words := make(chan []byte, maxUnread)
	p.cmd, p.outgoing, p.ready, p.exited, p.killed = cmd, words, ready, exited, false
	p.mu.Unlock()
	r.wg.Go(func() { writeMessages(in, words) })
	over := context.AfterFunc(r.ctx, func() { cmd.Process.Kill() }) // also one that begins as the fleet ends
	r.mu.Lock()
	r.histories = append(r.histories, m.History)
	r.mu.Unlock()
	r.wg.Go(func() {
		defer over()
		lines := bufio.NewReader(out)
		for {
			text, err := lines.ReadBytes('\n')
			if err != nil {
				break
			}
			var got loopback.Message
			if err := json.Unmarshal(text, &got); err != nil {
				r.cancel(fmt.Errorf("%s: %w", p.name, err))
				continue
			}
			if got.Operation == loopback.OpReady {
				ready <- got
				continue
			}
			r.handleMessage(p, got)
		}
		err := cmd.Wait()
		p.mu.Lock()
		killed := p.killed
		p.closeOutgoing()
		p.mu.Unlock()
		close(exited)
		if !killed {
			r.cancel(fmt.Errorf("%s ended by itself: %v; see %s", p.name, err, filepath.Join(r.dir, p.name+".log")))
		}
	})
	p.send(m)
	select {
	case got := <-ready:
		if got.Err != "" {
			return got, fmt.Errorf("%s: %s", p.name, got.Err)
		}
		return got, nil
	case <-exited:
		return m, fmt.Errorf("%s ended before it was ready", p.name)
	case <-time.After(workerTimeout):
		return m, fmt.Errorf("%s is not ready", p.name)
	case <-r.ctx.Done():
		return m, context.Cause(r.ctx)
	}
}

const workerTimeout = 20 * time.Second

// signal sends a signal to a part that runs.
func (p *worker) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.outgoing == nil {
		return
	}
	p.killed = p.killed || s == syscall.SIGKILL
	p.cmd.Process.Signal(s) // one that has just ended needs none
}

// stop ends a part as it is meant to, by closing its pipe.
func (p *worker) stop() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.killed = true
	p.closeOutgoing()
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-exited:
	case <-time.After(workerTimeout):
		cmd.Process.Kill()
		<-exited
	}
}
