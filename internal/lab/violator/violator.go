// Package violator is a node that speaks the protocol and breaks a rule, for the lab's own tests: the checks must catch it,
// also during a fault that explains some of what they see. A test's binary stands in for the program with it.
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

// FaultVariable is the environment variable that names the fault of a node.
const FaultVariable = "LAB_ROGUE"

// Faults of a node.
const (
	FabricatedAnswer = "made-up"             // answers a success that no server has run
	NoAnswer         = "no answer"           // ends the client's connection
	Late             = "late"                // answers when the client has given up
	ParallelAttempts = "two at once"         // has two attempts out
	TooManyAttempts  = "again and again"     // sends whatever the outcome
	RejectAfterRun   = "refused after a run" // rejects what a server has run
	EarlyExit        = "hasty"               // exits at SIGTERM with requests open
	IgnoreUpdates    = "deaf to news"        // watches discovery and sends to whatever its first list has
	OverloadServer   = "flood"               // sends each request many times to one server
	ForgetOverrides  = "forgetful"           // does what operators call for, and its next incarnation knows nothing of it
)

// How often the faults send a request.
const (
	parallelCopies = 2  // at once
	attemptCopies  = 4  // more than the rules allow
	overloadCopies = 20 // more than a warming server bears
)

// violatingNode is the node, with what it needs of its configuration.
type violatingNode struct {
	Listen    string
	Control   string
	Discovery string
	Known     struct {
		Hosts []struct{ Host, Dial string }
	}

	mu       sync.Mutex
	disabled map[string]bool // by operators
}

// Serve runs the node, with the configuration that ROUTER_CONFIG names, until the process is ended.
func Serve(fault string) error {
	configFile := os.Getenv("ROUTER_CONFIG")
	text, err := os.ReadFile(configFile)
	if err != nil {
		return err
	}
	n := &violatingNode{disabled: map[string]bool{}}
	if err := json.Unmarshal(text, n); err != nil {
		return err
	}
	if len(n.Known.Hosts) == 0 {
		return fmt.Errorf("violator: no servers in %s", configFile)
	}
	listener, err := listen(n.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "msg=serving listen=%s\n", listener.Addr())
	if n.Control != "" {
		go http.ListenAndServe(n.Control, http.HandlerFunc(n.serveAdmin))
	}
	if fault == IgnoreUpdates || fault == OverloadServer { // what it reads changes nothing
		go readUpdates(n.Discovery)
	}
	return http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ready" {
			n.answer(fault, rw, r)
		}
	}))
}

// listen lets an older process of the node keep the address at the same time.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// readUpdates reads all that discovery writes, and drops it.
func readUpdates(addr string) {
	resp, err := http.Get("http://" + addr + "/v1/endpoints?watch=1&from=1")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
}

// serveAdmin confirms every admin call, and remembers which servers are disabled.
func (n *violatingNode) serveAdmin(_ http.ResponseWriter, r *http.Request) {
	id, action := path.Split(strings.TrimPrefix(r.URL.Path, "/control/servers/"))
	if action != "offline" && action != "online" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disabled[strings.TrimSuffix(id, "/")] = action == "offline"
}

// enabledServer is the address of a server that no operator has disabled; "": there is none.
func (n *violatingNode) enabledServer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.Known.Hosts {
		if !n.disabled[h.Host] {
			return h.Dial
		}
	}
	return ""
}

// answer answers a request with the node's fault. With a fault that is not about forwarding it forwards once.
func (n *violatingNode) answer(fault string, rw http.ResponseWriter, r *http.Request) {
	switch fault {
	case FabricatedAnswer:
	case NoAnswer:
		panic(http.ErrAbortHandler) // ends the connection
	case Late:
		n.forward(io.Discard, r, 0)
		<-r.Context().Done() // until the client has given up
	case ParallelAttempts:
		n.forwardCopies(r, parallelCopies, func(i int) int { return i })
	case TooManyAttempts:
		for i := range attemptCopies {
			n.forward(rw, r, i)
		}
	case RejectAfterRun:
		n.forward(io.Discard, r, 0)
		rw.WriteHeader(http.StatusServiceUnavailable)
	case ForgetOverrides:
		if addr := n.enabledServer(); addr == "" || forwardTo(rw, r, addr) != http.StatusOK {
			rw.WriteHeader(http.StatusBadGateway)
		}
	case OverloadServer:
		n.forwardCopies(r, overloadCopies, func(int) int { return 0 })
	default:
		n.forward(rw, r, 0)
	}
}

// forwardCopies forwards a request several times at once, and drops the answers.
func (n *violatingNode) forwardCopies(r *http.Request, copies int, server func(copy int) int) {
	var attempts sync.WaitGroup
	for i := range copies {
		attempts.Go(func() { n.forward(io.Discard, r, server(i)) })
	}
	attempts.Wait()
}

// forward forwards a request to the server of a number, and copies the body of the answer.
func (n *violatingNode) forward(to io.Writer, r *http.Request, server int) {
	forwardTo(to, r, n.Known.Hosts[server%len(n.Known.Hosts)].Dial)
}

// forwardTo forwards a request to an address and returns the status; 0: there was no answer.
func forwardTo(to io.Writer, r *http.Request, addr string) int {
	out, err := http.NewRequest(r.Method, "http://"+addr+r.URL.String(), nil)
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
