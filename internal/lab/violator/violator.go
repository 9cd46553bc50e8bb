// Package violator is a node that knows the wire and breaks a rule, for the lab's own tests: what judges nodes must catch
// it, also beside a fault that explains some of what it sees. A test's binary stands in for the program with it.
package violator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// FaultVariable names the fault in a rogue's environment.
const FaultVariable = "LAB_ROGUE"

// What a rogue may do.
const (
	FabricatedAnswer = "made-up"
	NoAnswer         = "no answer"
	Late             = "late"
	ParallelAttempts = "two at once"
	TooManyAttempts  = "again and again"
	RejectAfterRun   = "refused after a run"
	EarlyExit        = "hasty"        // goes at SIGTERM with requests open
	IgnoreUpdates    = "deaf to news" // hears discovery and sends on to whatever its first list has
	OverloadServer   = "flood"        // sends each request 20 times over to one server
	ForgetOverrides  = "forgetful"    // does what operators say, and its next life knows nothing of it
)

type violatingNode struct {
	Listen, Control, Discovery string
	Known                      struct {
		Hosts []struct{ Host, Dial string }
	}

	mu       sync.Mutex
	disabled map[string]bool // by an operator's word
}

// enabledServer is a server that is not out by hand; "": there is none.
func (c *violatingNode) enabledServer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.Known.Hosts {
		if !c.disabled[h.Host] {
			return h.Dial
		}
	}
	return ""
}

// serveAdmin says yes to every call, and remembers servers that are to be out.
func (c *violatingNode) serveAdmin(_ http.ResponseWriter, r *http.Request) {
	if id, out := path.Split(strings.TrimPrefix(r.URL.Path, "/control/servers/")); out == "offline" || out == "online" {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disabled[strings.TrimSuffix(id, "/")] = out == "offline"
	}
}

// Serve is the node, from ROUTER_CONFIG until the process is ended.
func Serve(fault string) error {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	c := &violatingNode{disabled: map[string]bool{}}
	if err := json.Unmarshal(text, c); err != nil {
		return err
	}
	if len(c.Known.Hosts) == 0 {
		return fmt.Errorf("rogue: no servers in %s", os.Getenv("ROUTER_CONFIG"))
	}
	ln, err := listen(c.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "msg=serving listen=%s\n", ln.Addr())
	if c.Control != "" {
		go http.ListenAndServe(c.Control, http.HandlerFunc(c.serveAdmin))
	}
	if fault == IgnoreUpdates || fault == OverloadServer { // what it hears changes nothing
		go readUpdates(c.Discovery)
	}
	return http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ready" {
			c.answer(fault, rw, r)
		}
	}))
}

// listen lets an older process of the node keep the address beside it.
func listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

// readUpdates reads all that discovery writes, and minds none of it.
func readUpdates(addr string) {
	resp, err := http.Get("http://" + addr + "/v1/endpoints?watch=1&from=1")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
}

func (c *violatingNode) answer(fault string, rw http.ResponseWriter, r *http.Request) {
	send := func(to io.Writer, dial string) int {
		out, err := http.NewRequest(r.Method, "http://"+dial+r.URL.String(), nil)
		if err != nil {
			return 0
		}
		out.Header = r.Header.Clone()
		resp, err := http.DefaultClient.Do(out)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		io.Copy(to, resp.Body)
		return resp.StatusCode
	}
	pass := func(to io.Writer, n int) int { return send(to, c.Known.Hosts[n%len(c.Known.Hosts)].Dial) }
	many := func(n int, to func(i int) int) {
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() { pass(io.Discard, to(i)) })
		}
		all.Wait()
	}
	switch fault {
	case FabricatedAnswer:
	case NoAnswer:
		panic(http.ErrAbortHandler) // the connection ends without a word
	case Late:
		pass(io.Discard, 0)
		<-r.Context().Done() // until its client has given up
	case ParallelAttempts:
		many(2, func(i int) int { return i })
	case TooManyAttempts:
		for i := range 4 {
			pass(rw, i)
		}
	case RejectAfterRun:
		pass(io.Discard, 0)
		rw.WriteHeader(http.StatusServiceUnavailable)
	case ForgetOverrides:
		if to := c.enabledServer(); to == "" || send(rw, to) != http.StatusOK {
			rw.WriteHeader(http.StatusBadGateway)
		}
	case OverloadServer:
		many(20, func(int) int { return 0 })
	default:
		pass(rw, 0)
	}
}
