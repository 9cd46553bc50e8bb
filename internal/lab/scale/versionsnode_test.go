package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/discoveryapi"
)

// versionNodes runs real nodes of one service, their servers, and a discovery service that sends one endpoint list.
type versionNodes struct {
	testing.TB
	program string
	cluster *ControlCluster
	list    discoveryapi.List
	watch   string // discovery's address
	nodes   []*versionNode
	client  *http.Client
}

// versionNode is one real node.
type versionNode struct {
	HollowNode
	noSession bool // runs without a session
	folder    string
	command   *exec.Cmd
	ended     chan struct{}
	listen    string
	calls     atomic.Int64 // of the load
}

// testedService is the service of all real nodes.
const testedService = "checkout"

// loadInterval is the time between two calls of the load at each node.
const loadInterval = 20 * time.Millisecond

// classSettings is a class in a node's settings, with the names used on the wire.
type classSettings struct {
	Name       string   `json:"name"`
	Effect     string   `json:"effect"`
	TargetMS   float64  `json:"target-ms"`
	DeadlineMS float64  `json:"deadline-ms"`
	Worth      float64  `json:"worth"`
	OnlyKinds  []string `json:"bound-to,omitempty"`
	OnlyZones  []string `json:"confined-to,omitempty"`
}

// classesWith returns the class "read" and further classes, all with the same effect, times and weight.
func classesWith(further ...classSettings) []classSettings {
	classes := []classSettings{{Name: "read"}}
	classes = append(classes, further...)
	for i := range classes {
		classes[i].Effect, classes[i].TargetMS, classes[i].DeadlineMS, classes[i].Worth = "read_like", 1000, 2000, 1
	}
	return classes
}

// nodeSettings returns settings with which a real node can start. Classes may have any type, to make invalid settings.
func nodeSettings(classes any) map[string]any {
	return map[string]any{"lanes": classes, "limits": map[string]any{"conn-idle-ms": 30000, "connect-timeout-ms": 1000, "max-attempts": 3,
		"max-retry-after-ms": 1000, "retry-after": true}}
}

// startVersionNodes starts real nodes with sessions, and stops them at the end of the test.
func startVersionNodes(t testing.TB, program string, cluster *ControlCluster, count int) *versionNodes {
	t.Helper()
	v := &versionNodes{TB: t, program: program, cluster: cluster, client: &http.Client{Timeout: rigTimeout}}
	for number, kind := range []string{"a", "b", "b"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Header.Get("X-Call-Id")) }))
		t.Cleanup(server.Close)
		v.list.Endpoints = append(v.list.Endpoints, discoveryapi.Endpoint{ID: fmt.Sprintf("server-%d", number), Addr: server.Listener.Addr().String(),
			Kind: kind, Health: "in_service"})
	}
	v.list.Version, v.list.Complete = 1, true
	v.startDiscovery()
	for number := range count {
		v.nodes = append(v.nodes, v.startNode(number, false))
	}
	return v
}

// startDiscovery starts a discovery service that sends the endpoint list to each watch and never changes it.
func (v *versionNodes) startDiscovery() {
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(v.list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	v.watch = discovery.Listener.Addr().String()
	v.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
}

// startNode starts the node with a number.
func (v *versionNodes) startNode(number int, noSession bool) *versionNode {
	v.Helper()
	node := &versionNode{HollowNode: TargetTopology.Node(number), noSession: noSession, folder: v.TempDir()}
	node.Service = testedService
	v.Cleanup(func() { v.stop(node) })
	v.launch(node)
	return node
}

// launch starts the node's process and returns when it accepts calls.
func (v *versionNodes) launch(node *versionNode) {
	v.Helper()
	var session string
	if !node.noSession {
		session = sessionSettings(node, v.cluster.Endpoints())
	}
	settings := v.write(node, "settings.hcl", []byte(session))
	config, err := json.Marshal(map[string]any{"name": node.Name, "listen": "127.0.0.1:0", "discovery": v.watch, "seed": fmt.Sprintf("%x", 1000+len(v.nodes)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": v.list, "settings": nodeSettings(classesWith())})
	if err != nil {
		v.Fatal(err)
	}
	node.command = exec.Command(v.program, "run", "--settings", settings)
	node.command.Env = append(os.Environ(), "ROUTER_CONFIG="+v.write(node, "config.json", config), "TMPDIR="+node.folder)
	node.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr, err := node.command.StderrPipe()
	if err != nil {
		v.Fatal(err)
	}
	if err := node.command.Start(); err != nil {
		v.Fatal(err)
	}
	node.ended = make(chan struct{})
	serving := make(chan string, 1)
	go node.readLog(stderr, serving)
	select {
	case node.listen = <-serving:
	case <-node.ended:
		v.Fatalf("%s exited before it accepted calls: see its log in %s", node.Name, node.folder)
	}
}

// servingLine matches the line that a node logs when it accepts calls.
var servingLine = regexp.MustCompile(`msg=serving .*listen=(\S+)`)

// readLog copies the node's log to its log file, sends the listen address to serving, and waits for the process.
func (n *versionNode) readLog(stderr io.Reader, serving chan<- string) {
	defer close(n.ended)
	log, err := os.OpenFile(filepath.Join(n.folder, "node.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		defer log.Close()
	}
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		fmt.Fprintln(log, lines.Text())
		if match := servingLine.FindStringSubmatch(lines.Text()); match != nil {
			serving <- match[1]
		}
	}
	n.command.Wait()
}

// write writes a file into a node's folder.
func (v *versionNodes) write(node *versionNode, name string, text []byte) (path string) {
	v.Helper()
	path = filepath.Join(node.folder, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		v.Fatal(err)
	}
	return path
}

// stop kills a node, if it was started, and waits for its process to exit.
func (v *versionNodes) stop(node *versionNode) {
	if node.ended == nil {
		return
	}
	node.command.Process.Kill()
	<-node.ended
}

// hasClass reports whether a node knows a class. It sends a request of the class; the answer to an unknown one is 400.
func (v *versionNodes) hasClass(ctx context.Context, node *versionNode, class string) (bool, error) {
	status, err := v.call(ctx, node, class)
	if err != nil {
		return false, err
	}
	return status != http.StatusBadRequest, nil
}

// call sends one request of a class to a node.
func (v *versionNodes) call(ctx context.Context, node *versionNode, class string) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.listen+"/api", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Call-Id", fmt.Sprintf("%s-%d", node.Name, node.calls.Add(1)))
	request.Header.Set("X-Call-Class", class)
	request.Header.Set("X-Budget", "1500000u")
	response, err := v.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// load calls each node at a constant rate until the context ends. The returned functions wait for the last call, and
// return the number of calls made and of calls that failed.
func (v *versionNodes) load(ctx context.Context) (calls, failed func() int64) {
	var callers sync.WaitGroup
	var made, lost atomic.Int64
	for _, node := range v.nodes {
		callers.Go(func() {
			tick := time.NewTicker(loadInterval)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
				made.Add(1)
				if status, err := v.call(context.WithoutCancel(ctx), node, "read"); err != nil || status != http.StatusOK {
					lost.Add(1)
				}
			}
		})
	}
	count := func(n *atomic.Int64) func() int64 {
		return func() int64 {
			callers.Wait()
			return n.Load()
		}
	}
	return count(&made), count(&lost)
}

// nodeStatuses returns the newest status of each node among those that the controllers report.
func (v *versionNodes) nodeStatuses() map[string]configapi.NodeStatus {
	return newestNodeStatus(v.cluster.Statuses(v.Context()))
}

// sessionSettings returns the text of a settings file with a session. The node stores its last known good version
// in its folder.
func sessionSettings(node *versionNode, controllers []configapi.ControllerAddress) string {
	var addresses []string
	for _, controller := range controllers {
		addresses = append(addresses, strconv.Quote(controller.Address))
	}
	return fmt.Sprintf("config_watch {\n  controllers = [%s]\n  service = %q\n  region = %q\n  zone = %q\n  folder = %q\n}\n",
		strings.Join(addresses, ", "), node.Service, node.Region, node.Zone, node.folder)
}
