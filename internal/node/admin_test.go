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

// An operator disables a server before restarting it. The server must get no more requests, not even on idle connections,
// until it is enabled again. When all servers are disabled, requests are rejected at once.
func TestDisabledServerGetsNoRequests(t *testing.T) {
	a, b := newBackend(t, respondOK), newBackend(t, respondOK)
	n := startWithBackends(t, a, b)
	send := func(id string) int {
		status, _, _ := sendRequest(t, newRequest(t, n.url, "unsafe", id, "x"))
		return status
	}
	for i := 0; a.requests() == 0 || b.requests() == 0; i++ {
		send(fmt.Sprint("warm", i))
	}
	admin := adminService{n.Node}
	if err := admin.SetServerDisabled(t.Context(), "nobody", true); !errors.Is(err, balancer.ErrUnknownServer) {
		t.Errorf("disabling an unknown server: %v", err)
	}
	for range 2 {
		if err := admin.SetServerDisabled(t.Context(), "s-0", true); err != nil {
			t.Fatal(err)
		}
	}
	requestsBefore := a.requests()
	for i := range 30 {
		if send(fmt.Sprint("out", i)) != http.StatusOK {
			t.Fatal("a request was not served while one server was disabled")
		}
	}
	if a.requests() != requestsBefore {
		t.Error("a disabled server got a request")
	}
	if err := admin.SetServerDisabled(t.Context(), "s-1", true); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if got := send("none"); got != http.StatusServiceUnavailable || time.Since(begin) > 5*time.Second {
		t.Errorf("with all servers disabled: answered %d after %v", got, time.Since(begin))
	}
	if admin.CheckReady() != nil {
		t.Error("the process is not ready, although servers are listed and only disabled by an operator")
	}
	for _, id := range []string{"s-0", "s-1"} {
		if err := admin.SetServerDisabled(t.Context(), id, false); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the enabled server is used again", func() bool { send(time.Now().String()); return a.requests() > requestsBefore })
}

// Without an admin address no descriptors are reserved for the admin API. If the address is already in use, the node fails
// at startup.
func TestAdminAddressReservesDescriptors(t *testing.T) {
	cfg := testConfig(t, "pushed")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	withAdmin := cfg
	withAdmin.AdminAddress = taken.Addr().String()
	for _, c := range []Config{cfg, withAdmin} {
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
	n, _ := New(withAdmin, discardLogger())
	if err := n.Run(ctx); err == nil || !strings.HasPrefix(err.Error(), "admin listener: ") {
		t.Errorf("an address in use: %v", err)
	}
}
