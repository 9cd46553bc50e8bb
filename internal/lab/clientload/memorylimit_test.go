package clientload

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Figures of the load in the tests of the memory limit.
const (
	slowRate            = 64 << 10 // bytes per second at which slow clients write and read
	slowPiece           = 3200     // bytes of one write of a slow client
	loadTime            = 5 * time.Second
	otherClientInterval = 50 * time.Millisecond
	otherClientBudget   = 3 * time.Second
	fewClients          = 100 // with up to so many, the node has fewer descriptors for servers than there are clients
)

// runOtherClient sends a small request every otherClientInterval until the load is over, each on a connection of its own that
// is kept if possible. It returns how many requests it sent, and what
// happened to those that were neither served nor rejected in time.
func (n *limitedNode) runOtherClient() (sent int, failures []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: otherClientBudget}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var open sync.WaitGroup
	for tick := time.NewTicker(otherClientInterval); ; sent++ {
		select {
		case <-tick.C:
		case <-n.stop:
			tick.Stop()
			open.Wait()
			return sent, failures
		}
		id := fmt.Sprintf("other-%d", sent)
		open.Go(func() {
			if failure := n.sendSmall(client, id); failure != "" {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, failure)
			}
		})
	}
}

// sendSmall sends one idempotent request, and returns "" if it was served or rejected in time, or else what happened.
func (n *limitedNode) sendSmall(client *http.Client, id string) (failure string) {
	r, _ := http.NewRequest("GET", "http://"+n.addr+"/api", nil)
	r.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {"read"}, "X-Budget": {fmt.Sprintf("%dm", otherClientBudget.Milliseconds())}}
	response, err := client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	served, rejected := response.StatusCode == http.StatusOK && string(body) == id, response.StatusCode == http.StatusServiceUnavailable
	if err != nil || !served && !rejected {
		return fmt.Sprintf("%s: %d %q %v", id, response.StatusCode, body, err)
	}
	return ""
}

// heavyClient is one of many clients that together need much memory. It returns when stop is closed, or earlier. answered
// counts the requests that got an answer.
type heavyClient struct {
	run func(i int, c net.Conn, stop <-chan struct{}, answered *atomic.Int64)
	// ordinaryRequests is the number of requests of each client that the node must serve, if it has a descriptor for each:
	// ordinary clients send nothing unusual. 0: the clients are not ordinary.
	ordinaryRequests int
}

// requestHead returns a request's head without the empty line at its end.
func requestHead(method, class, id string) string {
	return method + " /api HTTP/1.1\r\nHost: a\r\nX-Call-Class: " + class + "\r\nX-Call-Id: " + id + "\r\nX-Budget: 3000m\r\n"
}

// shortFields returns header fields of four to seven bytes, with distinct names if distinct is true.
func shortFields(size int, distinct bool) string {
	var fields strings.Builder
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for i := 0; fields.Len() < size; i++ {
		name := "a"
		if distinct {
			name = string([]byte{letters[i/26/26%26], letters[i/26%26], letters[i%26]})
		}
		fields.WriteString(name + ":\r\n")
	}
	return fields.String()
}

// writeSlowly writes n bytes at slowRate.
func writeSlowly(c net.Conn, n int, stop <-chan struct{}) {
	piece := bytes.Repeat([]byte("x"), slowPiece)
	for began, sent := time.Now(), 0; sent < n; sent += len(piece) {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(began.Add(time.Duration(sent) * time.Second / slowRate))):
		}
		if _, err := c.Write(piece[:min(len(piece), n-sent)]); err != nil {
			return
		}
	}
}

// readSlowly reads from a connection at slowRate until it ends.
func readSlowly(c net.Conn, stop <-chan struct{}) {
	buf := make([]byte, 16<<10)
	for began, read := time.Now(), 0; ; {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		read += n
		select {
		case <-stop:
			return
		case <-time.After(time.Until(began.Add(time.Duration(read) * time.Second / slowRate))):
		}
	}
}

// readResponses reads up to n responses, and counts those that are complete and have status 200.
func readResponses(c net.Conn, n int, answered *atomic.Int64) {
	in := bufio.NewReader(c)
	for range n {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			return
		}
		answered.Add(1)
	}
}

// readStatus reads one response and returns its status and the size of its body.
func readStatus(c net.Conn) (status, size int, err error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, int(n), err
}

// sendUnfinishedHead sends many short header fields and no end of the head.
func sendUnfinishedHead(distinct bool) func(int, net.Conn, <-chan struct{}, *atomic.Int64) {
	fields := shortFields(15<<10, distinct)
	return func(i int, c net.Conn, stop <-chan struct{}, _ *atomic.Int64) {
		io.WriteString(c, requestHead("POST", "write", fmt.Sprintf("head-%d", i))+fields)
		<-stop
	}
}

// unserved has what the latest client with a given number got in place of a 200, for the messages of failed tests.
var unserved sync.Map

// sendHeads sends complete requests with the given header fields, one after another.
func sendHeads(fields string, requests int) func(int, net.Conn, <-chan struct{}, *atomic.Int64) {
	return func(i int, c net.Conn, stop <-chan struct{}, answered *atomic.Int64) {
		in := bufio.NewReader(c)
		for k := range requests {
			io.WriteString(c, requestHead("POST", "write", fmt.Sprintf("heads-%d-%d", i, k))+fields+"Content-Length: 0\r\n\r\n")
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				unserved.Store(i, err.Error())
				return
			}
			io.Copy(io.Discard, response.Body)
			if response.StatusCode == http.StatusOK {
				answered.Add(1)
			} else {
				unserved.Store(i, response.Status)
			}
		}
		<-stop
	}
}

// sendBody sends a part of a body slowly and then waits.
func sendBody(announced string, size, sent int) func(int, net.Conn, <-chan struct{}, *atomic.Int64) {
	return func(i int, c net.Conn, stop <-chan struct{}, answered *atomic.Int64) {
		io.WriteString(c, requestHead("POST", "write", fmt.Sprintf("body-%d", i))+announced+"\r\n")
		if strings.HasPrefix(announced, "Transfer") {
			fmt.Fprintf(c, "%x\r\n", size)
		}
		writeSlowly(c, sent, stop)
		if sent == size {
			readResponses(c, 1, answered)
		}
		<-stop
	}
}

// heavyClients are the kinds of clients that together can exceed a node's memory.
var heavyClients = map[string]heavyClient{
	"unfinished heads with equal fields":    {run: sendUnfinishedHead(false)},
	"unfinished heads with distinct fields": {run: sendUnfinishedHead(true)},
	"heads with equal fields":               {run: sendHeads(shortFields(15<<10, false), 6)},
	"heads with distinct fields":            {run: sendHeads(shortFields(15<<10, true), 6)},
	"heads with few fields":                 {run: sendHeads(strings.Repeat("X-A: b\r\n", 20), 6), ordinaryRequests: 6},
	"heads with one long field":             {run: sendHeads("X-A: "+strings.Repeat("b", 15<<10)+"\r\n", 6)},
	"bodies that stop":                      {run: sendBody("Content-Length: 1000000\r\n", 1000000, 200000)},
	"chunked bodies that stop":              {run: sendBody("Transfer-Encoding: chunked\r\n", 1000000, 200000)},
	"slow readers": {run: func(i int, c net.Conn, stop <-chan struct{}, _ *atomic.Int64) {
		io.WriteString(c, requestHead("POST", "write", fmt.Sprintf("large-%d", i))+"Content-Length: 0\r\n\r\n")
		readSlowly(c, stop)
	}},
	"long bodies and responses": {run: func(i int, c net.Conn, stop <-chan struct{}, _ *atomic.Int64) {
		io.WriteString(c, requestHead("POST", "write", fmt.Sprintf("large-%d", i))+"Content-Length: 200000\r\n\r\n")
		writeSlowly(c, 200000, stop)
		readSlowly(c, stop)
	}},
	"pipelined requests": {run: func(i int, c net.Conn, stop <-chan struct{}, answered *atomic.Int64) {
		var all strings.Builder
		for k := range 60 {
			all.WriteString(requestHead("POST", "write", fmt.Sprintf("p-%d-%d", i, k)) + "Content-Length: 0\r\n\r\n")
		}
		io.WriteString(c, all.String())
		readResponses(c, 60, answered)
		<-stop
	}},
	"four pipelined requests": {ordinaryRequests: 4, run: func(i int, c net.Conn, stop <-chan struct{}, answered *atomic.Int64) {
		var all strings.Builder
		for k := range 4 {
			all.WriteString(requestHead("POST", "write", fmt.Sprintf("q-%d-%d", i, k)) + "Content-Length: 0\r\n\r\n")
		}
		io.WriteString(c, all.String())
		readResponses(c, 4, answered)
		<-stop
	}},
	"connections without a request": {run: func(_ int, _ net.Conn, stop <-chan struct{}, _ *atomic.Int64) { <-stop }},
}

// nodeSizes are the least memory that the platform gives, with the most and the fewest descriptors.
var nodeSizes = []struct{ memoryMB, sockets int }{{32, 1024}, {32, 256}}

// Guards against a node that many clients drive beyond its memory limit. Each limit on one connection was kept, but nothing
// limited what a connection costs in memory, nor the sum over all connections, so the platform killed the node.
func TestManyClientsStayWithinMemoryLimit(t *testing.T) {
	for _, size := range nodeSizes {
		for name, client := range heavyClients {
			t.Run(fmt.Sprintf("%d MB, %d descriptors/%s", size.memoryMB, size.sockets, name), func(t *testing.T) {
				checkMemoryLimit(t, startLimitedNode(t, size.memoryMB, size.sockets, answerBySize), size.sockets/3, client)
			})
		}
	}
}

// checkMemoryLimit plays clients of one kind against a node for loadTime, and checks its memory, that other clients are served
// in time, and that ordinary clients are.
func checkMemoryLimit(t *testing.T, node *limitedNode, clients int, client heavyClient) {
	t.Helper()
	unserved.Clear()
	var running sync.WaitGroup
	var answered atomic.Int64
	for i := range clients {
		running.Go(func() {
			c, err := net.Dial("tcp", node.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			go func() { <-node.stop; c.SetDeadline(time.Now()) }()
			client.run(i, c, node.stop, &answered)
		})
	}
	time.AfterFunc(loadTime, func() { close(node.stop) })
	sent, failures := node.runOtherClient()
	running.Wait()
	peak := node.peakKB(t)
	t.Logf("peak memory %d KiB; %d requests of %d clients were served, and %d of %d of others answered", peak, answered.Load(), clients, sent-len(failures), sent)
	if limit := node.memoryMB << 10; peak > limit {
		t.Errorf("peak memory %d KiB, over the limit of %d KiB", peak, limit)
	}
	if len(failures) > 0 {
		t.Errorf("%d of %d requests of other clients were not answered, first: %s", len(failures), sent, failures[0])
	}
	if want := int64(clients * client.ordinaryRequests); clients > fewClients && answered.Load() < want {
		t.Errorf("%d of %d requests of ordinary clients were served", answered.Load(), want)
		unserved.Range(func(client, got any) bool {
			t.Logf("client %v: %v", client, got)
			return true
		})
	}
}

// A node must stay within its memory limit while idle clients hold more connections than it has descriptors, besides as many ordinary
// clients as may be there.
func TestIdleClientsStayWithinMemoryLimit(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	node := startLimitedNode(t, memoryMB, sockets, answerBySize)
	var idle sync.WaitGroup
	for range sockets {
		idle.Go(func() { keepConnecting(node.addr, node.stop) })
	}
	client := heavyClients["heads with few fields"].run
	var ordinary sync.WaitGroup
	var answered atomic.Int64
	for i := range sockets / 3 {
		ordinary.Go(func() {
			c, err := net.Dial("tcp", node.addr)
			if err != nil {
				return
			}
			defer c.Close()
			client(i, c, node.stop, &answered) // the connection may be evicted between two requests
		})
	}
	time.AfterFunc(loadTime, func() { close(node.stop) })
	ordinary.Wait()
	idle.Wait()
	peak := node.peakKB(t)
	t.Logf("peak memory %d KiB; %d requests were served", peak, answered.Load())
	if peak > memoryMB<<10 || answered.Load() == 0 {
		t.Errorf("peak memory %d KiB, limit %d KiB; %d requests were served", peak, memoryMB<<10, answered.Load())
	}
}
