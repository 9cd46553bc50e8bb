package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Timing of a node's start.
const (
	nodeReadyTimeout = 30 * time.Second      // time until a started node must be ready; allows for a busy machine
	readyInterval    = 10 * time.Millisecond // between two readiness checks
)

// killDelay is the time from the first SIGTERM to SIGKILL. It is the shortest that the platform allows: 0.7 s plus the
// longest deadline in the nodes' settings.
const killDelay = 700*time.Millisecond + requestBudget

// nodeDescriptors is the file descriptor limit of each node, low enough for a ConnectionFlood to exhaust.
const nodeDescriptors = 512

// maxLogLineBytes is the length limit of a line of a node's log. It allows for a captured endpoint list, which is one line.
const maxLogLineBytes = 8 << 20

// nodeConfigFormat is the format of a node's configuration file. Its arguments are the node's index, its address, the
// address of discovery, the index, the descriptor limit, the bootstrap list, the mode of the lists, the number of nodes and the
// index.
const nodeConfigFormat = `{"name":"n%d","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x",
 "limits":{"cores":1,"memory_mb":128,"sockets":%d},"known":%s,
 "settings":{"registry-mode":%q,"balancers":%d,"me":%d,"rules":{"ask-within-ms":10000,"warm-after-ms":1000,"cold-from":0.2},
  "limits":{"conn-idle-ms":1000,"connect-timeout-ms":500,"max-attempts":3,"retry-after":true,"max-retry-after-ms":2000},
  "lanes":[{"name":"read","effect":"read_like","target-ms":500,"deadline-ms":2000,"worth":1},
   {"name":"write","effect":"non_idempotent","target-ms":500,"deadline-ms":2000,"worth":2}]}}`

// Program returns the command that runs one node with a configuration file.
type Program func(config string) *exec.Cmd

// node is a real node across all its incarnations.
type node struct {
	index     int
	nodeCount int
	mode      string // how the node gets its lists
	recorder  *recorder
	program   Program
	discovery *discovery
	config    string // path of the configuration file
	listen    string
	log       *os.File // log of all incarnations; nil if it is not kept

	mu               sync.Mutex // guards the fields below; held while an incarnation begins or begins to end
	discoveryAddress string
	process          *process // nil if no process runs
	ending           bool     // the process was sent SIGTERM or SIGKILL
	reloadDue        bool     // the configuration has changed since a process started that does not take SIGHUP yet
}

// process is the operating system process of one incarnation.
type process struct {
	command *exec.Cmd
	started time.Time
	ready   bool          // guarded by the lock of the node
	ended   chan struct{} // closed when the process has exited and its log was read
}

// newNode returns a node that does not run yet, and opens the address at which it calls discovery.
func newNode(index int, p Plan, recorder *recorder, d *discovery, program Program, folder string) (*node, error) {
	n := &node{index: index, nodeCount: p.Nodes, mode: listMode(p.Pushed), recorder: recorder, discovery: d, program: program}
	n.config = filepath.Join(folder, fmt.Sprintf("n%d.json", index))
	n.listen = fmt.Sprintf("%s:%d", nodeAddress(), firstNodePort+index)
	var err error
	n.discoveryAddress, err = d.openAddress(index)
	return n, err
}

// listMode returns the setting that says how nodes get their lists.
func listMode(pushed bool) string {
	if pushed {
		return "pushed"
	}
	return "on_request"
}

// firstNodePort is the port of the first node. Nodes use separate loopback addresses, so that neither another socket nor a
// parallel soak takes the port of a node that does not run.
const firstNodePort = 20000

// standInAddress returns the loopback address of discovery and servers.
func standInAddress() string { return processAddress(1) }

// nodeAddress returns the loopback address of the nodes.
func nodeAddress() string { return processAddress(2) }

// processAddress returns a loopback address that is derived from the process ID: one in 16,384 other processes shares it.
func processAddress(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, last)
}

// url returns the node's URL for clients.
func (n *node) url() string { return "http://" + n.listen }

// writeConfig writes the configuration file. The caller holds the lock.
func (n *node) writeConfig() error {
	bootstrap, err := json.Marshal(n.discovery.deliveredList(n.index))
	if err != nil {
		return err
	}
	text := fmt.Sprintf(nodeConfigFormat, n.index, n.listen, n.discoveryAddress, n.index, nodeDescriptors, bootstrap, n.mode, n.nodeCount, n.index)
	return os.WriteFile(n.config, []byte(text), 0o600)
}

// start starts an incarnation and waits until it is ready.
func (n *node) start() error {
	if err := n.launch(); err != nil {
		return err
	}
	for end := time.Now().Add(nodeReadyTimeout); time.Now().Before(end); {
		resp, err := http.Get(n.url() + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.recordLast(func(i *Incarnation) { i.Ready = n.recorder.now() })
				n.becameReady()
				return nil
			}
		}
		<-time.After(readyInterval)
	}
	return fmt.Errorf("node n%d is not ready after %v: see its log", n.index, nodeReadyTimeout)
}

// launch starts the process.
func (n *node) launch() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writeConfig(); err != nil {
		return err
	}
	command := n.program(n.config)
	stderr, err := command.StderrPipe()
	if err != nil {
		return err
	}
	n.recorder.record(func(o *Observations) {
		o.Incarnations = append(o.Incarnations, Incarnation{Node: n.index, Started: n.recorder.now()})
	})
	if err := command.Start(); err != nil {
		return err
	}
	n.process, n.ending, n.reloadDue = &process{command: command, started: time.Now(), ended: make(chan struct{})}, false, false
	go n.readLog(n.process, stderr)
	return nil
}

// readLog reads the log of an incarnation to its end. It records broken invariants, crashes, and an exit that no fault has
// caused.
func (n *node) readLog(p *process, stderr io.Reader) {
	defer close(p.ended)
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		line := lines.Text()
		if isNodeError(line) {
			n.recordError(line)
		}
		if n.log != nil {
			fmt.Fprintln(n.log, line)
		}
	}
	err := p.command.Wait()
	n.mu.Lock()
	expected := n.ending
	n.mu.Unlock()
	if !expected {
		n.recordError(fmt.Sprintf("the process exited without a signal from the soak: %v", err))
	}
}

// isNodeError reports whether a log line is about a broken invariant, a data race or a crash of the program.
func isNodeError(line string) bool {
	return strings.Contains(line, "invariant broken") || strings.HasPrefix(line, "panic:") ||
		strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE")
}

// recordError records an error of the node.
func (n *node) recordError(text string) {
	n.recorder.record(func(o *Observations) { o.NodeErrors = append(o.NodeErrors, fmt.Sprintf("n%d: %s", n.index, text)) })
}

// changeDiscovery opens a new address of discovery for the node, writes it to the configuration and sends SIGHUP.
func (n *node) changeDiscovery() error {
	address, err := n.discovery.openAddress(n.index)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.discoveryAddress = address
	if n.process == nil || n.ending {
		return nil
	}
	if err := n.writeConfig(); err != nil {
		return err
	}
	if !n.process.takesReload() {
		n.reloadDue = true
		return nil
	}
	return n.reload()
}

// reloadDelay is how long after its start a process may be sent SIGHUP. The platform sends none before, nor before the process
// is ready.
const reloadDelay = time.Second

// takesReload reports whether the platform may send SIGHUP to a process. The caller holds the lock of the node.
func (p *process) takesReload() bool { return p.ready && time.Since(p.started) >= reloadDelay }

// becameReady records that the running process is ready, and sends a SIGHUP that is due as soon as the process takes it.
func (n *node) becameReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	running := n.process
	if running == nil {
		return
	}
	running.ready = true
	time.AfterFunc(time.Until(running.started.Add(reloadDelay)), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process == running && n.reloadDue && !n.ending {
			n.reloadDue = false
			n.reload() // fails only if the process has exited, which readLog records
		}
	})
}

// reload sends SIGHUP, which announces a change of discovery's address. The caller holds the lock.
func (n *node) reload() error {
	n.recorder.record(func(o *Observations) {
		o.AddressChanges = append(o.AddressChanges, AddressChange{At: n.recorder.now(), Node: n.index})
	})
	if err := n.process.command.Process.Signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) { // readLog records the exit of a process that is done
		return err
	}
	return nil
}

// pause stops the process with SIGSTOP for a time.
func (n *node) pause(length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.ending {
		return
	}
	n.process.command.Process.Signal(syscall.SIGSTOP)
	<-time.After(length)
	n.process.command.Process.Signal(syscall.SIGCONT)
}

// kill ends an incarnation with SIGKILL and waits until it has exited. It returns false if no incarnation runs.
func (n *node) kill() bool {
	running := n.beginEnd(true)
	if running == nil {
		return false
	}
	running.command.Process.Kill()
	n.awaitEnd(running)
	return true
}

// restart sends a series of signals to end an incarnation. The first SIGTERM begins its end, and SIGKILL follows after
// killDelay. It returns false if no incarnation runs.
func (n *node) restart(interval time.Duration, signals ...syscall.Signal) bool {
	var running *process
	var killAt <-chan time.Time
	for i, signal := range signals {
		if i > 0 {
			<-time.After(interval)
		}
		if signal == syscall.SIGTERM && running == nil {
			if running = n.beginEnd(false); running == nil {
				return false
			}
			running.command.Process.Signal(signal)
			killAt = time.After(killDelay)
			continue
		}
		n.signal(running, signal)
	}
	select {
	case <-running.ended:
	case <-killAt:
		n.recordKill()
		running.command.Process.Kill()
	}
	n.awaitEnd(running)
	return true
}

// signal sends a signal to an incarnation or, if it is nil, to the one that runs.
func (n *node) signal(running *process, signal syscall.Signal) {
	if running == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		if running = n.process; running == nil || n.ending || signal == syscall.SIGHUP && !running.takesReload() {
			return
		}
	}
	running.command.Process.Signal(signal) // fails only if the process has exited
}

// beginEnd marks the running incarnation as ending, records when and how, and returns its process, or nil if none runs.
func (n *node) beginEnd(kill bool) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.ending {
		return nil
	}
	n.ending = true
	n.recordLast(func(i *Incarnation) {
		if now := n.recorder.now(); kill {
			i.Killed = now
		} else {
			i.Terminated = now
		}
	})
	return n.process
}

// recordKill records that an incarnation which did not exit after SIGTERM is sent SIGKILL.
func (n *node) recordKill() { n.recordLast(func(i *Incarnation) { i.Killed = n.recorder.now() }) }

// awaitEnd waits until an incarnation has exited, and records it.
func (n *node) awaitEnd(running *process) {
	<-running.ended
	n.recordLast(func(i *Incarnation) { i.Exited = n.recorder.now() })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = nil
}

// recordLast applies a change to the record of the node's last incarnation.
func (n *node) recordLast(change func(*Incarnation)) {
	n.recorder.record(func(o *Observations) {
		for i := len(o.Incarnations) - 1; i >= 0; i-- {
			if o.Incarnations[i].Node == n.index {
				change(&o.Incarnations[i])
				return
			}
		}
	})
}
