package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Load and servers of the test.
const (
	secondResponseServers = 4
	secondResponseClients = 28
	requestsPerClient     = 40                     // of each client, one after another
	secondResponseShare   = 0.05                   // of the answers are followed by a second one
	minWorkTime           = 10 * time.Millisecond  // of a request; drawn uniformly up to maxWork
	maxWorkTime           = 150 * time.Millisecond // see minWork

	// Bounds of what a second answer may do, by how late it was really written: on a busy machine a server is held up.
	maxHarmlessLateness          = 20 * time.Millisecond // up to here it reaches nobody; 6 ms are asked for
	maxSingleMisdeliveryLateness = 36 * time.Millisecond // up to here it reaches one request and no answer goes astray behind it; 30 ms are asked for
)

// A second answer of a server on a kept connection once passed as the answer to the next request there, and each answer
// behind it to the one after; where it was a marked rejection, the next request ran twice.
func TestSecondResponseReachesNoOtherRequest(t *testing.T) {
	delays := []time.Duration{0, 300 * time.Microsecond, time.Millisecond, 3 * time.Millisecond, 6 * time.Millisecond,
		12 * time.Millisecond, 30 * time.Millisecond}
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		for _, delay := range delays {
			t.Run(fmt.Sprintf("%d/%v", status, delay), func(t *testing.T) {
				t.Parallel()
				p := &secondResponseTest{delay: delay, status: status, runs: map[string][]string{}, lateness: map[string]time.Duration{}}
				p.run(t)
				p.check(t)
			})
		}
	}
}

// secondResponseTest is a node under load, whose servers answer some requests twice.
type secondResponseTest struct {
	delay  time.Duration // from an answer to the second one
	status int           // of the second one; a 503 is marked as a rejection

	mu              sync.Mutex
	runs            map[string][]string      // by ID: the runs of a request, each as the ID of the request before on its connection
	lateness        map[string]time.Duration // by ID of a request: how long after its answer the second one was written
	secondResponses int                      // that were to be written
	served          int
	misdelivered    []misdeliveredResponse
	failures        []string
}

// misdeliveredResponse is an answer that was not its request's own.
type misdeliveredResponse struct {
	receivedBy string // of the request that it was given to
	kind       string // "first" or "second"
	writtenFor string // the ID of the request that it was written for
}

// run plays the load against a node of its own process, and ends the node.
func (p *secondResponseTest) run(t *testing.T) {
	discovery := httptest.NewServer(http.HandlerFunc(serveUnchangedList))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	var hosts []map[string]any
	for i := range secondResponseServers {
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%d", i), "dial": p.startServer(t), "health": "in_service"})
	}
	known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		t.Fatal(err)
	}
	c := programCommand(t, fmt.Sprintf(drainConfig, discovery.Listener.Addr().String(), known, "pushed"))
	lines, url := startServing(t, c)
	logRead := make(chan struct{})
	go func() {
		defer close(logRead)
		for lines.Scan() {
		}
	}()
	var clients sync.WaitGroup
	for number := range secondResponseClients {
		clients.Go(func() { p.runClient(url, number) })
	}
	clients.Wait()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-logRead
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// serveUnchangedList is a discovery whose list does not change.
func serveUnchangedList(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, `{"seq":1,"whole":false,"hosts":[]}`)
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		w.(http.Flusher).Flush()
		select {
		case <-heartbeat.C:
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}

// startServer starts a server that answers some requests twice, and returns its address.
func (p *secondResponseTest) startServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serveConn(conn)
		}
	}()
	return listener.Addr().String()
}

// serveConn answers the requests of one connection, one after another.
func (p *secondResponseTest) serveConn(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for previous := ""; ; {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Call-Id")
		sendsSecond := rand.Float64() < secondResponseShare
		p.mu.Lock()
		p.runs[id] = append(p.runs[id], previous)
		if sendsSecond {
			p.secondResponses++
		}
		p.mu.Unlock()
		<-time.After(minWorkTime + rand.N(maxWorkTime-minWorkTime))
		response := responseText(http.StatusOK, "first "+id)
		second := responseText(p.status, "second "+id)
		if sendsSecond && p.delay == 0 {
			response += second
		}
		respondedAt := time.Now()
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if sendsSecond && p.delay > 0 {
			time.AfterFunc(p.delay, func() { // beside whatever is answered then
				io.WriteString(conn, second) // in one write
				p.recordLateness(id, time.Since(respondedAt))
			})
		}
		previous = id
	}
}

func (p *secondResponseTest) recordLateness(id string, lateness time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness[id] = lateness
}

// responseText is an answer as it is on the wire.
func responseText(status int, body string) string {
	rejected := ""
	if status != http.StatusOK {
		rejected = "X-Rejected: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), rejected, len(body), body)
}

// runClient sends one request after another on one connection.
func (p *secondResponseTest) runClient(url string, number int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := range requestsPerClient {
		p.send(client, url, fmt.Sprintf("r-%d-%d", number, i), i%2 == 0)
	}
}

// send sends one request and notes whose answer it was given.
func (p *secondResponseTest) send(client *http.Client, url, id string, unsafe bool) {
	method, class := http.MethodGet, "read"
	if unsafe {
		method, class = http.MethodPost, "write"
	}
	r, err := http.NewRequest(method, url+"/api", nil)
	if err != nil {
		panic(err) // only if the text above is no address
	}
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", "3000m")
	resp, err := client.Do(r)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		p.failures = append(p.failures, fmt.Sprintf("%s: %v", id, err))
	case resp.StatusCode != http.StatusOK:
	case string(body) == "first "+id:
		p.served++
	default:
		kind, writtenFor, _ := strings.Cut(string(body), " ")
		p.misdelivered = append(p.misdelivered, misdeliveredResponse{id, kind, writtenFor})
	}
}

// check fails the test where a request was given what is not its own answer, or an unsafe one ran twice, unless a second
// answer was so late that it may do that.
func (p *secondResponseTest) check(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds, others := p.checkResponses(t)
	twice := p.checkRuns(t)
	t.Logf("%d served, %d second answers, %d of them given to a request, %d other answers, %d unsafe requests run twice",
		p.served, p.secondResponses, seconds, others, twice)
	if len(p.failures) > 0 {
		t.Errorf("%d have no answer, the first: %s", len(p.failures), p.failures[0])
	}
	if p.served == 0 || p.secondResponses == 0 {
		t.Errorf("%d served, %d second answers: the play shows nothing", p.served, p.secondResponses)
	}
}

// checkResponses judges the wrong answers, and counts the second ones and the others.
func (p *secondResponseTest) checkResponses(t *testing.T) (seconds, others int) {
	for _, response := range p.misdelivered {
		text := fmt.Sprintf("%s was given the %s answer to %s", response.receivedBy, response.kind, response.writtenFor)
		if response.kind == "second" {
			seconds++
			p.failUnlessLate(t, text, p.lateness[response.writtenFor], maxHarmlessLateness)
			continue
		}
		others++
		p.failUnlessLate(t, text, p.maxLatenessBefore(response.writtenFor), maxSingleMisdeliveryLateness)
	}
	return seconds, others
}

// checkRuns judges the unsafe requests that ran twice, and counts them.
func (p *secondResponseTest) checkRuns(t *testing.T) (twice int) {
	for id, runs := range p.runs {
		var client, request int
		fmt.Sscanf(id, "r-%d-%d", &client, &request)
		if len(runs) == 1 || request%2 != 0 {
			continue
		}
		twice++
		var lateness time.Duration
		for _, previous := range runs {
			lateness = max(lateness, p.lateness[previous])
		}
		p.failUnlessLate(t, fmt.Sprintf("%s ran %d times", id, len(runs)), lateness, maxHarmlessLateness)
	}
	return twice
}

// maxLatenessBefore is how late the latest second answer was to those before a request on its connection.
func (p *secondResponseTest) maxLatenessBefore(id string) (lateness time.Duration) {
	for id != "" && len(p.runs[id]) > 0 {
		id = p.runs[id][0]
		lateness = max(lateness, p.lateness[id])
	}
	return lateness
}

// failUnlessLate fails the test unless the second answer that caused something was later than a bound.
func (p *secondResponseTest) failUnlessLate(t *testing.T, text string, lateness, bound time.Duration) {
	if lateness > bound {
		t.Logf("%s, by a second answer that was %v late", text, lateness)
		return
	}
	t.Errorf("%s, by a second answer that was %v late", text, lateness)
}
