package loopback

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout limits how long a node may take to start on a busy machine.
	startTimeout = 20 * time.Second

	// readyPollInterval is the time between two checks whether a node is ready.
	readyPollInterval = 10 * time.Millisecond

	// maxLogLineBytes limits a line of a node's standard error. A captured list of some thousand servers is one line.
	maxLogLineBytes = 16 << 20
)

// Signals to a node that do not end it.
const (
	reloadSignal = syscall.SIGHUP    // makes the node reload its configuration
	probeSignal  = syscall.Signal(0) // sends nothing; used to check whether the node is running
)

// Settings of clients' connections to a node.
const (
	maxIdleConnectionsPerNode = 256
	clientIdleTimeout         = time.Second // shorter than any scenario: connections must not outlive their node for long
)

// servingLine matches the log line with the address at which a node listens.
var servingLine = regexp.MustCompile(`msg=serving .*listen=(\S+)`)

// process is a node: a real `hookwalk run` with a configuration in the platform's format. Each incarnation starts
// without state from the one before. While the node is being replaced, it has two operating system processes.
type process struct {
	world         *World
	base          string // name without the incarnation
	tier          int    // tier that the node sends requests to
	replicaIndex  int
	replicas      int
	host          *server           // server that the node runs next to; nil: an ingress node
	dialAddresses map[string]string // by server ID: address at which the node reaches a server, if not the server's own

	mu             sync.Mutex
	program        []string // program of the next process; nil: Options.Program
	name           string   // name of this incarnation; responses owed by one incarnation are not owed by the next
	incarnation    int
	addr           string
	cmd            *exec.Cmd // nil: not running
	exited         chan struct{}
	previous       *exec.Cmd // the older process while the node is being replaced
	previousExited chan struct{}
	replacing      bool
	client         *http.Client

	adminAddr string // admin address of the newest process; "": the node does not accept admin calls
	tempDir   string // $TMPDIR; "": that of the parent process
	onStart   func(*exec.Cmd)
}

// startedProcess is an operating system process that has been started for a node.
type startedProcess struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	addr   <-chan string // receives the address once the process serves
}

// logFile returns the path of the log of the node's standard error.
func (p *process) logFile() string { return filepath.Join(p.world.dir, p.base+".log") }

// start starts the next incarnation and returns once the node is ready. It does nothing if the node is running.
func (p *process) start(ctx context.Context) error {
	name, ok := p.nextIncarnation()
	if !ok {
		return nil
	}
	if p.world.options.OnIncarnation != nil {
		p.world.options.OnIncarnation(p.base, name)
	}
	if err := p.assignAddresses(); err != nil {
		return err
	}
	list := p.world.lists.bootstrapList(p)
	p.world.observations.nodeStarted(p.world.incarnationStart(), name, list)
	started, err := p.launch(list)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.exited, p.client = started.cmd, started.exited, newClient()
	p.mu.Unlock()
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	addr, err := p.waitServing(ctx, started, timeout.C)
	if err != nil {
		return err
	}
	return p.waitReady(ctx, "http://"+addr+"/ready", started.exited, timeout.C)
}

// nextIncarnation names the next incarnation. It returns false if the node is running.
func (p *process) nextIncarnation() (name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return "", false
	}
	p.incarnation++
	p.name = fmt.Sprintf("%s.%d", p.base, p.incarnation)
	return p.name, true
}

// setIncarnation sets the name and address of an incarnation that the parent process has started.
func (p *process) setIncarnation(name, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.name, p.addr, p.client = name, addr, newClient()
}

// newClient returns an HTTP client with the settings of the lab's clients.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerNode, IdleConnTimeout: clientIdleTimeout, DisableCompression: true}}
}

// launch starts a process of the node with list as its known endpoints.
func (p *process) launch(list EndpointList) (startedProcess, error) {
	started, err := p.launchCommand(list)
	if err != nil {
		return started, fmt.Errorf("node %s: %w", p.base, err)
	}
	return started, nil
}

func (p *process) launchCommand(list EndpointList) (started startedProcess, err error) {
	path, err := p.writeConfig(list)
	if err != nil {
		return started, err
	}
	cmd := p.command(path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return started, err
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return started, err
	}
	if err := p.world.options.startCommand(cmd); err != nil {
		log.Close()
		return started, err
	}
	if p.onStart != nil {
		p.onStart(cmd)
	}
	addr, exited := make(chan string, 1), make(chan struct{})
	// Shutdown does not signal a process that starts during the shutdown. AfterFunc kills the process in either order.
	stopKilling := context.AfterFunc(p.world.ctx, func() { cmd.Process.Kill() })
	p.world.spawn(func() {
		defer log.Close()
		defer stopKilling()
		copyLog(log, stderr, addr)
		cmd.Wait() // the exit status is ignored: the log and the responses show how the process ended
		p.processEnded(cmd)
		close(exited)
	})
	return startedProcess{cmd: cmd, exited: exited, addr: addr}, nil
}

// command returns the command of the node's next process.
func (p *process) command(configFile string) *exec.Cmd {
	program := p.world.options.Program
	p.mu.Lock()
	if p.program != nil {
		program = p.program
	}
	p.mu.Unlock()
	cmd := exec.Command(program[0], append(slices.Clone(program[1:]), "run")...)
	cmd.Env = append(os.Environ(), append(slices.Clone(p.world.options.Env), "ROUTER_CONFIG="+configFile)...)
	if p.tempDir != "" {
		cmd.Env = append(cmd.Env, "TMPDIR="+p.tempDir)
	}
	return cmd
}

// copyLog copies a node's standard error to its log until the stream ends, and sends the address at which the node
// serves on addr.
func copyLog(log io.Writer, stderr io.Reader, addr chan<- string) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		fmt.Fprintln(log, lines.Text())
		if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
			addr <- m[1]
		}
	}
}

// processEnded marks the node as not running if cmd is its newest process.
func (p *process) processEnded(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
}

// waitServing waits until a process serves, and stores and returns its address.
func (p *process) waitServing(ctx context.Context, started startedProcess, timeout <-chan time.Time) (addr string, err error) {
	select {
	case addr = <-started.addr:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.addr = addr
		return addr, nil
	case <-started.exited:
		return "", fmt.Errorf("node %s exited before it served: see %s", p.base, p.logFile())
	case <-timeout:
		return "", fmt.Errorf("node %s does not serve after %v: see %s", p.base, startTimeout, p.logFile())
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// waitReady polls a URL until it reports that the process is ready.
func (p *process) waitReady(ctx context.Context, url string, exited <-chan struct{}, timeout <-chan time.Time) error {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	for {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-exited:
			return fmt.Errorf("node %s exited before it was ready: see %s", p.base, p.logFile())
		case <-timeout:
			return fmt.Errorf("node %s is not ready after %v: see %s", p.base, startTimeout, p.logFile())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// incarnationName returns the node's name in its current incarnation.
func (p *process) incarnationName() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name
}

// signal sends a signal to the node's processes. It returns a channel that is closed when the newest process has
// exited, and the incarnation's name; if the node is not running, it returns nil and "".
func (p *process) signal(sig syscall.Signal) (exited <-chan struct{}, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, ""
	}
	p.cmd.Process.Signal(sig) // an error means that the process has just exited
	if p.previous != nil {
		p.previous.Process.Signal(sig)
	}
	return p.exited, p.name
}

// kill sends SIGKILL to the node and returns when its processes have exited. The node owes no responses after that.
func (p *process) kill() {
	p.mu.Lock()
	name, running := p.name, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.world.observations.nodeKilled(p.world.now(), name)
	exited, _ := p.signal(syscall.SIGKILL)
	if exited == nil {
		return
	}
	<-exited
	p.mu.Lock()
	previousExited := p.previousExited
	p.mu.Unlock()
	if previousExited != nil {
		<-previousExited
	}
}
