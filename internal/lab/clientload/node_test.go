package clientload

import (
	"bufio"
	"bytes"
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
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scale"
)

// largeResponse is the size in bytes of a response to a request whose ID begins with "large".
const largeResponse = 2 << 20

// nodeConfig is the format of the node's configuration. Its arguments are the address of discovery, the limits on memory and
// descriptors, and the bootstrap list.
const nodeConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,
 "settings":{"registry-mode":"pushed","balancers":1,
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":1000,"max-attempts":3,"retry-after":true,"max-retry-after-ms":1000},
  "lanes":[{"name":"read","effect":"read_like","target-ms":2500,"deadline-ms":6000,"worth":1},
   {"name":"write","effect":"non_idempotent","target-ms":2500,"deadline-ms":6000,"worth":1}]}}`

// serviceProgram builds the node for service: the race detector multiplies the memory of a program.
var serviceProgram = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "hookwalk-service")
	if err != nil {
		return "", err
	}
	return scale.BuildForService(context.Background(), "../../..", folder)
})

// limitedNode is a node process with limits on memory and descriptors.
type limitedNode struct {
	addr     string
	memoryMB int
	process  *exec.Cmd
	stop     chan struct{} // closed when the load is over

	mu  sync.Mutex
	log strings.Builder
}

// startLimitedNode starts a node for service, and twelve servers that use a handler.
func startLimitedNode(t *testing.T, memoryMB, sockets int, handler http.HandlerFunc) *limitedNode {
	t.Helper()
	var servers []string
	for range 12 {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		servers = append(servers, server.Listener.Addr().String())
	}
	return startNodeWithServers(t, memoryMB, sockets, servers)
}

// startNodeWithServers starts a node for service that knows the servers with the given addresses.
func startNodeWithServers(t *testing.T, memoryMB, sockets int, servers []string) *limitedNode {
	t.Helper()
	program, err := serviceProgram()
	if err != nil {
		t.Fatal(err)
	}
	var hosts []map[string]any
	for i, addr := range servers {
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%d", i), "dial": addr, "health": "in_service"})
	}
	discovery := httptest.NewServer(http.HandlerFunc(serveEmptyChange))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(nodeConfig, discovery.Listener.Addr().String(), memoryMB, sockets, known)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	node := &limitedNode{memoryMB: memoryMB, stop: make(chan struct{})}
	node.process = exec.Command(program, "--settings", "../../../deploy/hookwalk.hcl")
	node.process.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+t.TempDir())
	node.awaitReady(t)
	return node
}

// answerBySize reads a request and answers it after 0.1 s, with a large response if its ID begins with "large".
func answerBySize(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(100 * time.Millisecond)
	if !strings.HasPrefix(r.Header.Get("X-Call-Id"), "large") {
		fmt.Fprint(w, r.Header.Get("X-Call-Id"))
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(largeResponse))
	w.Write(bytes.Repeat([]byte("0123456789abcdef"), largeResponse/16))
}

// peakKB returns the peak resident memory of the process in KiB.
func (n *limitedNode) peakKB(t *testing.T) (peak int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	if _, err := fmt.Sscan(after, &peak); err != nil {
		t.Fatal(err)
	}
	return peak
}

// serveEmptyChange answers a watch with a list that changes nothing, and keeps the watch open.
func serveEmptyChange(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, `{"seq":1,"whole":false,"hosts":[]}`)
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// awaitReady starts the process and waits until it is ready. The lines of its log other than captures and metrics are kept.
func (n *limitedNode) awaitReady(t *testing.T) {
	t.Helper()
	stderr, err := n.process.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	serving := make(chan string, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		listen := regexp.MustCompile(`msg=serving .*listen=(\S+)`)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if m := listen.FindStringSubmatch(lines.Text()); m != nil {
				serving <- m[1]
			}
			if strings.HasPrefix(lines.Text(), "time=") {
				n.appendLog(lines.Text())
			}
		}
	}()
	t.Cleanup(func() {
		n.process.Process.Kill()
		<-ended
		n.process.Wait()
	})
	select {
	case n.addr = <-serving:
	case <-ended:
		t.Fatalf("the node did not serve: %s", n.logText())
	}
	for end := time.Now().Add(20 * time.Second); n.readyStatus() != http.StatusOK; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the node did not become ready")
		}
	}
}

// readyStatus returns the status of the node's readiness check, or 0 if there is no answer.
func (n *limitedNode) readyStatus() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.addr + "/ready")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (n *limitedNode) appendLog(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.WriteString(line + "\n")
}

// logText returns the node's log, without captures and metrics.
func (n *limitedNode) logText() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}
