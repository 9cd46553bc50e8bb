// Package main holds the stand-ins and the clients of the second review's cases. Its only argument names the case. A case
// starts a node with the command of the deploy file, plays one disruption, and judges what clients and servers saw. With
// TROUBLE=0 in the environment it leaves the disruption out.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// startTimeout limits the time until a node is ready.
const startTimeout = 15 * time.Second

// killAfter ends a node that does not end after SIGTERM. It is longer than any shutdown that the pages allow.
const killAfter = 6 * time.Second

// rig is one run of a case: the record, the folder for temporary files, the discovery and the processes.
type rig struct {
	trouble   bool
	root      string // the repository
	folder    string // temporary
	discovery *discovery
	node      *process
	quiet     bool // what servers received is not recorded
	listen    string
	config    map[string]any

	mu       sync.Mutex
	began    time.Time
	record   *os.File
	broken   []string
	runs     []run
	stopping bool
	started  []*process // all of them, also those that have ended
}

// process is one process of the node.
type process struct {
	command *exec.Cmd
	control string        // its second address; "": none
	ended   chan struct{} // closed when it has ended
}

func (p *process) pid() int { return p.command.Process.Pid }

// Signals that cases send.
const (
	sigHUP  = syscall.SIGHUP
	sigTERM = syscall.SIGTERM
	sigKILL = syscall.SIGKILL
)

// signal sends a signal to the process.
func (p *process) signal(r *rig, s syscall.Signal) {
	r.note("signal to process %d: %v", p.pid(), s)
	p.command.Process.Signal(s)
}

// run is one request that a server received completely.
type run struct {
	id, server string
	at         time.Time
}

// newRig opens the record of the case in the current folder, and makes the temporary folder.
func newRig() *rig {
	record, err := os.Create("record.txt")
	if err != nil {
		cannotRun(err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun(err)
	}
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		cannotRun(err)
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", root: root, folder: folder, record: record, began: time.Now()}
	r.note("trouble: %v", r.trouble)
	return r
}

func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	os.Exit(exitCannotRun)
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// ran records that a server has received a whole request.
func (r *rig) ran(id, server string) {
	r.mu.Lock()
	r.runs = append(r.runs, run{id, server, time.Now()})
	quiet := r.quiet
	r.mu.Unlock()
	if quiet {
		return
	}
	r.note("server %s: received %s", server, id)
}

// runsOf returns the requests with an ID that servers received.
func (r *rig) runsOf(id string) (found []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.id == id {
			found = append(found, one)
		}
	}
	return found
}

func (r *rig) nodeLogPath() string { return filepath.Join(r.folder, "node.log") }

// recordNodeLog copies the node's log to the record, without captures and figures.
func (r *rig) recordNodeLog() {
	text, err := os.ReadFile(r.nodeLogPath())
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "time=") || strings.HasPrefix(line, "panic") || strings.HasPrefix(line, "hookwalk: ") {
			r.note("node's log: %s", strings.TrimSpace(line))
		}
	}
}

// finish ends the node and the process with the status of the case.
func (r *rig) finish() {
	r.stopNode()
	r.recordNodeLog()
	r.discovery.close()
	os.RemoveAll(r.folder)
	status := exitHeld
	if len(r.broken) > 0 {
		status = exitBroken
		for _, text := range r.broken {
			fmt.Println("broken:", text)
		}
	} else {
		fmt.Println("held")
	}
	r.note("exit status %d", status)
	r.record.Close()
	os.Exit(status)
}

// abandon ends the node and reports that the case could not run.
func (r *rig) abandon(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("cannot run: %s", text)
	r.stopNode()
	r.recordNodeLog()
	os.RemoveAll(r.folder)
	cannotRun(fmt.Errorf("%s", text))
}

// freeAddress returns an address on loopback that is free now.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// class returns the settings of a request class in the form of the settings object.
func class(name, effect string, targetMillis, deadlineMillis float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "key-scope": "all", "window-ms": 5000.0, "deadline-ms": deadlineMillis,
		"target-ms": targetMillis, "late-share": 0.5, "stream": false, "worth": 5.0}
}

// newConfig returns a node's configuration: one zone, as kelowna-main has it, with lists that are asked for.
func (r *rig) newConfig(classes ...map[string]any) {
	r.listen = freeAddress()
	r.discovery = newDiscovery(r)
	r.config = map[string]any{
		"name": "n0", "listen": r.listen, "discovery": r.discovery.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}},
		"settings": map[string]any{
			"balancers": 1, "blend": map[string]any{"whole": 0.6, "worst-class": 0.1, "worst-tenant": 0.1, "worst-window": 0.2},
			"callers": map[string]any{"marks-retry": true}, "family": "chain", "family-info": map[string]any{"passes-deadline": true},
			"fees":  map[string]any{"handshake": 0.05, "late-fail": 0.03, "waste": 0.038},
			"lanes": classes,
			"limits": map[string]any{"cancelling": true, "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0,
				"max-attempts": 3, "max-retry-after-ms": 2000.0, "max-streams": 1, "may-probe": false, "open-cap": 20000,
				"peers": false, "retry-after": true, "second-copies": false},
			"localities": []string{"kelowna-dc"}, "me": 0, "over-share-worth": 0.1, "registry-mode": "on_request",
			"rules": map[string]any{"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-from": 0.31, "fall-ms": 1000.0,
				"fall-multiple": 3.0, "stop-sending-within-ms": 250.0, "warm-after-ms": 8400.0},
			"shapes": []string{"front-fast"}, "telemetry": map[string]any{"fields": []string{}, "via": "silent"},
			"tenants": []any{map[string]any{"name": "okanagan-ridge", "quota-per-s": 83.0, "share": 1.0}},
			"tick-ms": 5.0, "tier": 0, "tiers": []string{"log-front"}, "weights": "nominal", "worth-by": "request",
			"zone": "kelowna-dc"},
	}
}

// settings returns the settings of the configuration, to be changed in place.
func (r *rig) settings() map[string]any { return r.config["settings"].(map[string]any) }

func (r *rig) configPath() string { return filepath.Join(r.folder, "config.json") }

// writeConfig replaces the configuration file.
func (r *rig) writeConfig() {
	text, err := json.Marshal(r.config)
	if err != nil {
		r.abandon("%v", err)
	}
	temporary := r.configPath() + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		r.abandon("%v", err)
	}
	if err := os.Rename(temporary, r.configPath()); err != nil {
		r.abandon("%v", err)
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startProcess starts a process of the node with the command of the deploy file and the present configuration.
func (r *rig) startProcess() *process {
	r.writeConfig()
	deploy, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		r.abandon("%v", err)
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		r.abandon("the deploy file has no run command")
	}
	private := filepath.Join(r.folder, "tmp")
	if err := os.MkdirAll(private, 0o700); err != nil {
		r.abandon("%v", err)
	}
	log, err := os.OpenFile(r.nodeLogPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		r.abandon("%v", err)
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", string(found[1]))
	command.Dir = r.root
	command.Env = append(withoutPrefix(os.Environ(), "ROUTER_", "TMPDIR="), "ROUTER_NAME=n0", "ROUTER_LISTEN="+r.listen,
		"ROUTER_DISCOVERY="+r.discovery.addr, "ROUTER_CONFIG="+r.configPath(), "TMPDIR="+private)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		r.abandon("%v", err)
	}
	control, _ := r.config["control"].(string)
	p := &process{command: command, control: control, ended: make(chan struct{})}
	r.mu.Lock()
	r.started = append(r.started, p)
	r.mu.Unlock()
	r.note("process %d started", p.pid())
	go func() {
		err := command.Wait()
		r.note("process %d ended: %v", p.pid(), err)
		close(p.ended)
	}()
	return p
}

// startNode starts the node and waits until it is ready.
func (r *rig) startNode() {
	node := r.startProcess()
	r.mu.Lock()
	r.node = node
	r.mu.Unlock()
	go func() {
		<-node.ended
		r.mu.Lock()
		expected := r.stopping || r.node != node
		r.mu.Unlock()
		if !expected {
			r.breaks("crash: the node ended by itself")
		}
	}()
	r.waitFor("http://" + r.listen + "/ready")
}

// killNode kills the node, as the platform may at any time.
func (r *rig) killNode() {
	killed := r.node
	r.mu.Lock()
	r.node = nil
	r.mu.Unlock()
	killed.signal(r, sigKILL)
	<-killed.ended
}

// startSuccessor starts a second process of the node, with the same addresses but another second one.
func (r *rig) startSuccessor() *process {
	r.mu.Lock()
	r.stopping = true // the first process is to end
	r.mu.Unlock()
	r.config["control"] = freeAddress()
	r.config["seed"] = newID()
	return r.startProcess()
}

// waitUntilReady waits for a process's yes.
func (r *rig) waitUntilReady(p *process) { r.waitFor("http://" + p.control + "/control/ready") }

// waitFor waits until a call is answered 200.
func (r *rig) waitFor(url string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get(url); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.note("yes from %s", url)
				return
			}
		}
	}
	r.abandon("no yes from %s in time", url)
}

func withoutPrefix(list []string, prefixes ...string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(one string) bool {
		return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(one, prefix) })
	})
}

// stopNode ends all processes of the node that still run: with SIGTERM, and with SIGKILL if that takes too long.
func (r *rig) stopNode() {
	r.mu.Lock()
	r.stopping = true
	started := slices.Clone(r.started)
	r.mu.Unlock()
	for _, p := range started {
		select {
		case <-p.ended:
			continue
		default:
		}
		p.signal(r, sigTERM)
		select {
		case <-p.ended:
		case <-time.After(killAfter):
			p.signal(r, sigKILL)
			<-p.ended
		}
	}
}
