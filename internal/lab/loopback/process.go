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
	// startTimeout is how long a node may take to start on a busy machine.
	startTimeout = 20 * time.Second

	// readyInterval is the time between two looks whether a node is ready.
	readyInterval = 10 * time.Millisecond

	// maxLogLine is the longest line of a node's standard error in bytes: a captured list of some thousand servers is one.
	maxLogLine = 16 << 20
)

// Signals to a node that are not about its end.
const (
	syscallReload = syscall.SIGHUP    // read the configuration again
	noSignal      = syscall.Signal(0) // only looks whether it runs
)

// Connections of clients to a node.
const (
	maxIdleConnections = 256         // to one node
	clientIdleTimeout  = time.Second // shorter than any scenario, so that no connection outlives its node for long
)

// servingLine is the line by which a node says where it listens.
var servingLine = regexp.MustCompile(`msg=serving .*listen=(\S+)`)

// process is a node: a real `hookwalk run` with a configuration as the platform writes it, started from nothing as often as
// it is started. During an upgrade it has two processes.
type process struct {
	world         *World
	base          string // its name without the incarnation
	tier          int    // that it sends to
	replicaIndex  int
	replicas      int
	host          *server           // the server that it stands beside; nil: an ingress node
	dialAddresses map[string]string // where it reaches servers; none: where they are

	mu             sync.Mutex
	program        []string // of its next incarnation; nil: the usual one
	name           string   // of this incarnation: what is owed in one is not in the next
	incarnation    int
	addr           string
	cmd            *exec.Cmd // nil: it does not run
	exited         chan struct{}
	previous       *exec.Cmd // during an upgrade: the older process
	previousExited chan struct{}
	replacing      bool
	client         *http.Client

	adminAddr string // of the newest process; "": it takes no admin calls
	tempDir   string // its $TMPDIR; "": that of all
	onStart   func(*exec.Cmd)
}

// startedProcess is a process of a node that has been started.
type startedProcess struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has ended
	addr   <-chan string // where it listens, once it serves
}

// logFile is where the node's standard error is kept.
func (p *process) logFile() string { return filepath.Join(p.world.dir, p.base+".log") }

// start begins an incarnation and returns once the node is ready. A node that runs is left alone.
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

// nextIncarnation names the next incarnation. It returns false if the node runs.
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

// setIncarnation takes over name and address of an incarnation that another process has started.
func (p *process) setIncarnation(name, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.name, p.addr, p.client = name, addr, newClient()
}

// newClient returns an HTTP client as the lab's clients have it.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: clientIdleTimeout, DisableCompression: true}}
}

// launch starts a process of the node.
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
	// A process that begins as the world ends gets nobody's signal: this ends it, whatever comes first.
	stopKilling := context.AfterFunc(p.world.ctx, func() { cmd.Process.Kill() })
	p.world.goOwned(func() {
		defer log.Close()
		defer stopKilling()
		copyLog(log, stderr, addr)
		cmd.Wait() // how it ended shows in the log and in what it answered
		p.processEnded(cmd)
		close(exited)
	})
	return startedProcess{cmd: cmd, exited: exited, addr: addr}, nil
}

// command is the command of the node's next process.
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

// copyLog copies a node's standard error to its log until it ends, and sends the address at which the node serves.
func copyLog(log io.Writer, stderr io.Reader, addr chan<- string) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		fmt.Fprintln(log, lines.Text())
		if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
			addr <- m[1]
		}
	}
}

// processEnded notes that a process has ended. The node does not run any more if it was its newest.
func (p *process) processEnded(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
}

// waitServing waits until a process serves, and takes its address.
func (p *process) waitServing(ctx context.Context, started startedProcess, timeout <-chan time.Time) (addr string, err error) {
	select {
	case addr = <-started.addr:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.addr = addr
		return addr, nil
	case <-started.exited:
		return "", fmt.Errorf("node %s ended without serving: see %s", p.base, p.logFile())
	case <-timeout:
		return "", fmt.Errorf("node %s does not serve: see %s", p.base, p.logFile())
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// waitReady waits until a process answers at an address that it is ready.
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
		case <-time.After(readyInterval):
		case <-exited:
			return fmt.Errorf("node %s ended before it was ready: see %s", p.base, p.logFile())
		case <-timeout:
			return fmt.Errorf("node %s is not ready: see %s", p.base, p.logFile())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// incarnationName is the node's name in this incarnation.
func (p *process) incarnationName() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name
}

// signal sends a signal to the node's processes, if it runs, and returns what is closed when the newest has ended.
func (p *process) signal(s syscall.Signal) (exited <-chan struct{}, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, ""
	}
	p.cmd.Process.Signal(s) // one that has just ended needs none
	if p.previous != nil {
		p.previous.Process.Signal(s)
	}
	return p.exited, p.name
}

// kill ends the node at once, and returns when its processes have ended; nothing is owed any more.
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
