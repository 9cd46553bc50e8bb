//go:build !nolab

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configwatch"
	"hookwalk.example/hookwalk/internal/node"
)

// stubController is a stand-in for a controller. It sends the updates that a test provides, and records the requests of nodes.
type stubController struct {
	*httptest.Server
	updates chan configapi.Update
	watches chan configapi.WatchRequest
	acks    chan configapi.Acknowledgement
}

func newStubController(t *testing.T) *stubController {
	t.Helper()
	c := &stubController{updates: make(chan configapi.Update, 100), watches: make(chan configapi.WatchRequest, 100),
		acks: make(chan configapi.Acknowledgement, 100)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configapi.PathWatch, c.watch)
	mux.HandleFunc("POST "+configapi.PathAck, c.ack)
	c.Server = httptest.NewServer(mux)
	t.Cleanup(c.shutDown)
	return c
}

// shutDown closes the controller and its connections.
func (c *stubController) shutDown() {
	c.CloseClientConnections()
	c.Close()
}

func (c *stubController) watch(w http.ResponseWriter, r *http.Request) {
	request, err := configapi.ParseWatchRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.watches <- request
	heartbeat := time.NewTicker(configapi.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case u := <-c.updates:
			json.NewEncoder(w).Encode(u)
		case <-heartbeat.C:
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

func (c *stubController) ack(w http.ResponseWriter, r *http.Request) {
	var ack configapi.Acknowledgement
	if err := json.NewDecoder(r.Body).Decode(&ack); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.acks <- ack
}

// versionedNode is a node that follows configuration versions. It has three servers, two of kind big and one of kind small.
type versionedNode struct {
	listen, config, settings, folder string
}

// classSettings returns settings with classes. Each argument is the JSON of one class without its braces, latency objective
// and deadline.
func classSettings(classes ...string) string {
	text := `{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":1000,"max-attempts":3},"lanes":[`
	for i, class := range classes {
		if i > 0 {
			text += ","
		}
		text += `{"target-ms":4000,"deadline-ms":8000,"worth":1,` + class + `}`
	}
	return text + `]}`
}

func newVersionedNode(t *testing.T, controllers ...string) *versionedNode {
	t.Helper()
	s := &versionedNode{listen: freeAddress(t), folder: t.TempDir()}
	var hosts []string
	for i, kind := range []string{"big", "big", "small"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, kind) }))
		t.Cleanup(server.Close)
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%d","dial":%q,"class":%q,"health":"in_service"}`, i, server.Listener.Addr(), kind))
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
	s.config = writeFile(t, "config.json", s.configText(discovery.Listener.Addr().String(), list, classSettings(`"name":"file"`)))
	s.settings = writeFile(t, "hookwalk.hcl", fmt.Sprintf(`config_watch { controllers = ["%s"] service = "log-logic" region = "east" zone = "a" folder = %q }`,
		strings.Join(controllers, `", "`), s.folder))
	return s
}

// configText returns the text of the node's configuration file.
func (s *versionedNode) configText(discovery, list, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, s.listen, discovery, list, settings)
}

// start starts a process of the node and waits until it is ready. stderr receives what the process writes to standard error.
func (s *versionedNode) start(t *testing.T, args ...string) (c *exec.Cmd, stderr *lockedBuffer) {
	t.Helper()
	c = exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "HOOKWALK_AS_PROGRAM=1", "ROUTER_CONFIG="+s.config, "TMPDIR="+t.TempDir())
	stderr = &lockedBuffer{}
	c.Stderr = stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Process.Kill()
		c.Wait()
	})
	waitFor(t, "ready", func() bool {
		resp, err := http.Get("http://" + s.listen + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return c, stderr
}

// waitFor waits until a condition holds, and fails the test after 30 s.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(30 * time.Second); !holds(); <-tick.C {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// lockedBuffer is a buffer that goroutines may write and read concurrently.
type lockedBuffer struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// send sends a request of a class, and returns the status of the response and the kind of the server that responded.
func (s *versionedNode) send(t *testing.T, class string) (status int, kind string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.listen+"/api", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Call-Id", class+time.Now().String())
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", "8000m")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// wantClass checks that requests of a class are served or, if known is false, that the node does not know the class.
func (s *versionedNode) wantClass(t *testing.T, class string, known bool) {
	t.Helper()
	want := http.StatusBadRequest
	if known {
		want = http.StatusOK
	}
	if got, _ := s.send(t, class); got != want {
		t.Errorf("a request of class %s got status %d, want %d", class, got, want)
	}
}

// receive returns the next value of a channel, and fails the test after 30 s.
func receive[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

// configUpdate returns an update with a version of the service's settings.
func configUpdate(cluster configapi.Cluster, n configapi.Version, settings string) configapi.Update {
	return configapi.Update{Cluster: cluster, Version: n, ConfigVersion: n, HasLeaderContact: true, Config: &configapi.ServiceConfig{Settings: json.RawMessage(settings)}}
}

// Guards against a node that acknowledges what it does not do, which would mislead the operator of a rollout. Requests show
// whether a real node does what it acknowledges: it applies valid versions, keeps its current one if a version is invalid in
// any way, and after SIGKILL starts with its last known good version although no controller is running.
func TestNodeFollowsConfigurationVersions(t *testing.T) {
	controller := newStubController(t)
	s := newVersionedNode(t, controller.Listener.Addr().String())
	c, stderr := s.start(t, "--settings", s.settings)
	first := receive(t, controller.watches, "watch")
	if first.Node != "n0" || first.Service != "log-logic" || first.Region != "east" || first.Zone != "a" || first.Applied != 0 {
		t.Errorf("unexpected watch request %+v", first)
	}
	s.wantClass(t, "file", true)
	controller.updates <- configUpdate("x", 1, classSettings(`"name":"v1"`))
	if ack := receive(t, controller.acks, "acknowledgement"); ack.Outcome != configapi.Applied || ack.Version != 1 || ack.Applied != 1 {
		t.Errorf("unexpected acknowledgement %+v", ack)
	}
	s.wantClass(t, "v1", true)

	number := configapi.Version(1)
	for name, bad := range map[string]struct {
		settings string
		kind     configapi.RejectionKind
	}{
		"not an object":            {`7`, configapi.RejectUnreadable},
		"invalid form":             {`{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":1000,"max-attempts":3},"lanes":{}}`, configapi.RejectUnreadable},
		"no classes":               {classSettings(), configapi.RejectInvalid},
		"no attempts":              {strings.Replace(classSettings(`"name":"bad"`), `"max-attempts":3`, `"max-attempts":0`, 1), configapi.RejectInvalid},
		"no deadline":              {strings.Replace(classSettings(`"name":"bad"`), `"deadline-ms":8000`, `"deadline-ms":0`, 1), configapi.RejectInvalid},
		"a missing key":            {strings.Replace(classSettings(`"name":"bad"`), `"conn-idle-ms":30000,`, ``, 1), configapi.RejectInvalid},
		"a class without a server": {classSettings(`"name":"v1"`, `"name":"bad","bound-to":["huge"]`), configapi.RejectNoServer},
		"a class on one server":    {classSettings(`"name":"v1","bound-to":["small"]`, `"name":"bad"`), configapi.RejectOneServer},
		"a zone without servers":   {classSettings(`"name":"v1","confined-to":["z"]`, `"name":"bad"`), configapi.RejectNoServer},
	} {
		number++
		controller.updates <- configUpdate("x", number, bad.settings)
		ack := receive(t, controller.acks, name)
		if ack.Outcome != configapi.Rejected || ack.Version != number || ack.Applied != 1 || ack.Rejection == nil || ack.Rejection.Kind != bad.kind {
			t.Errorf("%s: unexpected acknowledgement %+v, %v", name, ack, ack.Rejection)
		}
		s.wantClass(t, "bad", false)
		s.wantClass(t, "v1", true)
	}
	controller.updates <- configUpdate("y", 99, classSettings(`"name":"foreign"`))
	if ack := receive(t, controller.acks, "rejection of another cluster"); ack.Cluster != "y" || ack.Rejection == nil || ack.Rejection.Kind != configapi.RejectForeign {
		t.Errorf("update of another cluster: unexpected acknowledgement %+v", ack)
	}
	s.wantClass(t, "foreign", false)

	number++
	controller.updates <- configUpdate("x", number, classSettings(`"name":"last","bound-to":["big"]`))
	if ack := receive(t, controller.acks, "acknowledgement"); ack.Outcome != configapi.Applied || ack.Version != number {
		t.Errorf("unexpected acknowledgement %+v, %v", ack, ack.Rejection)
	}
	controller.updates <- configUpdate("x", 1, classSettings(`"name":"late"`))
	for range 20 {
		if status, kind := s.send(t, "last"); status != http.StatusOK || kind != "big" {
			t.Fatalf("status %d from a server of kind %q, want 200 from big", status, kind)
		}
	}
	s.wantClass(t, "late", false)

	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the file to be reloaded", func() bool { return strings.Count(stderr.String(), `msg="configuration reloaded"`) == 3 })
	s.wantClass(t, "last", true)
	for _, want := range []string{`msg="configuration version" version=1 outcome=applied cluster=x`, "outcome=rejected kind=no_server", "kind=foreign"} {
		if !strings.Contains(stderr.String(), want) {
			t.Errorf("the log does not contain %s", want)
		}
	}

	store := configwatch.NewStore(s.folder, "n0", slog.New(slog.DiscardHandler))
	waitFor(t, "the version on disk", func() bool {
		stored, err := store.Read()
		return err == nil && stored.Version == number
	})
	c.Process.Kill()
	c.Wait()
	controller.shutDown()
	s.start(t, "--settings", s.settings)
	if status, kind := s.send(t, "last"); status != http.StatusOK || kind != "big" {
		t.Errorf("after SIGKILL, without a controller: status %d from a server of kind %q, want 200 from big", status, kind)
	}
	s.wantClass(t, "file", false)
}

// A full or missing disk must not stop a rollout: if the folder can't be written, the node applies the version and logs the
// failure.
func TestNodeFollowsVersionsWithoutDisk(t *testing.T) {
	controller := newStubController(t)
	s := newVersionedNode(t, controller.Listener.Addr().String())
	if err := os.RemoveAll(s.folder); err != nil {
		t.Fatal(err)
	}
	_, stderr := s.start(t, "--settings", s.settings)
	controller.updates <- configUpdate("x", 1, classSettings(`"name":"v1"`))
	if ack := receive(t, controller.acks, "acknowledgement"); ack.Outcome != configapi.Applied {
		t.Errorf("unexpected acknowledgement %+v, %v", ack, ack.Rejection)
	}
	s.wantClass(t, "v1", true)
	waitFor(t, "a line about the disk", func() bool { return strings.Contains(stderr.String(), `msg="configuration version not stored"`) })
}

// A stored version that can't be read must not prevent a node from starting: it starts with its own configuration file.
func TestNodeStartsWithUnreadableStoredVersion(t *testing.T) {
	for name, damage := range map[string]func(t *testing.T, path string){
		"truncated": func(t *testing.T, path string) {
			if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"a folder instead of the file": func(t *testing.T, path string) {
			if err := os.Mkdir(path, 0o700); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newVersionedNode(t, "127.0.0.1:1")
			damage(t, filepath.Join(s.folder, "hookwalk-config.n0"))
			_, stderr := s.start(t, "--settings", s.settings)
			s.wantClass(t, "file", true)
			if !strings.Contains(stderr.String(), "starts with its own configuration file") {
				t.Errorf("the log does not say which configuration is used:\n%s", stderr)
			}
		})
	}
}

// The feature must cost nothing where it is not used: without the config_watch block, no goroutine of a session runs.
func TestConfigWatchIsOffByDefault(t *testing.T) {
	cfg := node.Config{Name: "n0"}
	before := runtime.NumGoroutine()
	got, session, err := prepareConfigWatch(cfg, slog.New(slog.DiscardHandler))
	session.start(nil)()
	if err != nil || got.Name != cfg.Name || session.watch != nil || runtime.NumGoroutine() != before {
		t.Errorf("session %+v, error %v, %d goroutines, %d before", session, err, runtime.NumGoroutine(), before)
	}
	for _, on := range []bool{false, true} {
		s := newVersionedNode(t, "127.0.0.1:1")
		args := []string{}
		if on {
			args = []string{"--settings", s.settings}
		}
		c, stderr := s.start(t, args...)
		if err := c.Process.Signal(syscall.SIGQUIT); err != nil {
			t.Fatal(err)
		}
		c.Wait()
		if runs := strings.Contains(stderr.String(), "internal/configwatch."); runs != on {
			t.Errorf("config_watch block: %v, but session running: %v", on, runs)
		}
	}
}
