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
	// ReadClass contains idempotent requests. A request that is unanswered for much longer than usual is retried at
	// another server.
	ReadClass = "read"

	// WriteClass contains non-idempotent requests. Each makes a single attempt, even on a busy machine.
	WriteClass = "write"
)

// Deadline and latency objective of a request. Both are long, so that a busy machine does not distort measurements by
// rejecting requests that would be late.
const (
	callDeadline           = 30 * time.Second // as in nodeScenario
	latencyObjectiveMillis = 20000            // latency objective of both classes in ms, as in nodeScenario
)

// nodeScenario configures a rig's node: a pushed list and two classes of requests. The rig provides the servers; the tier
// has one server only because a scenario requires one.
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

// NodeOptions configures a node.
type NodeOptions struct {
	Program      string // the node, from BuildForService
	SettingsFile string
	Folder       string // for its configuration and log
	Servers      []loopback.Endpoint
}

// NodeProcess is a real node process with its own stand-in for discovery.
type NodeProcess struct {
	Discovery *WatchServer

	nodes   *loopback.Nodes
	process *os.Process
	reloads int
}

// StartNode starts a node and returns once it is ready. Its bootstrap list is options.Servers. The
// caller must call Stop unless there is an error.
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
	node.nodes, err = loopback.NewNodes(ctx, world, how, stubDiscovery{node.Discovery})
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

// Addr returns the address at which the node accepts calls.
func (n *NodeProcess) Addr() string { return n.nodes.Addr(0) }

// Usage returns the resource usage of the node's process so far.
func (n *NodeProcess) Usage() (Usage, error) { return ReadUsage(n.process.Pid) }

// Log returns the node's standard error, which includes its metrics and capture.
func (n *NodeProcess) Log() ([]byte, error) { return n.nodes.Log(0) }

// LogBytes returns the length of the node's log.
func (n *NodeProcess) LogBytes() (int64, error) {
	info, err := os.Stat(filepath.Join(n.nodes.Folder(), "n0.log"))
	if err != nil {
		return 0, fmt.Errorf("scale: node's log: %w", err)
	}
	return info.Size(), nil
}

// Reload writes a new configuration file and sends SIGHUP. Each file differs from the previous one in the latency
// objective of the first class.
func (n *NodeProcess) Reload() error {
	path := filepath.Join(n.nodes.Folder(), "n0.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("scale: reload: %w", err)
	}
	n.reloads++
	if text, err = withLatencyObjective(text, latencyObjectiveMillis+float64(n.reloads%2)); err != nil {
		return fmt.Errorf("scale: reload: %s: %w", path, err)
	}
	if err := renameio.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("scale: reload: %w", err)
	}
	return n.process.Signal(syscall.SIGHUP)
}

// withLatencyObjective returns the configuration with another latency objective, in ms, for the first class.
func withLatencyObjective(configuration []byte, objectiveMillis float64) ([]byte, error) {
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
		return nil, errors.New("settings.lanes[0] is not an object")
	}
	lane["target-ms"] = objectiveMillis
	return json.Marshal(file)
}

// stubDiscovery gives a node the address and the list of its stand-in for discovery.
type stubDiscovery struct{ discovery *WatchServer }

// DiscoveryAddr returns the address that serves the list.
func (l stubDiscovery) DiscoveryAddr(string) string { return l.discovery.Addr() }

// BootstrapList returns the list that a node starts with.
func (l stubDiscovery) BootstrapList(string, int) loopback.EndpointList {
	return l.discovery.CompleteList()
}
