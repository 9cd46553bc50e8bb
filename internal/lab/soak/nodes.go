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

// nodeReady is how long a node may take until it says that it is ready.
const nodeReadyTimeout = 30 * time.Second

const nodeConfigFormat = `{"name":"n%d","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x",
 "limits":{"cores":1,"memory_mb":128,"sockets":512},"known":%s,
 "settings":{"registry-mode":"on_request","balancers":%d,"me":%d,"rules":{"ask-within-ms":10000,"warm-after-ms":1000,"cold-from":0.2},
  "limits":{"conn-idle-ms":1000,"connect-timeout-ms":500,"max-attempts":3,"retry-after":true,"max-retry-after-ms":2000},
  "lanes":[{"name":"read","effect":"read_like","target-ms":500,"deadline-ms":2000,"worth":1},
   {"name":"write","effect":"non_idempotent","target-ms":500,"deadline-ms":2000,"worth":2}]}}`

// Program gives the command that runs one node with a configuration file.
type Program func(config string) *exec.Cmd

// node is one real node, over its lives.
type node struct {
	index     int
	nodeCount int // nodes
	recorder  *recorder
	program   Program
	discovery *discovery
	config    string // its file
	listen    string

	mu               sync.Mutex // over what follows; a life begins and ends under it
	discoveryAddress string     // of discovery
	command          *exec.Cmd  // nil: it does not run
	ending           bool       // it was told to end, or killed
	ended            chan struct{}
}

func newNode(index, of int, rec *recorder, d *discovery, program Program, folder string) (*node, error) {
	n := &node{index: index, nodeCount: of, recorder: rec, discovery: d, program: program, config: filepath.Join(folder, fmt.Sprintf("n%d.json", index))}
	n.listen = fmt.Sprintf("%s:%d", nodeAddress(), firstNodePort+index)
	var err error
	n.discoveryAddress, err = d.openAddress(index)
	return n, err
}

// firstPort is that of the first node. Nodes have addresses of their own on loopback, so that no port of theirs is
// another's while they do not run, nor another soak's beside this one.
const firstNodePort = 20000

func standInAddress() string { return ownAddress(1) }

func nodeAddress() string { return ownAddress(2) }

// ownAddress is an address on loopback that this process has to itself, but for one in 16,384 others.
func ownAddress(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, last)
}

func (n *node) url() string { return "http://" + n.listen }

// write writes the configuration file. The caller holds the lock.
func (n *node) writeConfig() error {
	known, err := json.Marshal(n.discovery.currentList())
	if err != nil {
		return err
	}
	text := fmt.Sprintf(nodeConfigFormat, n.index, n.listen, n.discoveryAddress, n.index, known, n.nodeCount, n.index)
	return os.WriteFile(n.config, []byte(text), 0o600)
}

// start begins a life and waits until it is ready.
func (n *node) start() error {
	if err := n.launch(); err != nil {
		return err
	}
	for end := time.Now().Add(nodeReadyTimeout); time.Now().Before(end); {
		resp, err := http.Get(n.url() + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	return fmt.Errorf("node n%d is not ready after %v: look at its log", n.index, nodeReadyTimeout)
}

func (n *node) launch() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writeConfig(); err != nil {
		return err
	}
	c := n.program(n.config)
	stderr, err := c.StderrPipe()
	if err != nil {
		return err
	}
	n.recorder.record(func(f *Observations) {
		f.Incarnations = append(f.Incarnations, Incarnation{Node: n.index, Started: n.recorder.now()})
	})
	if err := c.Start(); err != nil {
		return err
	}
	n.command, n.ending, n.ended = c, false, make(chan struct{})
	go n.readLog(c, stderr, n.ended)
	return nil
}

// attend reads a life's log to its end.
func (n *node) readLog(c *exec.Cmd, stderr io.Reader, ended chan struct{}) {
	defer close(ended)
	complain := func(text string) {
		n.recorder.record(func(f *Observations) { f.Complaints = append(f.Complaints, fmt.Sprintf("n%d: %s", n.index, text)) })
	}
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, "invariant broken") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") ||
			strings.Contains(line, "DATA RACE") {
			complain(line)
		}
	}
	err := c.Wait()
	n.mu.Lock()
	expected := n.ending
	n.mu.Unlock()
	if !expected {
		complain(fmt.Sprintf("the process ended by itself: %v", err))
	}
}

// move names another address of discovery by SIGHUP.
func (n *node) changeDiscovery() error {
	address, err := n.discovery.openAddress(n.index)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.discoveryAddress = address
	if n.command == nil || n.ending {
		return nil
	}
	if err := n.writeConfig(); err != nil {
		return err
	}
	n.recorder.record(func(f *Observations) {
		f.AddressChanges = append(f.AddressChanges, AddressChange{At: n.recorder.now(), Node: n.index})
	})
	if err := n.command.Process.Signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) { // its end is a complaint
		return err
	}
	return nil
}

// pause holds the process up for a while.
func (n *node) pause(wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil || n.ending {
		return
	}
	n.command.Process.Signal(syscall.SIGSTOP)
	<-time.After(wait)
	n.command.Process.Signal(syscall.SIGCONT)
}

// stop ends a life, by SIGTERM or at once, and waits for its end. False: there was none to end.
func (n *node) stop(kill bool) bool {
	n.mu.Lock()
	if n.command == nil || n.ending {
		n.mu.Unlock()
		return false
	}
	n.ending = true
	process, ended := n.command, n.ended
	n.recorder.record(func(f *Observations) {
		for i := range f.Incarnations {
			if l := &f.Incarnations[i]; l.Node == n.index && l.Terminated == 0 && l.Killed == 0 {
				if now := n.recorder.now(); kill {
					l.Killed = now
				} else {
					l.Terminated = now
				}
			}
		}
	})
	n.mu.Unlock()
	if kill {
		process.Process.Kill()
	} else {
		process.Process.Signal(syscall.SIGTERM)
	}
	<-ended
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = nil
	return true
}
