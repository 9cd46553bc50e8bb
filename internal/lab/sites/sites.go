// Package sites runs an installation of three sites whose nodes are processes of the program. Each pair of nodes can be
// joined by a separate link for streams and packets, on which faults are injected. The package depends only on the
// program's settings, its configuration and the responses of its admin API. The callers define the conditions to check.
package sites

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
)

// Names lists the sites: a root and its two children.
var Names = []string{"dc", "okanagan", "similkameen"}

// Options configures an installation.
type Options struct {
	Program      []string // command line, to which `run --settings FILE` is appended
	Env          []string // NAME=VALUE, added to the environment
	Dir          string   // holds the settings, the key and the nodes' folders
	NodesPerSite int
	Links        bool                              // each pair has a link; otherwise nodes connect directly
	Config       func(name, control string) string // returns a node's configuration file for its name and admin address
}

// Installation is a running installation. Its methods must be called from one goroutine.
type Installation struct {
	Nodes []*Node

	options Options
	ports   int // first port of the claimed block (see link.ClaimPorts)
	release func()
	links   map[nodePair]*link.PeerLink
}

// nodePair holds the names of a calling node and of the node that it calls.
type nodePair struct{ caller, called string }

// Node is a node of an installation, across all of its incarnations.
type Node struct {
	Name    string
	Site    string
	Folder  string // holds the node's state
	Control string // address of its admin API

	listen   string // address for calls and packets from its peers
	config   string // its configuration file
	settings string // its settings file
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	log      *logBuffer    // stderr of the current process
}

// aliveState is the admin API's state of an alive member.
const aliveState = "here"

// View is the part of a node's /control/sites response that the lab reads.
type View struct {
	Self string `json:"Self"`
	Me   struct {
		Start uint64 `json:"Start"`
	} `json:"Me"`
	Members []struct {
		Name  string `json:"Name"`
		State string `json:"State"`
	} `json:"Members"`
	Sent   int64  `json:"Sent"`
	Failed uint64 `json:"Failed"`
}

// Alive returns the number of alive members, including the node itself.
func (v View) Alive() int {
	n := 1
	for _, m := range v.Members {
		if m.State == aliveState {
			n++
		}
	}
	return n
}

// State returns the node's view of a member's state, or "" if the node does not know the member.
func (v View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// logBuffer collects the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// nodePortOffset is the offset of the nodes' ports in the block. Links use only ports below it (see link.ForNode).
const nodePortOffset = 3000

// portsPerNode is the number of ports of a node: one for its peers and one for its admin API.
const portsPerNode = 2

// clusterKey is the key that all nodes share. It is used only in tests.
const clusterKey = "0123456789abcdef"

// Start starts an installation. It returns when all processes have been started, before the nodes have discovered each
// other. The caller must call Close, even after an error.
func Start(ctx context.Context, o Options) (in *Installation, err error) {
	in = &Installation{options: o, links: map[nodePair]*link.PeerLink{}}
	if in.ports, in.release, err = link.ClaimPorts(ctx); err != nil {
		return in, err
	}
	for _, site := range Names {
		for i := range o.NodesPerSite {
			in.Nodes = append(in.Nodes, in.newNode(fmt.Sprintf("%s-%d", site, i), site))
		}
	}
	if o.Links {
		if err := in.openLinks(); err != nil {
			return in, err
		}
	}
	if err := in.writeSettings(); err != nil {
		return in, err
	}
	for _, n := range in.Nodes {
		if err := in.StartNode(n); err != nil {
			return in, err
		}
	}
	return in, nil
}

// newNode returns the next node, with its addresses assigned.
func (in *Installation) newNode(name, site string) *Node {
	port := in.ports + nodePortOffset + portsPerNode*len(in.Nodes)
	return &Node{Name: name, Site: site, Folder: filepath.Join(in.options.Dir, name),
		listen:  fmt.Sprintf("127.0.0.1:%d", port),
		Control: fmt.Sprintf("127.0.0.1:%d", port+1)}
}

// openLinks opens a link for each pair of nodes, in each direction.
func (in *Installation) openLinks() error {
	for _, caller := range in.Nodes {
		for _, called := range in.Nodes {
			if caller == called {
				continue
			}
			peerLink, err := link.OpenPeerLink(in.ports, called.listen)
			if err != nil {
				return err
			}
			in.links[nodePair{caller.Name, called.Name}] = peerLink
		}
	}
	return nil
}

// settingsFormat is the format of a node's settings file. The arguments are its site, its listen address for peers, two
// seeds, the key file, its folder, and the links through which it reaches the other nodes.
const settingsFormat = `site "dc" {}
site "okanagan" { parent = "dc" }
site "similkameen" { parent = "dc" }
peers {
  site = %q listen = %q seeds = [%q, %q] key_file = %q label = "benchland" folder = %q
  via = [%s]
}
`

// writeSettings writes each node's settings and configuration and creates its folder.
func (in *Installation) writeSettings() error {
	key := filepath.Join(in.options.Dir, "key")
	if err := os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString([]byte(clusterKey))+"\n"), 0o600); err != nil {
		return err
	}
	for _, n := range in.Nodes {
		n.settings = filepath.Join(in.options.Dir, n.Name+".hcl")
		n.config = filepath.Join(in.options.Dir, n.Name+".json")
		err := errors.Join(
			os.WriteFile(n.settings, []byte(in.settingsOf(n, key)), 0o600),
			os.WriteFile(n.config, []byte(in.options.Config(n.Name, n.Control)), 0o600),
			os.MkdirAll(n.Folder, 0o700))
		if err != nil {
			return err
		}
	}
	return nil
}

// settingsOf returns the text of a node's settings file. The seeds are the first nodes of the root and of its first child.
func (in *Installation) settingsOf(n *Node, keyFile string) string {
	var via []string
	for _, called := range in.Nodes {
		if peerLink := in.links[nodePair{n.Name, called.Name}]; peerLink != nil {
			via = append(via, fmt.Sprintf("%q", called.listen+"="+peerLink.Addr()))
		}
	}
	return fmt.Sprintf(settingsFormat, n.Site, n.listen, in.Nodes[0].listen, in.Nodes[in.options.NodesPerSite].listen,
		keyFile, n.Folder, strings.Join(via, ", "))
}

// StartNode starts a node's process. A previous process of the node must have ended.
func (in *Installation) StartNode(n *Node) error {
	n.cmd = exec.Command(in.options.Program[0], append(slices.Clone(in.options.Program[1:]), "run", "--settings", n.settings)...)
	n.cmd.Env = append(os.Environ(), append(slices.Clone(in.options.Env), "ROUTER_CONFIG="+n.config, "TMPDIR="+n.Folder)...)
	n.log, n.ended = &logBuffer{}, make(chan struct{})
	n.cmd.Stderr = n.log
	if err := n.cmd.Start(); err != nil {
		close(n.ended)
		return err
	}
	cmd, ended := n.cmd, n.ended
	go func() {
		defer close(ended)
		cmd.Wait() // the process's log shows how it ended
	}()
	return nil
}

// Signal sends a signal to a node's process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Wait waits for a node's process to end.
func (n *Node) Wait() { <-n.ended }

// Log returns what the current process has written to stderr.
func (n *Node) Log() string { return n.log.String() }

// Kill ends a node's process with SIGKILL.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL) // an error means that the process has already ended
	<-n.ended
}

// WipeFolder empties a node's folder, to simulate the loss of its disk.
func (n *Node) WipeFolder() error {
	return errors.Join(os.RemoveAll(n.Folder), os.Mkdir(n.Folder, 0o700))
}

// Close kills all processes and closes the links.
func (in *Installation) Close() {
	for _, n := range in.Nodes {
		if n.cmd != nil {
			n.Kill()
		}
	}
	for _, l := range in.links {
		l.Close()
	}
	if in.release != nil {
		in.release()
	}
}

// View requests a node's view of the installation. ok is false if the node does not respond.
func (n *Node) View() (v View, ok bool) {
	client := http.Client{Timeout: viewTimeout}
	resp, err := client.Get("http://" + n.Control + "/control/sites")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil
}

// Timing of view polls.
const (
	pollInterval = 20 * time.Millisecond // between two polls of a node's view
	waitTimeout  = time.Minute           // for all nodes together; long enough that only a broken installation exceeds it
	viewTimeout  = time.Second           // of one poll: a stopped node does not respond
)

// WaitUntil polls the given nodes until each has returned a view for which holds is true, and returns how long that took.
// It fails after a minute; the error contains the node's log.
func (in *Installation) WaitUntil(nodes []*Node, holds func(View) bool) (time.Duration, error) {
	begin := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, n := range nodes {
		for v, ok := n.View(); !ok || !holds(v); v, ok = n.View() {
			if time.Since(begin) > waitTimeout {
				return 0, fmt.Errorf("node %s does not meet the condition after %v: view %+v\n%s", n.Name, waitTimeout, v, n.Log())
			}
			<-tick.C
		}
	}
	return time.Since(begin), nil
}

// Others returns all nodes except the excluded ones.
func (in *Installation) Others(excluded ...*Node) []*Node {
	return slices.DeleteFunc(slices.Clone(in.Nodes), func(n *Node) bool { return slices.Contains(excluded, n) })
}

// InSite returns the nodes of a site.
func (in *Installation) InSite(site string) []*Node {
	return slices.DeleteFunc(slices.Clone(in.Nodes), func(n *Node) bool { return n.Site != site })
}

// SetPartitioned cuts the links from one set of nodes to another, or restores them. Only this direction is cut: traffic in
// the opposite direction still arrives.
func (in *Installation) SetPartitioned(partitioned bool, from, to []*Node) error {
	return in.forEachLink(from, to, func(l *link.PeerLink) error { return l.SetPartitioned(partitioned) })
}

// SetAnswersStalled holds back a node's responses on the streams of the given nodes, or releases them.
func (in *Installation) SetAnswersStalled(stalled bool, from []*Node, to *Node) error {
	fault := link.Fault{Stall: [2]bool{link.Downstream: stalled}}
	return in.forEachLink(from, []*Node{to}, func(l *link.PeerLink) error { return l.SetFault(fault) })
}

// SetPacketFault sets the packet fault of all links.
func (in *Installation) SetPacketFault(fault link.PacketFault) {
	for _, l := range in.links {
		l.SetPacketFault(fault)
	}
}

// forEachLink applies change to each link from one set of nodes to another. It stops at the first error.
func (in *Installation) forEachLink(from, to []*Node, change func(*link.PeerLink) error) error {
	for _, caller := range from {
		for _, called := range to {
			l := in.links[nodePair{caller.Name, called.Name}]
			if l == nil {
				continue
			}
			if err := change(l); err != nil {
				return err
			}
		}
	}
	return nil
}
