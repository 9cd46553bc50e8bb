package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var outageLogs = flag.Bool("outage.logs", false, "print the logs of the nodes of outage scenarios")

// Timing of an outage scenario.
const (
	outageRequestInterval = 40 * time.Millisecond
	outageHeartbeat       = 2 * time.Second
	firstAdminPort        = 7200                  // of a scenario's own loopback address
	outageTolerance       = 50 * time.Millisecond // the protocol's slack on sockets
	outageReadyTimeout    = 10 * time.Second
	outageBudget          = 3 * time.Second
	promptRejection       = time.Second // includes the wait of a new process for its first list
)

// outageScenario is a node under load whose discovery is unavailable for some time. The servers and discovery are in this
// process, the node is a process of its own.
type outageScenario struct {
	t                *testing.T
	mode             string
	began            time.Time
	listen           string
	temporary        string // $TMPDIR of the node's processes, in which they find each other
	discovery        *outageDiscovery
	process          *exec.Cmd
	configAt         string // path of the running process's configuration
	known            string // the list that the next process is given
	listWithoutDrain string // the first list
	admin            string
	host             string // loopback address of this scenario
	processes        int    // started so far

	mu       sync.Mutex
	arrivals []time.Duration // of requests at server 0, which drains
	answers  []outageAnswer
	stopLoad chan struct{}
	loading  sync.WaitGroup
}

// outageAnswer is the result of a request.
type outageAnswer struct {
	at, took   time.Duration
	status     int // 0: none
	retryAfter bool
	err        error
}

// runAtOnce runs subtests at the same time, however many they are: they wait most of the time.
func runAtOnce(t *testing.T, subtests map[string]func(*testing.T)) {
	t.Parallel()
	var running sync.WaitGroup
	for name, subtest := range subtests {
		running.Go(func() { t.Run(name, subtest) })
	}
	running.Wait()
}

// outageHosts is the number of calls of outageHost.
var outageHosts atomic.Int64

// outageHost returns a loopback address that only one scenario uses: no other socket may take discovery's address in an outage.
func outageHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&63, pid&255, outageHosts.Add(1))
}

// newOutageScenario returns a scenario whose node does not run yet.
func newOutageScenario(t *testing.T, mode string) *outageScenario {
	temporary, err := os.MkdirTemp("", "outage") // the path of t.TempDir is too long for a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(temporary) })
	host := outageHost()
	s := &outageScenario{t: t, mode: mode, host: host, listen: host + ":7100", temporary: temporary, began: time.Now(), stopLoad: make(chan struct{})}
	s.discovery = &outageDiscovery{scenario: s, version: 1, changed: make(chan struct{}), addr: host + ":7101", drainedAt: -1, writtenAt: -1}
	s.discovery.newAddress = host + ":7102"
	for i := range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i == 0 {
				s.mu.Lock()
				s.arrivals = append(s.arrivals, s.now())
				s.mu.Unlock()
			}
			fmt.Fprint(w, "ok")
		}))
		t.Cleanup(server.Close)
		s.discovery.hosts = append(s.discovery.hosts, map[string]any{"host": fmt.Sprintf("s-%d", i),
			"dial": server.Listener.Addr().String(), "site": "a", "class": "m", "health": "in_service"})
	}
	s.known = s.discovery.list()
	s.listWithoutDrain = s.known
	s.discovery.set(answering)
	t.Cleanup(func() { s.discovery.set(refusing) })
	return s
}

// now returns the time since the scenario began.
func (s *outageScenario) now() time.Duration { return time.Since(s.began) }

// start starts a process of the node, and waits until it is ready.
func (s *outageScenario) start() {
	s.t.Helper()
	s.launch()
	s.waitFor("http://" + s.listen + "/ready")
}

// waitFor waits until a URL of the node is answered with 200.
func (s *outageScenario) waitFor(url string) {
	s.t.Helper()
	for end := time.Now().Add(outageReadyTimeout); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s is not answered with 200 within %v", url, outageReadyTimeout)
		}
	}
}

// launch starts a process of the node.
func (s *outageScenario) launch() {
	s.t.Helper()
	s.processes++
	s.admin = fmt.Sprintf("%s:%d", s.host, firstAdminPort+s.processes) // of this process only: its predecessor may still run
	s.process = programCommand(s.t, s.config(s.discovery.addr))
	s.configAt = strings.TrimPrefix(s.process.Env[len(s.process.Env)-1], "ROUTER_CONFIG=")
	s.process.Env = append(s.process.Env, "TMPDIR="+s.temporary)
	if *outageLogs {
		s.process.Stderr = os.Stderr
	}
	if err := s.process.Start(); err != nil {
		s.t.Fatal(err)
	}
	process := s.process
	s.t.Cleanup(func() { endProcess(process) })
}

// endProcess kills a process and waits for its end. It has no effect on a process that has ended.
func endProcess(process *exec.Cmd) {
	process.Process.Kill()
	process.Wait()
}

// config returns the configuration of the node's next process.
func (s *outageScenario) config(discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"control":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
 "settings":{"registry-mode":%q,"balancers":1,"rules":{"ask-within-ms":10000},
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":500,"max-attempts":3,"retry-after":true,"max-retry-after-ms":2000},
  "lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":3000,"worth":1}]}}`,
		s.listen, s.admin, discovery, s.known, s.mode)
}

// kill ends the running process with SIGKILL. The next process is given the list that this one had last.
func (s *outageScenario) kill() {
	s.known = s.discovery.list()
	endProcess(s.process)
}

// upgrade starts a successor of the running process, which takes over and replaces it.
func (s *outageScenario) upgrade() {
	s.t.Helper()
	old := s.process
	s.launch()
	s.waitFor("http://" + s.admin + "/control/ready")
	old.Process.Signal(syscall.SIGTERM)
	old.Wait()
}

// reload names another address of discovery and sends SIGHUP.
func (s *outageScenario) reload(discovery string) {
	if err := os.WriteFile(s.configAt, []byte(s.config(discovery)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.process.Process.Signal(syscall.SIGHUP)
}

// load begins to send requests, also while no process listens. stop ends it and waits for the last answer.
func (s *outageScenario) load() (stop func()) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: outageBudget + time.Second}
	var id atomic.Int64
	s.loading.Go(func() {
		tick := time.NewTicker(outageRequestInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				s.loading.Go(func() { s.send(client, id.Add(1)) })
			case <-s.stopLoad:
				return
			}
		}
	})
	return func() {
		close(s.stopLoad)
		s.loading.Wait()
	}
}

// send sends a request and records its answer.
func (s *outageScenario) send(client *http.Client, id int64) {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.listen+"/api", nil)
	if err != nil {
		panic(err) // the address is valid
	}
	r.Header.Set("X-Call-Id", fmt.Sprint("id-", id))
	r.Header.Set("X-Call-Class", "read")
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", outageBudget.Milliseconds()))
	answer := outageAnswer{at: s.now()}
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		answer.status, answer.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After") != ""
	}
	answer.took, answer.err = s.now()-answer.at, err
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, answer)
}

// checkDrain fails the test if server 0 received a request after the node counts as notified that it drains or has gone.
func (s *outageScenario) checkDrain() {
	s.t.Helper()
	notified, found := s.discovery.notifiedAt(s.mode)
	if !found {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var late []time.Duration
	for _, at := range s.arrivals {
		if at > notified+drainGrace+outageTolerance {
			late = append(late, at)
		}
	}
	if len(late) > 0 {
		s.t.Errorf("%d requests reached the draining server later than %v after the node counts as notified, from %v to %v after it",
			len(late), drainGrace+outageTolerance, late[0]-notified, late[len(late)-1]-notified)
	}
}

// checkAnswers fails the test if a request that began in a span was not served, or if a rejection came late or without
// Retry-After.
func (s *outageScenario) checkAnswers(servedFrom, servedTo time.Duration) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected, invalid := 0, 0
	for _, a := range s.answers {
		if a.at >= servedFrom && a.at < servedTo && a.status != http.StatusOK {
			if rejected++; rejected == 1 {
				s.t.Errorf("a request at %v was answered %d (%v), want 200", a.at, a.status, a.err)
			}
		}
		if a.status == http.StatusServiceUnavailable && (!a.retryAfter || a.took > promptRejection) {
			if invalid++; invalid == 1 {
				s.t.Errorf("a request at %v was rejected after %v, Retry-After: %v", a.at, a.took, a.retryAfter)
			}
		}
	}
	if rejected > 1 {
		s.t.Errorf("%d requests from %v to %v were not served", rejected, servedFrom, servedTo)
	}
}

// logAnswers logs how many requests were served, rejected and otherwise answered, by the second in which they began, counted
// from a time.
func (s *outageScenario) logAnswers(from time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bySecond := map[int][3]int{}
	last := 0
	for _, a := range s.answers {
		second, kind := int((a.at-from+1000*time.Second)/time.Second)-1000, 2
		switch a.status {
		case http.StatusOK:
			kind = 0
		case http.StatusServiceUnavailable:
			kind = 1
		}
		row := bySecond[second]
		row[kind]++
		bySecond[second], last = row, max(last, second)
	}
	var line strings.Builder
	for second := -1; second <= last; second++ {
		fmt.Fprintf(&line, " %d:%d/%d/%d", second, bySecond[second][0], bySecond[second][1], bySecond[second][2])
	}
	s.t.Logf("second: served/rejected/other:%s", line.String())
}

// firstServedAfter returns how long after a time the first request began that was served.
func (s *outageScenario) firstServedAfter(from time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := time.Duration(-1)
	for _, a := range s.answers {
		if a.at >= from && a.status == http.StatusOK && (first < 0 || a.at-from < first) {
			first = a.at - from
		}
	}
	return first
}
