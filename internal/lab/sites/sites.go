// Package sites is an installation of three sites whose nodes are processes of the program, each pair joined by a link of
// its own for streams and packets, on which faults are injected. It knows the program by its settings, its configuration
// and the answer of its admin API; what must hold is up to its callers.
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

// Names are the names of the sites: a root and two below it.
var Names = []string{"dc", "okanagan", "similkameen"}

// Options say what an installation is made of.
type Options struct {
	Program      []string // `run --settings FILE` is added to it
	Env          []string // NAME=VALUE, added to the environment
	Dir          string   // for settings, the key and the nodes' folders
	NodesPerSite int
	Links        bool                              // each pair has a link; else nodes reach each other directly
	Config       func(name, control string) string // text of a node's configuration file, from its name and admin address
}

// Installation is one that runs. Its methods are called from one goroutine.
type Installation struct {
	Nodes []*Node

	options Options
	ports   int // first port of a block of its own (see link.ClaimPorts)
	release func()
	links   map[nodePair]*link.PeerLink
}

// nodePair are the names of a node and of one that it calls.
type nodePair struct{ caller, called string }

// Node is one of its nodes, over all of its incarnations.
type Node struct {
	Name    string
	Site    string
	Folder  string // of the node's state
	Control string // address of its admin API

	listen   string // address of its peers' calls and packets
	config   string // its configuration file
	settings string // its settings file
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	log      *logBuffer    // of the present process
}

// aliveState is what the admin API calls an alive member.
const aliveState = "here"

// View is the part of a node's answer that the rig reads.
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

// Alive counts the members that are alive, the node among them.
func (v View) Alive() int {
	n := 1
	for _, m := range v.Members {
		if m.State == aliveState {
			n++
		}
	}
	return n
}

// State is the state of a member as the node sees it, "" if the node does not know it.
func (v View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// logBuffer is what a process has written so far. Its methods may be called from any goroutine.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *logBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *logBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// nodePortOffset is where the nodes' ports begin in the block: links have none from there on (see link.ForNode).
const nodePortOffset = 3000

// portsPerNode is how many ports a node has: for its peers and for its admin API.
const portsPerNode = 2

// clusterKey is the key that all nodes share; it protects nothing but a test.
const clusterKey = "0123456789abcdef"

// Start starts an installation. It returns when all processes are started, not when they have met. Close must follow, also
// after an error.
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

// newNode is the next node, with its addresses.
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

// settingsFormat is a node's settings file; the arguments are its site, its peers' address, two seeds, the key file, its
// folder, and the links by which it reaches the others.
const settingsFormat = `site "dc" {}
site "okanagan" { parent = "dc" }
site "similkameen" { parent = "dc" }
peers {
  site = %q listen = %q seeds = [%q, %q] key_file = %q label = "benchland" folder = %q
  via = [%s]
}
`

// writeSettings writes each node's settings and configuration.
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

// settingsOf is the text of a node's settings file. The seeds are the first node of the root and of the site below it.
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

// StartNode starts a node's process. A node that runs must end first.
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
		cmd.Wait() // its log tells how it ended
	}()
	return nil
}

// Signal sends a signal to a node's process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Wait waits for a node's process to end.
func (n *Node) Wait() { <-n.ended }

// Log is what the present process has written.
func (n *Node) Log() string { return n.log.String() }

// Kill ends a node's process with SIGKILL.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL) // an error means that it has ended already
	<-n.ended
}

// WipeFolder empties a node's folder, as after the loss of its disk.
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
	for _, w := range in.links {
		w.Close()
	}
	if in.release != nil {
		in.release()
	}
}

// View asks a node for its view; ok is false if it does not answer.
func (n *Node) View() (v View, ok bool) {
	client := http.Client{Timeout: viewTimeout}
	resp, err := client.Get("http://" + n.Control + "/control/sites")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil
}

// Waits for nodes.
const (
	pollInterval = 20 * time.Millisecond // between two looks at a node's view
	waitTimeout  = time.Minute           // for all nodes together; no bound on speed, only on a broken rig
	viewTimeout  = time.Second           // of one answer: a stopped node gives none
)

// WaitUntil polls some nodes until each has had a view for which holds is true, and returns how long that took. It fails
// after a minute; the error has the node's log.
func (in *Installation) WaitUntil(nodes []*Node, holds func(View) bool) (time.Duration, error) {
	begin := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, n := range nodes {
		for v, ok := n.View(); !ok || !holds(v); v, ok = n.View() {
			if time.Since(begin) > waitTimeout {
				return 0, fmt.Errorf("%s does not after %v: %+v\n%s", n.Name, waitTimeout, v, n.Log())
			}
			<-tick.C
		}
	}
	return time.Since(begin), nil
}

// Others are all nodes but some.
func (in *Installation) Others(excluded ...*Node) []*Node {
	return slices.DeleteFunc(slices.Clone(in.Nodes), func(n *Node) bool { return slices.Contains(excluded, n) })
}

// InSite are the nodes of a site.
func (in *Installation) InSite(site string) []*Node {
	return slices.DeleteFunc(slices.Clone(in.Nodes), func(n *Node) bool { return n.Site != site })
}

// SetPartitioned cuts the links from some nodes to others, or restores them. Only this direction is cut: what the others
// send still arrives.
func (in *Installation) SetPartitioned(partitioned bool, from, to []*Node) error {
	return in.forEachLink(from, to, func(l *link.PeerLink) error { return l.SetPartitioned(partitioned) })
}

// SetAnswersStalled holds back what a node answers on the streams of some nodes, or lets it arrive again.
func (in *Installation) SetAnswersStalled(stalled bool, from []*Node, to *Node) error {
	fault := link.Fault{Stall: [2]bool{link.Downstream: stalled}}
	return in.forEachLink(from, []*Node{to}, func(l *link.PeerLink) error { return l.SetFault(fault) })
}

// SetPacketFault changes what is wrong with all packets.
func (in *Installation) SetPacketFault(fault link.PacketFault) {
	for _, l := range in.links {
		l.SetPacketFault(fault)
	}
}

// forEachLink changes the links from some nodes to others; it stops at the first error.
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
