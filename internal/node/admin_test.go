package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// An operator disables a server before its restart: it must get nothing more, on idle connections neither, until it is
// enabled again. With all servers disabled requests are rejected at once.
func TestDisabledServerGetsNothing(t *testing.T) {
	a, b := newBackend(t, respondOK), newBackend(t, respondOK)
	n := startWith(t, a, b)
	ask := func(id string) int {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", id, "x"))
		return status
	}
	for i := 0; a.requests() == 0 || b.requests() == 0; i++ {
		ask(fmt.Sprint("warm", i))
	}
	o := adminService{n.Node}
	if err := o.SetServerDisabled(t.Context(), "nobody", true); !errors.Is(err, balancer.ErrUnknownServer) {
		t.Errorf("an unknown server: %v", err)
	}
	for range 2 {
		if err := o.SetServerDisabled(t.Context(), "s-0", true); err != nil {
			t.Fatal(err)
		}
	}
	had := a.requests()
	for i := range 30 {
		if ask(fmt.Sprint("out", i)) != http.StatusOK {
			t.Fatal("not served")
		}
	}
	if a.requests() != had {
		t.Error("a disabled server got a request")
	}
	if err := o.SetServerDisabled(t.Context(), "s-1", true); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if got := ask("none"); got != http.StatusServiceUnavailable || time.Since(begin) > 5*time.Second {
		t.Errorf("with all out: %d after %v", got, time.Since(begin))
	}
	if o.CheckReady() != nil {
		t.Error("a process is not ready though all servers are disabled by an operator, not missing")
	}
	for _, id := range []string{"s-0", "s-1"} {
		if err := o.SetServerDisabled(t.Context(), id, false); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "it is used again", func() bool { ask(time.Now().String()); return a.requests() > had })
}

// Without an admin address no descriptors are reserved for operators; one that can't be had ends the node at its start.
func TestWithoutAdminAddress(t *testing.T) {
	cfg := testConfig(t, "pushed")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	with := cfg
	with.AdminAddress = taken.Addr().String()
	for _, c := range []Config{cfg, with} {
		n, err := New(c, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		if got := n.pool.maxConns + n.maxClientConns; (got == cfg.Sockets-reservedDescriptors) != (c.AdminAddress == "") {
			t.Errorf("admin address %q: %d descriptors", c.AdminAddress, got)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	n, _ := New(with, discardLogger())
	if err := n.Run(ctx); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("an address that can't be had: %v", err)
	}
}
