package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"hookwalk.example/hookwalk/internal/lab/loopback"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// Classes of calls in the rigs.
const (
	// ReadClass is of idempotent requests. One without an answer long after others would have had theirs is retried at
	// another server.
	ReadClass = "read"

	// WriteClass is of non-idempotent requests. Each is one attempt, however busy the machine is.
	WriteClass = "write"
)

// Times of a request. Both are long, so that measurements do not depend on the rejection of requests that would be late on
// a busy machine.
const (
	callDeadline = 30 * time.Second // as in nodeScenario
	targetMillis = 20000            // latency objective of both classes in ms, as in nodeScenario
)

// nodeScenario is what a rig's node is configured for: a list that is pushed, and two classes of requests. The servers are
// the rig's own; the tier has one because a scenario needs one.
const nodeScenario = `
scenario "scale" { policy = "deckrelay" }
tier "servers" {
  kind "plain" { count = 1 }
}
class "read" {
  effect      = "safe"
  aim_ms      = 20000
  deadline_ms = 30000
}
class "write" {
  effect      = "unsafe"
  aim_ms      = 20000
  deadline_ms = 30000
}
front     { nodes = 1 }
discovery { mode = "push" }
`

// NodeOptions say how a node is started.
type NodeOptions struct {
	Program      string // the node, from BuildForService
	SettingsFile string
	Folder       string // of its configuration and log
	Servers      []loopback.Endpoint
}

// NodeProcess is a real node process with a stand-in for discovery of its own.
type NodeProcess struct {
	Discovery *WatchServer

	nodes   *loopback.Nodes
	process *os.Process
	reloads int
}

// StartNode starts a node and returns once it is ready. The list of options is its bootstrap list. Stop must
// watch unless there is an error.
func StartNode(ctx context.Context, options NodeOptions) (*NodeProcess, error) {
	world, err := scenario.Parse("scale", []byte(nodeScenario), nil)
	if err != nil {
		return nil, fmt.Errorf("scale: node: %w", err)
	}
	node := &NodeProcess{}
	if node.Discovery, err = NewWatchServer(options.Servers); err != nil {
		return nil, err
	}
	begin := func(command *exec.Cmd) error {
		command.Args = append(command.Args, "--settings", options.SettingsFile)
		err := command.Start()
		node.process = command.Process
		return err
	}
	how := loopback.Options{Program: []string{options.Program}, StartCommand: begin, Dir: options.Folder}
	node.nodes, err = loopback.NewNodes(ctx, world, how, stubWorld{node.Discovery})
	if err == nil {
		err = node.nodes.Start(ctx, 0, nil)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("scale: node: %w", err), node.Stop())
	}
	return node, nil
}

// Stop ends the node and its discovery.
func (n *NodeProcess) Stop() error {
	if n.nodes != nil {
		n.nodes.Shutdown(false)
	}
	return n.Discovery.Close()
}

// Addr is where the node takes calls.
func (n *NodeProcess) Addr() string { return n.nodes.Addr(0) }

// Usage is what the node's process has used so far.
func (n *NodeProcess) Usage() (Usage, error) { return ReadUsage(n.process.Pid) }

// Log is what the node has written to its standard error, its metrics and capture among it.
func (n *NodeProcess) Log() ([]byte, error) { return n.nodes.Log(0) }

// LogBytes is the length of Log.
func (n *NodeProcess) LogBytes() (int64, error) {
	info, err := os.Stat(filepath.Join(n.nodes.Folder(), "n0.log"))
	if err != nil {
		return 0, fmt.Errorf("scale: node's log: %w", err)
	}
	return info.Size(), nil
}

// Reload writes another configuration file and sends SIGHUP. Each differs from the one before in the latency
// objective of the first class.
func (n *NodeProcess) Reload() error {
	path := filepath.Join(n.nodes.Folder(), "n0.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("scale: reload: %w", err)
	}
	n.reloads++
	if text, err = withTarget(text, targetMillis+float64(n.reloads%2)); err != nil {
		return fmt.Errorf("scale: reload: %s: %w", path, err)
	}
	if err := renameio.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("scale: reload: %w", err)
	}
	return n.process.Signal(syscall.SIGHUP)
}

// withTarget is a configuration with another latency objective, in ms, for the first class.
func withTarget(configuration []byte, target float64) ([]byte, error) {
	var file map[string]any
	if err := json.Unmarshal(configuration, &file); err != nil {
		return nil, err
	}
	settings, _ := file["settings"].(map[string]any)
	lanes, _ := settings["lanes"].([]any)
	if len(lanes) == 0 {
		return nil, errors.New("settings.lanes is missing")
	}
	lane, ok := lanes[0].(map[string]any)
	if !ok {
		return nil, errors.New("settings.lanes[0] is no object")
	}
	lane["target-ms"] = target
	return json.Marshal(file)
}

// stubWorld gives a node the address and the list of its stand-in for discovery.
type stubWorld struct{ discovery *WatchServer }

// DiscoveryAddr is the address of the list.
func (l stubWorld) DiscoveryAddr(string) string { return l.discovery.Addr() }

// BootstrapList is the list that a node starts with.
func (l stubWorld) BootstrapList(string, int) loopback.EndpointList {
	return l.discovery.CompleteList()
}
