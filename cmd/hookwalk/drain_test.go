package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// A change counts as told so long after discovery had it and could be reached, or after a SIGHUP that names another
	// address, and a node may send to a server that drains for so long after it was told.
	toldAfterChange = 6 * time.Second
	toldAfterMove   = 4 * time.Second
	drainGrace      = 250 * time.Millisecond

	drainRate = 100             // requests a second
	afterList = 5 * time.Second // that the load goes on after a list could be there
)

const drainConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
 "settings":{"registry-mode":%q,"balancers":1,"rules":{"ask-within-ms":10000},
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":500,"max-attempts":3,"retry-after":true,"max-retry-after-ms":2000},
  "lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":3000,"worth":1},
   {"name":"write","effect":"non_idempotent","target-ms":1000,"deadline-ms":3000,"worth":1}]}}`

// A node whose discovery is slow, and whose watch is silent or belongs to an earlier address, sends nothing to a server
// that began to drain so long ago that it counts as told. Every request is answered, by a refusal that says when to come
// back where no list can be relied on, and the node serves again with the next list.
func TestNothingGoesToADrainedServerWithoutAList(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		for _, takes := range []time.Duration{3 * time.Second, 7 * time.Second} {
			for _, moves := range []int{0, 3} {
				t.Run(fmt.Sprintf("%s/%v a call/%d moves", mode, takes, moves), func(t *testing.T) {
					t.Parallel()
					newDrainPlay(t, mode).run(t, takes, moves)
				})
			}
		}
	}
}

// drainPlay is a node, its servers and its discovery. The servers and discovery are handlers of this process.
type drainPlay struct {
	mode  string
	told  time.Duration    // the drain counts as told so long after it began
	hosts []map[string]any // as discovery lists them; the last one drains

	mu       sync.Mutex
	takes    time.Duration // of a call
	silenced chan struct{} // closed: what is open brings nothing any more
	drained  time.Time     // zero: not yet
	last     string        // the address of discovery that is named last
	listed   time.Time     // when a list with the drain was written there first

	late     []time.Duration // of requests at the drained server, after the drain
	statuses map[int]int
	badly    []string
}

func newDrainPlay(t *testing.T, mode string) *drainPlay {
	p := &drainPlay{mode: mode, silenced: make(chan struct{}), statuses: map[int]int{}}
	for i := range 4 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			p.arrived(i)
			fmt.Fprint(w, "ok")
		}))
		t.Cleanup(server.Close)
		p.hosts = append(p.hosts, map[string]any{"host": fmt.Sprintf("s-%d", i), "dial": server.Listener.Addr().String(),
			"site": "a", "class": "m", "health": "in_service"})
	}
	return p
}

// arrived notes a request at a server.
func (p *drainPlay) arrived(server int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if server != len(p.hosts)-1 || p.drained.IsZero() {
		return
	}
	if after := time.Since(p.drained); after > p.told+drainGrace {
		p.late = append(p.late, after)
	}
}

// ServeHTTP is discovery, at whichever address.
func (p *drainPlay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	takes, silenced := p.takes, p.silenced
	p.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		return
	}
	w.Write(p.list(r.Host))
	w.(http.Flusher).Flush()
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		select {
		case <-silenced:
			<-r.Context().Done()
			return
		case <-beat.C:
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// list is the whole list as it is now, as an address of discovery writes it.
func (p *drainPlay) list(address string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := 1
	if !p.drained.IsZero() {
		version = 2
		if p.listed.IsZero() && address == p.last {
			p.listed = time.Now()
		}
	}
	text, err := json.Marshal(map[string]any{"seq": version, "whole": true, "hosts": p.hosts})
	if err != nil {
		panic(err) // only if the types of this file can't be written
	}
	return append(text, '\n')
}

// drain has the last server drain, each call take a while from now on, and open watches fall silent.
func (p *drainPlay) drain(takes time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[len(p.hosts)-1]["health"] = "terminating"
	p.takes, p.drained = takes, time.Now()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// run plays the drain against a node under load.
func (p *drainPlay) run(t *testing.T, takes time.Duration, moves int) {
	var addresses []string
	for range moves + 1 {
		discovery := httptest.NewServer(p)
		t.Cleanup(func() {
			discovery.CloseClientConnections()
			discovery.Close()
		})
		addresses = append(addresses, discovery.Listener.Addr().String())
	}
	if p.told = toldAfterChange; moves > 0 {
		p.told = toldAfterMove
	}
	p.last = addresses[moves]
	known := p.list("")
	config := func(address string) string { return fmt.Sprintf(drainConfig, address, known, p.mode) }
	c := program(t, config(addresses[0]))
	path := strings.TrimPrefix(c.Env[len(c.Env)-1], "ROUTER_CONFIG=")
	lines, url := serving(t, c)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for lines.Scan() {
		}
	}()
	ctx, end := context.WithTimeout(t.Context(), time.Second+takes+afterList)
	defer end()
	answered := p.load(ctx, url)
	<-time.After(time.Second)
	p.drain(takes)
	for i, wait := range []time.Duration{0, 400 * time.Millisecond, 600 * time.Millisecond}[:moves] {
		<-time.After(wait)
		if err := os.WriteFile(path, []byte(config(addresses[i+1])), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	answered.Wait()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-drained
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	p.judge(t, takes)
}

// load has clients ask at a steady rate until ctx ends, and hands out what waits for the last answer.
func (p *drainPlay) load(ctx context.Context, url string) *sync.WaitGroup {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: drainRate}}
	var asking sync.WaitGroup
	var id atomic.Int64
	asking.Go(func() {
		tick := time.NewTicker(time.Second / drainRate)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				asking.Go(func() { p.ask(client, url, id.Add(1)) })
			case <-ctx.Done():
				return
			}
		}
	})
	return &asking
}

// ask makes one request and notes how it was answered.
func (p *drainPlay) ask(client *http.Client, url string, id int64) {
	method, class := http.MethodGet, "read"
	if id%2 == 0 {
		method, class = http.MethodPost, "write"
	}
	r, err := http.NewRequest(method, url+"/api", nil)
	if err != nil {
		panic(err) // only if the text above is no address
	}
	r.Header.Set("X-Call-Id", fmt.Sprint("id-", id))
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", "3000m")
	begin := time.Now()
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took := time.Since(begin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.badly = append(p.badly, fmt.Sprintf("request %d: %v", id, err))
		return
	}
	p.statuses[resp.StatusCode]++
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "":
		err = errors.New("refused without saying when to come back")
	case resp.StatusCode == http.StatusServiceUnavailable && took > time.Second:
		err = fmt.Errorf("refused after %v", took)
	case resp.StatusCode == http.StatusServiceUnavailable && !p.listed.IsZero() && begin.After(p.listed.Add(time.Second)):
		err = fmt.Errorf("refused %v after the list was written", begin.Sub(p.listed))
	case resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable:
		err = fmt.Errorf("answered %d", resp.StatusCode)
	}
	if err != nil {
		p.badly = append(p.badly, fmt.Sprintf("request %d: %v", id, err))
	}
}

// judge says what went wrong.
func (p *drainPlay) judge(t *testing.T, takes time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.late); n > 0 {
		t.Errorf("%d requests reached the drained server over %v after it began to drain, from %v to %v after",
			n, p.told+drainGrace, p.late[0], p.late[n-1])
	}
	if n := len(p.badly); n > 0 {
		t.Errorf("%d answers were not as owed, the first: %s", n, p.badly[0])
	}
	if p.listed.IsZero() {
		t.Error("the list with the drain was never written")
	} else if had := p.listed.Sub(p.drained); had > takes+4*time.Second {
		t.Errorf("the list was written %v after the drain", had)
	}
	if p.statuses[http.StatusOK] == 0 {
		t.Error("nothing was served")
	}
	t.Logf("answers %v, list after %v", p.statuses, p.listed.Sub(p.drained))
}
