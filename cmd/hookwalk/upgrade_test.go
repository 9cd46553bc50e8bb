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

// nodeEnvironment is what the processes of one node share: servers, a discovery that lists them, an address for clients and a
// $TMPDIR.
type nodeEnvironment struct {
	listen, tmp string
	config      string // a format; its argument is the address of the admin API
	requests    [2]atomic.Int64
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// newNodeEnvironment returns an environment with two servers that respond with the ID of the request.
func newNodeEnvironment(t testing.TB) *nodeEnvironment {
	t.Helper()
	return newNodeEnvironmentWith(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Header.Get("X-Call-Id")) })
}

// newNodeEnvironmentWith returns an environment with two servers that use a handler. Discovery also lists the others, at an
// address on which no process listens.
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

// nodeProcess is one process of a node.
type nodeProcess struct {
	*exec.Cmd
	control string
	ended   chan error
}

// start starts a process of the node, which is killed at the end of the test.
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

// callAdmin calls the admin API and returns the status of the response, or 0 if there is none.
func (p *nodeProcess) callAdmin(method, path string) int {
	r, _ := http.NewRequest(method, "http://"+p.control+path, nil)
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// waitReady waits until the process has taken over and is ready.
func (p *nodeProcess) waitReady(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); p.callAdmin("GET", "/control/ready") != http.StatusOK; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the process did not become ready")
		}
	}
}

// terminate sends SIGTERM to a process and checks that it exits with 0.
func (p *nodeProcess) terminate(t testing.TB) {
	t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the process did not exit")
	}
}

// clientLoad sends requests on keep-alive connections until stop is closed. It counts responses, requests that were sent while
// the node closed their idle connection, and other failures.
type clientLoad struct {
	served, unreadRequests, failures atomic.Int64
	stop                             chan struct{}
	running                          sync.WaitGroup
	firstFailure                     atomic.Pointer[string]
}

// load starts a load of a number of clients.
func (s *nodeEnvironment) load(clients int) *clientLoad {
	l := &clientLoad{stop: make(chan struct{})}
	for c := range clients {
		l.running.Go(func() { l.runClient(s.listen, c) })
	}
	return l
}

// recordFailure counts a failure, and keeps the text of the first one.
func (l *clientLoad) recordFailure(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.firstFailure.CompareAndSwap(nil, &text)
	l.failures.Add(1)
}

// runClient sends requests one after another. If the node closes a reused connection without a response, the request is sent
// once more.
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
					l.recordFailure("failed to connect: %v", err)
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

// stopAndCheck stops the clients and checks that no request failed.
func (l *clientLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.running.Wait()
	if first := l.firstFailure.Load(); first != nil {
		t.Errorf("%d requests failed, first: %s", l.failures.Load(), *first)
	}
	if l.unreadRequests.Load() > 2 {
		t.Errorf("%d requests were sent while the node closed their connection, want 2 at most", l.unreadRequests.Load())
	}
	t.Logf("%d served, %d unread", l.served.Load(), l.unreadRequests.Load())
}

// During a hot restart, two processes run for a while: a request could be lost between them, and an operator may call either.
// Two consecutive upgrades under load must lose no request. Overrides must persist, and during the overlap a call to either
// process must take effect in both.
func TestUpgradeUnderLoad(t *testing.T) {
	s := newNodeEnvironment(t)
	p := s.start(t)
	p.waitReady(t)
	l := s.load(16)
	for round := range 2 {
		successor := s.start(t)
		successor.waitReady(t)
		for _, each := range []*nodeProcess{p, successor} { // a reload during the overlap must not terminate the process
			each.Process.Signal(syscall.SIGHUP)
		}
		target := []*nodeProcess{p, successor}[round]
		if got := target.callAdmin("POST", "/control/servers/s-1/offline"); got != http.StatusOK {
			t.Errorf("offline: status %d", got)
		}
		requestsBefore, before := s.requests[1].Load(), l.served.Load()
		for l.served.Load() < before+200 {
			time.Sleep(time.Millisecond)
		}
		if s.requests[1].Load() > requestsBefore+16 { // one per client may have been in flight
			t.Errorf("round %d: a disabled server got %d requests", round, s.requests[1].Load()-requestsBefore)
		}
		p.terminate(t)
		p = successor
	}
	if got := p.callAdmin("POST", "/control/servers/s-1/online"); got != http.StatusOK {
		t.Errorf("online: status %d", got)
	}
	for before := s.requests[1].Load(); s.requests[1].Load() == before; {
		time.Sleep(time.Millisecond)
	}
	l.stopAndCheck(t)
	if s.requests[0].Load()+s.requests[1].Load() != l.served.Load() {
		t.Errorf("servers received %d requests, but %d were served", s.requests[0].Load()+s.requests[1].Load(), l.served.Load())
	}
	p.terminate(t)
}

// disabledOnDisk returns the servers that are disabled by an operator in the state on disk.
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

// An operator takes a node out of service for reasons that an upgrade does not remove: its successor must be out of service too.
func TestSuccessorStaysOutOfService(t *testing.T) {
	s := newNodeEnvironment(t)
	p := s.start(t)
	p.waitReady(t)
	if got := p.callAdmin("POST", "/control/out-of-service"); got != http.StatusOK {
		t.Fatalf("out-of-service: status %d", got)
	}
	successor := s.start(t)
	successor.waitReady(t)
	p.terminate(t)
	if got := status(t, "http://"+s.listen+"/ready"); got != http.StatusServiceUnavailable {
		t.Errorf("/ready of the successor: status %d", got)
	}
	if got := successor.callAdmin("POST", "/control/in-service"); got != http.StatusOK {
		t.Fatalf("in-service: status %d", got)
	}
	if got := status(t, "http://"+s.listen+"/ready"); got != http.StatusOK {
		t.Errorf("/ready after in-service: status %d", got)
	}
}

// Operators drain a node before they stop it, and may change their mind. SIGTERM must shut a node down cleanly at any stage of a
// drain and of the return to service.
func TestSIGTERMDuringDrain(t *testing.T) {
	for name, calls := range map[string][]string{"out of service": {"out-of-service"}, "out of service twice": {"out-of-service", "out-of-service"},
		"in service again": {"out-of-service", "in-service"}, "out of service again": {"out-of-service", "in-service", "out-of-service"}} {
		t.Run(name, func(t *testing.T) {
			s := newNodeEnvironment(t)
			p := s.start(t)
			p.waitReady(t)
			for _, c := range calls {
				if got := p.callAdmin("POST", "/control/"+c); got != http.StatusOK {
					t.Errorf("%s: status %d", c, got)
				}
			}
			p.terminate(t)
		})
	}
}

// A new build may crash as it takes over. If a successor dies before or after it is ready, the old process must continue to
// serve.
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
	if l.served.Load() < before+200 && l.unreadRequests.Load() == 0 { // requests in flight at the successor may be lost
		t.Errorf("the old process does not continue to serve: %v", *l.firstFailure.Load())
	}
	p.terminate(t)
}

// A successor waits for the old process, which never responds if it hangs or was killed. The successor must become ready within
// its time limit nevertheless, and restore overrides from disk.
func TestOldProcessHungOrKilled(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"hung": syscall.SIGSTOP, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			s := newNodeEnvironment(t)
			p := s.start(t)
			p.waitReady(t)
			if got := p.callAdmin("POST", "/control/servers/s-1/offline"); got != http.StatusOK {
				t.Fatalf("offline: status %d", got)
			}
			p.Process.Signal(sig)
			begin := time.Now()
			successor := s.start(t)
			successor.waitReady(t)
			if took := time.Since(begin); took > 6*time.Second {
				t.Errorf("the successor was ready after %v, want 6 s at most", took)
			}
			if got := successor.callAdmin("POST", "/control/servers/s-1/online"); got != http.StatusOK {
				t.Errorf("online: status %d, want 200 for the server that was disabled", got)
			}
			if disabled := s.disabledOnDisk(t); len(disabled) > 0 {
				t.Errorf("%v are disabled on disk, want none", disabled)
			}
		})
	}
}

// A client leaves while its request is at a server, and sends it again to the other process of the node. A request that must not
// run twice then ran in both processes, since each knew only its own requests.
func TestAbandonedRunDuringUpgrade(t *testing.T) { checkRunsOnceAcrossUpgrade(t, false) }

// The same, but the client has left before the successor starts, which has to be told at the handover.
func TestAbandonedRunBeforeUpgrade(t *testing.T) { checkRunsOnceAcrossUpgrade(t, true) }

// checkRunsOnceAcrossUpgrade has a client leave before the successor is started, or after it is ready.
func checkRunsOnceAcrossUpgrade(t *testing.T, leavesBefore bool) {
	t.Helper()
	var runs atomic.Int64
	s := newNodeEnvironmentWith(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Call-Id") == "abandoned" {
			runs.Add(1)
			time.Sleep(500 * time.Millisecond)
		}
	})
	send := func() net.Conn {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: abandoned\r\nX-Call-Class: a\r\nX-Budget: 2000m\r\nContent-Length: 0\r\n\r\n")
		return c
	}
	old := s.start(t)
	old.waitReady(t)
	first := send()
	for end := time.Now().Add(10 * time.Second); runs.Load() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request did not reach a server")
		}
	}
	if leavesBefore {
		first.Close()
	}
	successor := s.start(t)
	successor.waitReady(t)
	first.Close()
	time.Sleep(100 * time.Millisecond) // a client that leaves needs a moment to come again
	for again := range 8 {             // the kernel may give a connection to either process
		c := send()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("request %d: %v", again, err)
		}
		if response.StatusCode != http.StatusConflict {
			t.Errorf("request %d was answered with %d", again, response.StatusCode)
		}
		c.Close()
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("the request ran %d times", got)
	}
	old.terminate(t)
	successor.terminate(t)
}
