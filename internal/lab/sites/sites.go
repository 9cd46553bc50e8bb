// Package sites is an installation of three sites whose nodes are processes of the program, each pair joined by a link of
// its own for streams and packets, on which faults are made. It knows the program by its settings, its configuration and
// the control's answer; what must hold is its callers' to say.
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

// Names are the sites': a centre and two below it.
var Names = []string{"dc", "okanagan", "similkameen"}

// Options say how an installation is made.
type Options struct {
	Program      []string // `run --settings FILE` is added to it
	Env          []string // added to the environment
	Dir          string   // for settings, keys and the nodes' folders
	NodesPerSite int
	Links        bool // a link of its own between each pair; else they reach each other directly
	Config       func(name, control string) string
}

// Installation is one that is up. Its methods are called from one goroutine.
type Installation struct {
	Nodes []*Node

	options Options
	ports   int // a block that no other rig, and no outgoing connection, has
	release func()
	links   map[[2]string]*link.PeerLink // by the names of who calls and who is called
}

// Node is one of its nodes, over all of its incarnations.
type Node struct {
	Name, Site, Folder, Control string

	listen, config, settings string
	cmd                      *exec.Cmd
	ended                    chan struct{}
	log                      *logBuffer
}

// aliveState is the control's word for an alive member.
const aliveState = "here"

// View is what of a node's answer is looked at.
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

// State is that of a member, "" of one that is not known.
func (v View) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// logBuffer is what a process has written so far.
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

const nodePortOffset = 3000 // of the block: no link has one from there on

// Up makes an installation whose processes all run. Close must follow, also after an error.
func Start(ctx context.Context, o Options) (in *Installation, err error) {
	in = &Installation{options: o, links: map[[2]string]*link.PeerLink{}}
	if in.ports, in.release, err = link.ClaimPorts(ctx); err != nil {
		return in, err
	}
	addr := func() string { return fmt.Sprintf("127.0.0.1:%d", in.ports+nodePortOffset+2*len(in.Nodes)) }
	for _, site := range Names {
		for i := range o.NodesPerSite {
			n := &Node{Name: fmt.Sprintf("%s-%d", site, i), Site: site, listen: addr()}
			n.Folder = filepath.Join(o.Dir, n.Name)
			n.Control = fmt.Sprintf("127.0.0.1:%d", in.ports+nodePortOffset+2*len(in.Nodes)+1)
			in.Nodes = append(in.Nodes, n)
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

func (in *Installation) openLinks() error {
	for _, a := range in.Nodes {
		for _, b := range in.Nodes {
			if a == b {
				continue
			}
			w, err := link.OpenPeerLink(in.ports, b.listen)
			if err != nil {
				return err
			}
			in.links[[2]string{a.Name, b.Name}] = w
		}
	}
	return nil
}

// writeSettings writes each node's settings.
func (in *Installation) writeSettings() error {
	key := filepath.Join(in.options.Dir, "key")
	if err := os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n"), 0o600); err != nil {
		return err
	}
	for _, n := range in.Nodes {
		var via []string
		for _, o := range in.Nodes {
			if w := in.links[[2]string{n.Name, o.Name}]; w != nil {
				via = append(via, fmt.Sprintf("%q", o.listen+"="+w.Addr()))
			}
		}
		n.settings, n.config = filepath.Join(in.options.Dir, n.Name+".hcl"), filepath.Join(in.options.Dir, n.Name+".json")
		text := fmt.Sprintf(`site "dc" {}
site "okanagan" { parent = "dc" }
site "similkameen" { parent = "dc" }
peers {
  site = %q listen = %q seeds = [%q, %q] key_file = %q label = "benchland" folder = %q
  via = [%s]
}
`, n.Site, n.listen, in.Nodes[0].listen, in.Nodes[in.options.NodesPerSite].listen, key, n.Folder, strings.Join(via, ", "))
		err := errors.Join(os.WriteFile(n.settings, []byte(text), 0o600), os.WriteFile(n.config, []byte(in.options.Config(n.Name, n.Control)), 0o600),
			os.MkdirAll(n.Folder, 0o700))
		if err != nil {
			return err
		}
	}
	return nil
}

// Start starts a node's process.
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
		cmd.Wait() // how it ended shows in its log
	}()
	return nil
}

// Signal sends one to a node's process.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Wait waits for a node's process to end.
func (n *Node) Wait() { <-n.ended }

// Log is what the present process has written.
func (n *Node) Log() string { return n.log.String() }

// Kill ends a node's process at once.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL) // one that has ended needs none
	<-n.ended
}

// WipeFolder empties a node's folder, as a disk that forgets.
func (n *Node) WipeFolder() error {
	return errors.Join(os.RemoveAll(n.Folder), os.Mkdir(n.Folder, 0o700))
}

// Close ends all that runs.
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

// View is what a node answers; false: it does not.
func (n *Node) View() (v View, ok bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Control + "/control/sites")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil
}

const (
	pollInterval = 20 * time.Millisecond
	waitTimeout  = time.Minute
)

// WaitUntil asks some nodes until each has answered what is wanted, and returns how long that took.
func (in *Installation) WaitUntil(who []*Node, holds func(View) bool) (time.Duration, error) {
	begin := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, n := range who {
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
func (in *Installation) Others(out ...*Node) []*Node {
	return slices.DeleteFunc(slices.Clone(in.Nodes), func(n *Node) bool { return slices.Contains(out, n) })
}

// InSite are the nodes of a site.
func (in *Installation) InSite(site string) []*Node {
	return slices.DeleteFunc(slices.Clone(in.Nodes), func(n *Node) bool { return n.Site != site })
}

// Cut cuts the links from some nodes to others, or mends them.
func (in *Installation) SetPartitioned(off bool, from, to []*Node) error {
	return in.forEachLink(from, to, func(w *link.PeerLink) error { return w.SetPartitioned(off) })
}

// SilenceAnswers has what is answered on the streams from some nodes to another stay where it is, or arrive again.
func (in *Installation) SetAnswersStalled(off bool, from []*Node, to *Node) error {
	return in.forEachLink(from, []*Node{to}, func(w *link.PeerLink) error { return w.Set(link.Fault{Stall: [2]bool{link.Downstream: off}}) })
}

// SetLoss changes what is wrong with all packets.
func (in *Installation) SetPacketFault(l link.PacketFault) {
	for _, w := range in.links {
		w.SetPacketFault(l)
	}
}

func (in *Installation) forEachLink(from, to []*Node, do func(*link.PeerLink) error) error {
	for _, a := range from {
		for _, b := range to {
			if w := in.links[[2]string{a.Name, b.Name}]; w != nil {
				if err := do(w); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
