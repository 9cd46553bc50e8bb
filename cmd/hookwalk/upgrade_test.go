package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/state"
)

// nodeEnvironment is what the processes of one node share: servers, a discovery that lists them, an address for clients and
// a $TMPDIR.
type nodeEnvironment struct {
	listen, tmp string
	config      string // with the address of the admin API to fill in
	requests    [2]atomic.Int64
}

// freeAddress is an address that nobody listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// newNodeEnvironment has two servers that answer with the request's ID.
func newNodeEnvironment(t testing.TB) *nodeEnvironment {
	t.Helper()
	return newNodeEnvironmentWith(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Header.Get("X-Call-Id")) })
}

// newNodeEnvironmentWith has two servers with a handler, and lists others where nobody listens.
func newNodeEnvironmentWith(t testing.TB, answer http.HandlerFunc, others ...string) *nodeEnvironment {
	t.Helper()
	s := &nodeEnvironment{listen: freeAddress(t), tmp: t.TempDir()}
	var hosts []string
	for _, id := range others {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","health":"in_service"}`, id))
	}
	for i := range s.requests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.requests[i].Add(1)
			answer(w, r)
		}))
		t.Cleanup(server.Close)
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":%q,"health":"in_service"}`, i, server.Listener.Addr()))
	}
	list := fmt.Sprintf(`{"seq":2,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	s.config = fmt.Sprintf(`{"name":"n0","listen":%q,"control":"%%s","discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
	 "settings":{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":1000,"max-attempts":3,"max-retry-after-ms":1000,"retry-after":true},
	  "lanes":[{"name":"a","target-ms":1000,"deadline-ms":2000,"worth":1}]}}`, s.listen, discovery.Listener.Addr(), list)
	return s
}

// nodeProcess is one process of the node.
type nodeProcess struct {
	*exec.Cmd
	control string
	ended   chan error
}

// start starts a process, which is killed at the end of the test.
func (s *nodeEnvironment) start(t testing.TB) *nodeProcess {
	t.Helper()
	p := &nodeProcess{control: freeAddress(t), ended: make(chan error, 1)}
	p.Cmd = programCommand(t, fmt.Sprintf(s.config, p.control))
	p.Env = append(p.Env, "TMPDIR="+s.tmp)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		p.ended <- p.Wait()
		close(done)
	}()
	t.Cleanup(func() {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
		<-done
	})
	return p
}

// callAdmin calls the admin API and returns the status of the answer, 0 if there is none.
func (p *nodeProcess) callAdmin(method, path string) int {
	r, _ := http.NewRequest(method, "http://"+p.control+path, nil)
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// waitReady waits until the process has taken over.
func (p *nodeProcess) waitReady(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); p.callAdmin("GET", "/control/ready") != http.StatusOK; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never became ready")
		}
	}
}

// terminate ends a process and wants it to end well.
func (p *nodeProcess) terminate(t testing.TB) {
	t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the process does not end")
	}
}

// clientLoad sends requests on keep-alive connections until stop is closed. It counts answers, requests that met the close
// of an idle connection, and other failures.
type clientLoad struct {
	served, unreadRequests, failures atomic.Int64
	stop                             chan struct{}
	running                          sync.WaitGroup
	firstFailure                     atomic.Pointer[string]
}

// load starts clients.
func (s *nodeEnvironment) load(clients int) *clientLoad {
	l := &clientLoad{stop: make(chan struct{})}
	for c := range clients {
		l.running.Go(func() { l.runClient(s.listen, c) })
	}
	return l
}

// recordFailure counts a failure, and keeps the first one.
func (l *clientLoad) recordFailure(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.firstFailure.CompareAndSwap(nil, &text)
	l.failures.Add(1)
}

// runClient sends requests one after another. One that meets the close of its connection is sent once more.
func (l *clientLoad) runClient(addr string, n int) {
	var c net.Conn
	var br *bufio.Reader
	for i := 0; i < 20000; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(1+n%5) * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", n, i)
		for attempt := 0; ; attempt++ {
			reused := c != nil
			if !reused {
				var err error
				if c, err = net.Dial("tcp", addr); err != nil {
					l.recordFailure("no connection: %v", err)
					return
				}
				br = bufio.NewReader(c)
			}
			fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s\r\nX-Call-Class: a\r\nX-Budget: 2000m\r\nContent-Length: 0\r\n\r\n", id)
			resp, err := http.ReadResponse(br, nil)
			if err != nil && reused && attempt == 0 {
				l.unreadRequests.Add(1)
				c.Close()
				c = nil
				continue
			}
			if err != nil {
				l.recordFailure("%s: %v", id, err)
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK || string(body) != id {
				l.recordFailure("%s: %d %q %v", id, resp.StatusCode, body, err)
			}
			l.served.Add(1)
			if resp.Close {
				c.Close()
				c = nil
			}
			break
		}
	}
}

// stopAndCheck stops the clients and wants no failures.
func (l *clientLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.running.Wait()
	if first := l.firstFailure.Load(); first != nil {
		t.Errorf("%d requests failed, first: %s", l.failures.Load(), *first)
	}
	if l.unreadRequests.Load() > 2 {
		t.Errorf("%d requests met a connection's end", l.unreadRequests.Load())
	}
	t.Logf("%d served, %d unread", l.served.Load(), l.unreadRequests.Load())
}

// A hot restart has two processes for a while: a request may fall between them, and an operator may call either. Two
// upgrades in a row under load lose nothing; overrides outlast them, and during the overlap a call to either process binds
// both.
func TestUpgradeUnderLoad(t *testing.T) {
	s := newNodeEnvironment(t)
	p := s.start(t)
	p.waitReady(t)
	l := s.load(16)
	for round := range 2 {
		successor := s.start(t)
		successor.waitReady(t)
		for _, each := range []*nodeProcess{p, successor} { // a reload during the overlap must not end it
			each.Process.Signal(syscall.SIGHUP)
		}
		target := []*nodeProcess{p, successor}[round]
		if got := target.callAdmin("POST", "/control/servers/s-1/offline"); got != http.StatusOK {
			t.Errorf("offline is answered %d", got)
		}
		requestsBefore, before := s.requests[1].Load(), l.served.Load()
		for l.served.Load() < before+200 {
			time.Sleep(time.Millisecond)
		}
		if s.requests[1].Load() > requestsBefore+16 { // those that were in flight
			t.Errorf("round %d: a disabled server got %d requests", round, s.requests[1].Load()-requestsBefore)
		}
		p.terminate(t)
		p = successor
	}
	if got := p.callAdmin("POST", "/control/servers/s-1/online"); got != http.StatusOK {
		t.Errorf("online is answered %d", got)
	}
	for had := s.requests[1].Load(); s.requests[1].Load() == had; {
		time.Sleep(time.Millisecond)
	}
	l.stopAndCheck(t)
	if s.requests[0].Load()+s.requests[1].Load() != l.served.Load() {
		t.Errorf("servers ran %d requests of %d", s.requests[0].Load()+s.requests[1].Load(), l.served.Load())
	}
	p.terminate(t)
}

// disabledOnDisk are the servers that the folder has as disabled by an operator.
func (s *nodeEnvironment) disabledOnDisk(t testing.TB) []string {
	t.Helper()
	var stored struct{ Out []string }
	files, _ := filepath.Glob(s.tmp + "/*.kept")
	for _, name := range files {
		info, err := state.Inspect(name)
		if err = errors.Join(err, json.Unmarshal(info.Body, &stored)); err != nil {
			t.Error(err)
		}
	}
	return stored.Out
}

// A node is out of service for a reason that outlasts an upgrade: its successor is out of service too.
func TestSuccessorStaysOutOfService(t *testing.T) {
	s := newNodeEnvironment(t)
	p := s.start(t)
	p.waitReady(t)
	if got := p.callAdmin("POST", "/control/out-of-service"); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	successor := s.start(t)
	successor.waitReady(t)
	p.terminate(t)
	if got := status(t, "http://"+s.listen+"/ready"); got != http.StatusServiceUnavailable {
		t.Errorf("the successor's /ready says %d", got)
	}
	if got := successor.callAdmin("POST", "/control/in-service"); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	if got := status(t, "http://"+s.listen+"/ready"); got != http.StatusOK {
		t.Errorf("in service, /ready says %d", got)
	}
}

// Operators drain a node before they end it, and may change their mind: SIGTERM ends a node in order at any stage of a drain
// and of the return from it.
func TestSIGTERMDuringDrain(t *testing.T) {
	for name, calls := range map[string][]string{"drained": {"out-of-service"}, "drained twice": {"out-of-service", "out-of-service"},
		"back": {"out-of-service", "in-service"}, "drained again": {"out-of-service", "in-service", "out-of-service"}} {
		t.Run(name, func(t *testing.T) {
			s := newNodeEnvironment(t)
			p := s.start(t)
			p.waitReady(t)
			for _, c := range calls {
				if got := p.callAdmin("POST", "/control/"+c); got != http.StatusOK {
					t.Errorf("%s is answered %d", c, got)
				}
			}
			p.terminate(t)
		})
	}
}

// A new build may crash as it takes over. A successor that dies before or after it became ready leaves the old process
// serving as before.
func TestSuccessorDies(t *testing.T) {
	s := newNodeEnvironment(t)
	p := s.start(t)
	p.waitReady(t)
	l := s.load(1)
	for round := range 2 {
		successor := s.start(t)
		if round == 1 {
			successor.waitReady(t)
		}
		successor.Process.Kill()
		<-successor.ended
		successor.ended <- errors.New("killed")
	}
	before := l.served.Load()
	for l.served.Load() < before+200 && l.failures.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	close(l.stop)
	l.running.Wait()
	if l.served.Load() < before+200 && l.unreadRequests.Load() == 0 { // what the successor itself had in flight may be lost
		t.Errorf("it does not serve on: %v", *l.firstFailure.Load())
	}
	p.terminate(t)
}

// A successor waits for the old process, and one that hangs or was killed never answers. It is replaced within the time that
// a successor has; overrides are restored from disk.
func TestOldProcessHungOrKilled(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"hung": syscall.SIGSTOP, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			s := newNodeEnvironment(t)
			p := s.start(t)
			p.waitReady(t)
			if got := p.callAdmin("POST", "/control/servers/s-1/offline"); got != http.StatusOK {
				t.Fatalf("offline is answered %d", got)
			}
			p.Process.Signal(sig)
			begin := time.Now()
			successor := s.start(t)
			successor.waitReady(t)
			if took := time.Since(begin); took > 6*time.Second {
				t.Errorf("it was ready after %v", took)
			}
			if got := successor.callAdmin("POST", "/control/servers/s-1/online"); got != http.StatusOK {
				t.Errorf("enabling the disabled server is answered %d", got)
			}
			if disabled := s.disabledOnDisk(t); len(disabled) > 0 {
				t.Errorf("on disk %v is disabled", disabled)
			}
		})
	}
}
