package loopback

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// process is a node: a real `hookwalk run` with a configuration as the platform writes it, started from nothing as
// often as it is started.
type process struct {
	world         *World
	base          string // its name without the life
	tier          int
	replicaIndex  int
	replicas      int
	host          *server           // nil: a front node
	dialAddresses map[string]string // where it reaches boxes; none: where they are

	program []string // of its next life; nil: as the others

	mu             sync.Mutex
	name           string // of this life: what is owed in one is not in the next
	incarnation    int
	addr           string
	cmd            *exec.Cmd
	exited         chan struct{}
	previous       *exec.Cmd     // in an upgrade: the older process
	previousExited chan struct{} // and its end

	replacing bool
	client    *http.Client

	adminAddr string // of the newest process, where nodes take operators' calls
	tempDir   string // its $TMPDIR; "": that of all
	onStart   func(*exec.Cmd)
}

// startTimeout is how long a node may take to start on a busy machine.
const startTimeout = 20 * time.Second

var servingLine = regexp.MustCompile(`msg=serving .*listen=(\S+)`)

// longestLine is the longest line of a node's standard error in bytes: a captured list of some thousand servers is one.
const longestLine = 16 << 20

// config is the node's configuration file.
func (p *process) config(known endpointList) ([]byte, error) {
	set := model.NodeSettings(p.world.scenario, p.tier, p.replicaIndex, p.replicas)
	effects := map[balancer.Effect]string{balancer.Idempotent: "read_like", balancer.IdempotentWithKey: "idempotency_key", balancer.NonIdempotent: "non_idempotent"}
	type object = map[string]any
	var lanes, tenants []object
	for _, c := range set.Classes {
		lanes = append(lanes, object{"name": c.Name, "effect": effects[c.Effect], "key-scope": "all", "window-ms": milliseconds(c.DedupWindow),
			"target-ms": milliseconds(c.LatencyObjective), "deadline-ms": milliseconds(c.Deadline), "late-share": c.LateCredit, "worth": c.PriorityWeight})
	}
	for _, t := range p.world.scenario.Tenants {
		tenants = append(tenants, object{"name": t.Name})
	}
	mode := "pushed"
	if set.PollDiscovery {
		mode = "on_request"
	}
	listen := p.addr
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	name := p.name
	if p.adminAddr != "" { // what stands in its folder is of a node, not of a life
		name = p.base
	}
	return json.Marshal(object{"name": name, "listen": listen, "control": p.adminAddr, "discovery": p.world.lists.discoveryAddr(p),
		"seed":   strconv.FormatUint(model.Stream(p.world.scenario.Seed, "node "+p.base, p.incarnation).Uint64(), 16),
		"limits": object{"cores": 1, "memory_mb": 128, "sockets": 512}, "known": known,
		"settings": object{"balancers": set.Replicas, "me": set.ReplicaIndex, "tier": set.Tier, "registry-mode": mode, "tick-ms": milliseconds(set.Tick),
			"zone": "", "blend": object{"whole": set.TotalValueWeight, "worst-class": set.WorstClassWeight},
			"callers": object{"marks-retry": set.ClientsMarkRetries}, "lanes": lanes, "tenants": tenants,
			"limits": object{"max-attempts": set.MaxAttempts, "retry-after": true,
				"max-retry-after-ms": milliseconds(set.MaxRetryAfter), "conn-idle-ms": milliseconds(p.world.scenario.Network.IdleTimeout),
				"connect-timeout-ms": milliseconds(p.world.scenario.Network.ConnectTimeout)},
			"rules": object{"ask-within-ms": milliseconds(set.MaxPollInterval), "cold-from": set.SlowStartMinShare, "warm-after-ms": milliseconds(set.SlowStartDuration),
				"fall-multiple": set.OverloadMultiple}}})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// write puts the configuration where the node reads it.
func (p *process) write(known endpointList) (path string, err error) {
	text, err := p.config(known)
	if err != nil {
		return "", err
	}
	path = filepath.Join(p.world.dir, p.base+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// start begins a life and returns once the node is ready.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	if p.cmd != nil {
		p.mu.Unlock()
		return nil
	}
	p.incarnation++
	p.name = fmt.Sprintf("%s.%d", p.base, p.incarnation)
	p.mu.Unlock()
	if p.world.options.OnIncarnation != nil {
		p.world.options.OnIncarnation(p.base, p.incarnationName())
	}
	if err := p.assignAddresses(); err != nil {
		return err
	}
	known := p.world.lists.bootstrapList(p)
	p.world.observations.nodeStarted(p.world.now(), p.name, known)
	cmd, exited, addr, err := p.launch(known)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Second, DisableCompression: true}}
	p.mu.Unlock()
	late := time.NewTimer(startTimeout)
	defer late.Stop()
	log := filepath.Join(p.world.dir, p.base+".log")
	select {
	case at := <-addr:
		p.mu.Lock()
		p.addr = at
		p.mu.Unlock()
	case <-exited:
		return fmt.Errorf("node %s ended without serving: see %s", p.base, log)
	case <-late.C:
		return fmt.Errorf("node %s does not serve: see %s", p.base, log)
	case <-ctx.Done():
		return ctx.Err()
	}
	return p.waitReady(ctx, "http://"+p.addr+"/ready", exited, late.C)
}

// launch starts a process of the node and gives its end, and its address once it serves.
func (p *process) launch(known endpointList) (*exec.Cmd, chan struct{}, <-chan string, error) {
	fail := func(err error) (*exec.Cmd, chan struct{}, <-chan string, error) {
		return nil, nil, nil, fmt.Errorf("node %s: %w", p.base, err)
	}
	path, err := p.write(known)
	if err != nil {
		return fail(err)
	}
	program := p.world.options.Program
	p.mu.Lock()
	if p.program != nil {
		program = p.program
	}
	p.mu.Unlock()
	cmd := exec.Command(program[0], append(slices.Clone(program[1:]), "run")...)
	cmd.Env = append(os.Environ(), append(slices.Clone(p.world.options.Env), "ROUTER_CONFIG="+path)...)
	if p.tempDir != "" {
		cmd.Env = append(cmd.Env, "TMPDIR="+p.tempDir)
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fail(err)
	}
	log, err := os.OpenFile(filepath.Join(p.world.dir, p.base+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fail(err)
	}
	if err := p.world.options.startCommand(cmd); err != nil {
		log.Close()
		return fail(err)
	}
	if p.onStart != nil {
		p.onStart(cmd)
	}
	addr, exited := make(chan string, 1), make(chan struct{})
	// One that begins as the world ends is met by nobody's signal: it ends with the world whatever comes first.
	done := context.AfterFunc(p.world.ctx, func() { cmd.Process.Kill() })
	p.world.goOwned(func() {
		defer log.Close()
		defer done()
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, longestLine)
		for lines.Scan() {
			fmt.Fprintln(log, lines.Text())
			if m := servingLine.FindStringSubmatch(lines.Text()); m != nil {
				addr <- m[1]
			}
		}
		cmd.Wait() // how it ended shows in the log and in what it answered
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(exited)
	})
	return cmd, exited, addr, nil
}

// waitReady waits until a node says yes at an address.
func (p *process) waitReady(ctx context.Context, url string, exited <-chan struct{}, late <-chan time.Time) error {
	log := filepath.Join(p.world.dir, p.base+".log")
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
		case <-time.After(10 * time.Millisecond):
		case <-exited:
			return fmt.Errorf("node %s ended before it was ready: see %s", p.base, log)
		case <-late:
			return fmt.Errorf("node %s is not ready: see %s", p.base, log)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// incarnationName is the node's name in this life.
func (p *process) incarnationName() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.name
}

// signal sends a signal to the node, if it runs, and returns what is closed when it has ended.
func (p *process) signal(s syscall.Signal) (ended <-chan struct{}, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, ""
	}
	p.cmd.Process.Signal(s) // one that has just ended needs none
	if p.previous != nil {  // both are the node
		p.previous.Process.Signal(s)
	}
	return p.exited, p.name
}

// kill ends the node at once; nothing is owed any more.
func (p *process) kill() {
	p.mu.Lock()
	name, running := p.name, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.world.observations.nodeKilled(p.world.now(), name)
	if ended, _ := p.signal(syscall.SIGKILL); ended != nil {
		<-ended
		p.mu.Lock()
		older := p.previousExited
		p.mu.Unlock()
		if older != nil {
			<-older
		}
	}
}

// reload has the node read its configuration again.
func (p *process) reload() error {
	if _, err := p.write(p.world.lists.bootstrapList(p)); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// answer is a node's answer, or what stands for none.
type answer struct {
	status            int // 0: none came
	retryAfter        time.Duration
	connectionRefused bool // the connection never came up
}

// send asks the node on behalf of a client or a box.
func (p *process) send(ctx context.Context, class int, id, root, tenant string, work float64, deadline time.Duration, repeat bool) answer {
	p.mu.Lock()
	name, addr, client := p.name, p.addr, p.client
	p.mu.Unlock()
	if client == nil {
		return answer{connectionRefused: true}
	}
	c := p.world.scenario.Classes[class]
	method := http.MethodPost
	if c.Effect == balancer.Idempotent {
		method = http.MethodGet
	}
	q := url.Values{"work": {strconv.FormatFloat(work, 'g', -1, 64)}, "root": {root}, "node": {name}}
	now := p.world.now()
	left := deadline - now
	if left <= 0 {
		return answer{status: 504}
	}
	ctx, cancel := context.WithTimeout(ctx, left+clientListenTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api?"+q.Encode(), nil)
	if err != nil {
		return answer{}
	}
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", c.Name)
	r.Header.Set("X-Caller", tenant)
	r.Header.Set("X-Budget", strconv.FormatInt(left.Microseconds(), 10)+"u")
	if repeat {
		r.Header.Set("X-Again", "1")
	}
	if c.Effect == balancer.IdempotentWithKey {
		r.Header.Set("Idempotency-Key", id)
	}
	p.world.observations.requestSent(now, name, id, class, deadline)
	kept := false
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { kept = c.Reused }}))
	resp, err := client.Do(r)
	unread := func() bool {
		if p.world.worker != nil { // nobody here sees the boxes
			return kept && c.Effect == balancer.Idempotent
		}
		return p.world.observations.noAttemptArrived(name, id)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) && unread() {
		// A node may close a connection between requests. One that crosses that is sent once more on a new one.
		client.CloseIdleConnections()
		resp, err = client.Do(r)
	}
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		p.world.observations.connectionRefused(p.world.now(), name, id)
		return answer{connectionRefused: true}
	case ctx.Err() != nil: // no answer in all the time that there was: it stays open for the auditor to find
		return answer{}
	default:
		p.world.observations.connectionDropped(p.world.now(), name, id, kept)
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	status := resp.StatusCode
	if err != nil {
		status = 502 // it can tell that the answer is incomplete
	}
	p.world.observations.answerReceived(p.world.now(), name, id, status, string(body))
	a := answer{status: status}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

// clientListenTime is how long a client of the lab listens past its deadline: an answer that is late shall be seen.
const clientListenTime = 500 * time.Millisecond

// playRequest is a box's call to the next tier through its own node. Its id is fresh: the same visit may be made again
// elsewhere, and its calls come by here once more.
func (p *process) callNextTier(v *visit) bool {
	a := p.send(p.world.ctx, v.class, fmt.Sprintf("c%d", p.world.lastCallID.Add(1)), v.request, "", v.workFactor, v.deadline, false)
	return a.status == http.StatusOK
}
