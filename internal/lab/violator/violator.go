// Package violator is a node that speaks the protocol but breaks one rule. The tests of the lab run it to prove that the
// checks find the violation, even during a fault that explains some of the symptoms. Test binaries run it in place of the
// program.
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

// FaultVariable is the environment variable that selects the fault of a node.
const FaultVariable = "LAB_ROGUE"

// Faults of a node: the values of FaultVariable.
const (
	FabricatedAnswer = "made-up"             // answers with a success that no server has executed
	NoAnswer         = "no answer"           // closes the client's connection without an answer
	Late             = "late"                // answers after the client has given up
	ParallelAttempts = "two at once"         // sends two attempts at once
	TooManyAttempts  = "again and again"     // sends more attempts than allowed, whatever their outcome
	RejectAfterRun   = "refused after a run" // rejects a request that a server has executed
	EarlyExit        = "hasty"               // exits at SIGTERM while requests are open
	IgnoreUpdates    = "deaf to news"        // watches discovery but keeps sending to the servers of its bootstrap list
	OverloadServer   = "flood"               // sends each request many times to one server
	ForgetOverrides  = "forgetful"           // applies administrative overrides, but loses them at a restart
)

// Copies of a request that the faults send.
const (
	parallelCopies = 2  // in parallel, to different servers
	attemptCopies  = 4  // in sequence; more than the rules allow
	overloadCopies = 20 // in parallel, to one server; more than it can handle while it is warming up
)

// violatingNode is the node, with the part of its configuration that it uses.
type violatingNode struct {
	Listen    string
	Control   string
	Discovery string
	Known     struct {
		Hosts []struct{ Host, Dial string }
	}

	mu       sync.Mutex
	disabled map[string]bool // servers that an operator has disabled, by ID
}

// Serve runs the node with the configuration file that ROUTER_CONFIG names, until the process ends.
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
		return fmt.Errorf("violator: configuration %s lists no servers", configFile)
	}
	listener, err := listen(n.Listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "msg=serving listen=%s\n", listener.Addr())
	if n.Control != "" {
		go http.ListenAndServe(n.Control, http.HandlerFunc(n.serveAdmin))
	}
	if fault == IgnoreUpdates || fault == OverloadServer { // both watch discovery and ignore the updates
		go readUpdates(n.Discovery)
	}
	return http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ready" {
			n.answer(fault, rw, r)
		}
	}))
}

// listen listens with SO_REUSEPORT, so that an earlier process of the node can keep the same address.
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

// readUpdates watches discovery and discards the updates.
func readUpdates(addr string) {
	resp, err := http.Get("http://" + addr + "/v1/endpoints?watch=1&from=1")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
}

// serveAdmin confirms every admin call and records which servers are disabled.
func (n *violatingNode) serveAdmin(_ http.ResponseWriter, r *http.Request) {
	id, action := path.Split(strings.TrimPrefix(r.URL.Path, "/control/servers/"))
	if action != "offline" && action != "online" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disabled[strings.TrimSuffix(id, "/")] = action == "offline"
}

// enabledServer returns the address of the first server that no operator has disabled, or "".
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

// answer handles a request according to the fault. With a fault that does not concern forwarding it forwards once.
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

// forwardCopies forwards a request several times in parallel and discards the answers.
func (n *violatingNode) forwardCopies(r *http.Request, copies int, server func(copy int) int) {
	var attempts sync.WaitGroup
	for i := range copies {
		attempts.Go(func() { n.forward(io.Discard, r, server(i)) })
	}
	attempts.Wait()
}

// forward forwards a request to the server with a number, modulo the number of servers, and copies the body of the answer.
func (n *violatingNode) forward(to io.Writer, r *http.Request, server int) {
	forwardTo(to, r, n.Known.Hosts[server%len(n.Known.Hosts)].Dial)
}

// forwardTo forwards a request to an address and returns the status of the answer, or 0 if there was none.
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
