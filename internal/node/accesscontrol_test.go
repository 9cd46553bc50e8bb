package node

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/settings"
)

// trustedProxy is the address of the proxy that the nodes in these tests trust.
const trustedProxy = "127.0.0.2"

// accessListFeatures returns features with an access list that trusts trustedProxy, modified by change.
func accessListFeatures(change func(*settings.AccessList)) settings.File {
	a := settings.AccessList{TrustedProxies: []netip.Prefix{netip.MustParsePrefix(trustedProxy + "/32")}, ProxyTimeout: 20 * time.Second}
	change(&a)
	return settings.File{AccessList: &a}
}

func parsePrefixes(list ...string) (all []netip.Prefix) {
	for _, s := range list {
		all = append(all, netip.MustParsePrefix(s))
	}
	return all
}

// dialFrom connects to a node from the given loopback address.
func dialFrom(t *testing.T, n *testNode, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)}}
	c, err := d.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// requestText returns the bytes of a complete request with a body of one byte.
func requestText(id string) string {
	return "POST /api HTTP/1.1\r\nHost: n\r\nX-Call-Id: " + id + "\r\nX-Call-Class: unsafe\r\nX-Budget: 30000m\r\nContent-Length: 1\r\n\r\nx"
}

// exchangeStatuses sends texts one after another and returns the status of each response. A status of 0 means that the
// connection was closed without a response.
func exchangeStatuses(t *testing.T, c net.Conn, texts ...string) (statuses []int) {
	t.Helper()
	br := bufio.NewReader(c)
	for _, text := range texts {
		io.WriteString(c, text)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Fatalf("got neither a response nor a close: %v", err)
			}
			return append(statuses, 0)
		}
		io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}

// proxyHeaderV2 returns a PROXY header of version 2 for an IPv4 client, with a TLV.
func proxyHeaderV2(client string) string {
	b := append([]byte("\r\n\r\n\x00\r\nQUIT\n"), 0x21, 0x11)
	b = binary.BigEndian.AppendUint16(b, 12+4)
	b = append(b, netip.MustParseAddr(client).AsSlice()...)
	return string(append(b, 127, 0, 0, 1, 0, 80, 0, 80, 4, 0, 1, 'x'))
}

// A client must not be able to choose the address to which the access list is applied. PROXY headers of both versions are
// accepted only from trusted proxies. A header from any other address closes the connection, and so does a missing or
// malformed header from a trusted proxy.
func TestProxyHeadersFromTrustedAndUntrustedAddresses(t *testing.T) {
	b := newBackend(t, respondOK)
	n, out := startWithFeatures(t, accessListFeatures(func(a *settings.AccessList) {
		a.Allow, a.Deny = parsePrefixes("10.4.0.0/16", "fd00:12::/48", "127.0.0.1/32"), parsePrefixes("10.4.9.0/24")
	}), b)
	for i, c := range []struct {
		source, header string
		status         int
		client         string
	}{
		{trustedProxy, "PROXY TCP4 10.4.1.1 127.0.0.1 5000 80\r\n", 200, "10.4.1.1"},
		{trustedProxy, "PROXY TCP6 fd00:12::1 ::1 5000 80\r\n", 200, "fd00:12::1"},
		{trustedProxy, "PROXY TCP6 ::ffff:10.4.1.1 ::1 5000 80\r\n", 200, "10.4.1.1"},
		{trustedProxy, proxyHeaderV2("10.4.1.1"), 200, "10.4.1.1"},
		{trustedProxy, "PROXY TCP4 10.4.9.1 127.0.0.1 5000 80\r\n", 403, "10.4.9.1"},
		{trustedProxy, proxyHeaderV2("10.5.0.1"), 403, "10.5.0.1"},
		{trustedProxy, "PROXY UNKNOWN\r\n", 403, trustedProxy}, // the proxy's own address is used
		{trustedProxy, "\r\n\r\n\x00\r\nQUIT\n\x20\x00\x00\x00", 403, trustedProxy},
		{trustedProxy, "", 0, trustedProxy},
		{trustedProxy, "PROXY TCP4 10.4.1.1\r\n", 0, trustedProxy},
		{trustedProxy, "PROXY TCP4 " + strings.Repeat("1", 200), 0, trustedProxy},
		{"127.0.0.1", "", 200, "127.0.0.1"},
		{"127.0.0.1", "PROXY TCP4 10.4.1.1 127.0.0.1 5000 80\r\n", 0, "127.0.0.1"},
		{"127.0.0.1", proxyHeaderV2("10.4.1.1"), 0, "127.0.0.1"},
		{"127.0.0.3", "", 403, "127.0.0.3"},
		{"127.0.0.3", proxyHeaderV2("10.4.1.1"), 0, "127.0.0.3"},
	} {
		before, id := b.requests(), fmt.Sprint("id-", i)
		// Bytes sent together with the header must not be lost, and the connection is kept open.
		want := []int{c.status}
		texts := []string{c.header + requestText(id)}
		if c.status == 200 {
			texts, want = append(texts, requestText(id+"-2")), append(want, 200)
		}
		if got := exchangeStatuses(t, dialFrom(t, n, c.source), texts...); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s, %q: statuses %v, want %v", c.source, c.header, got, want)
		}
		if sent := b.requests() - before; c.status != 200 && sent != 0 || c.status == 200 && sent != 2 {
			t.Errorf("%s, %q: %d attempts", c.source, c.header, sent)
		}
		switch c.status {
		case 403:
			if len(out.lines("msg=denied id="+id+" class=unsafe client="+c.client+"\n")) != 1 {
				t.Errorf("request %s is not logged as denied: %s", id, out)
			}
		case 0:
			if got := out.lines(`msg="connection closed" client=` + c.client + " "); len(got) == 0 {
				t.Errorf("%s, %q: the close is not logged: %s", c.source, c.header, out)
			}
		}
	}
}

// A PROXY header may arrive byte by byte. The access list is still applied to the address in that header.
func TestProxyHeaderInPieces(t *testing.T) {
	n, _ := startWithFeatures(t, accessListFeatures(func(a *settings.AccessList) { a.Allow = parsePrefixes("10.4.0.0/16") }), newBackend(t, respondOK))
	for _, header := range []string{"PROXY TCP4 10.4.1.1 127.0.0.1 5000 80\r\n", proxyHeaderV2("10.4.1.1")} {
		c := dialFrom(t, n, trustedProxy)
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetNoDelay(true)
		}
		for _, b := range []byte(header) {
			if _, err := c.Write([]byte{b}); err != nil {
				t.Fatal(err)
			}
		}
		if got := exchangeStatuses(t, c, requestText("1")); got[0] != 200 {
			t.Errorf("%q: statuses %v", header, got)
		}
	}
}

// A proxy that sends its header slowly must not delay other clients. If the accepting goroutine read the header, 50 such
// connections would block the node. Each of them is closed at the timeout.
func TestLateProxyHeader(t *testing.T) {
	n, out := startWithFeatures(t, accessListFeatures(func(a *settings.AccessList) { a.ProxyTimeout = 200 * time.Millisecond }), newBackend(t, respondOK))
	var slow []net.Conn
	for i := range 50 {
		c := dialFrom(t, n, trustedProxy)
		io.WriteString(c, "PROXY TCP4 10.4.1.1 127"[:i%20])
		slow = append(slow, c)
	}
	begin := time.Now()
	if got := exchangeStatuses(t, dialFrom(t, n, "127.0.0.1"), requestText("1")); got[0] != 200 {
		t.Errorf("with slow proxies connected: statuses %v", got)
	}
	for _, c := range slow {
		if got := exchangeStatuses(t, c, ""); got[0] != 0 {
			t.Errorf("answered %v", got)
		}
	}
	if took := time.Since(begin); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
	if got := out.lines(`msg="connection closed" client=` + trustedProxy + " "); len(got) != 50 {
		t.Errorf("%d closes are logged, want 50", len(got))
	}
}

// If the header arrives late but in time, and no complete request follows, the client still gets a response or a close within
// 3 s of connecting. The timeouts of the header and of the request must not add up.
func TestLateProxyHeaderWithoutRequest(t *testing.T) {
	n, _ := startWithFeatures(t, accessListFeatures(func(a *settings.AccessList) {}), newBackend(t, respondOK))
	begin := time.Now()
	c := dialFrom(t, n, trustedProxy)
	if got := exchangeStatuses(t, c, "PROXY UNKNOWN\r\nPOST /api HTTP/1.1\r\n"); got[0] != 0 && got[0] < 400 {
		t.Errorf("answered %v", got)
	}
	if took := time.Since(begin); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
}

// A denied client gets a 403 for everything except the readiness check, and cannot start a fault injection. Other clients
// are served. The log names the client in each case.
func TestDeniedClientMayOnlyCheckReadiness(t *testing.T) {
	features := accessListFeatures(func(a *settings.AccessList) { a.Deny = parsePrefixes("127.0.0.3/32") })
	features.FaultInjections = faultInjectionFeatures(func(*settings.FaultInjection) {}).FaultInjections
	n, out := startWithFeatures(t, features, newBackend(t, respondOK))
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n" }
	startDrill := "POST /drills HTTP/1.1\r\nHost: n\r\n" + faultinjection.Header + ": " + secret + "\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]int{get("/ready"): 200, get("/api"): 403, startDrill: 403,
		strings.Replace(requestText("1"), "unsafe", "new", 1):        403,
		"POST /api HTTP/1.1\r\nHost: n\r\nContent-Length: 9\r\n\r\n": 403} {
		if got := exchangeStatuses(t, dialFrom(t, n, "127.0.0.3"), text); got[0] != want {
			t.Errorf("%q: answered %v, want %d", text, got, want)
		}
	}
	if got := out.lines("msg=denied "); len(got) != 4 {
		t.Errorf("%d requests are logged as denied, want 4: %s", len(got), out)
	}
	if len(out.lines("drill started")) != 0 {
		t.Error("a denied client started a fault injection")
	}
	if got := exchangeStatuses(t, dialFrom(t, n, "127.0.0.1"), startDrill, requestText("2")); got[0] != 200 || got[1] != 200 {
		t.Errorf("an admitted client got statuses %v", got)
	}
	started := func() []string { return out.lines(`msg="drill started" drill=stall client=127.0.0.1`) }
	eventually(t, "the start is logged, possibly after its response", func() bool { return len(started()) >= 1 })
	if len(started()) != 1 {
		t.Errorf("the client that started the fault injection is not logged: %s", out)
	}
	if len(out.lines("msg=drilled id=2 class=unsafe drill=stall client=127.0.0.1\n")) != 1 {
		t.Errorf("the client of the affected request is not logged: %s", out)
	}
}

// A denied client that uses the ID of another client's open request gets a 403, and the open request is not affected.
func TestDeniedClientWithDuplicateID(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(_ int, c net.Conn, _ *http.Request) bool {
		<-release
		return respond(c, "200 OK", "done")
	})
	n, _ := startWithFeatures(t, accessListFeatures(func(a *settings.AccessList) { a.Deny = parsePrefixes("127.0.0.3/32") }), b)
	got := make(chan []int, 1)
	c := dialFrom(t, n, "127.0.0.1")
	go func() { got <- exchangeStatuses(t, c, requestText("1")) }()
	eventually(t, "the request has reached the server", func() bool { return b.requests() == 1 })
	if got := exchangeStatuses(t, dialFrom(t, n, "127.0.0.3"), requestText("1")); got[0] != 403 {
		t.Errorf("the denied client got statuses %v", got)
	}
	close(release)
	if got := <-got; got[0] != 200 {
		t.Errorf("the admitted client got statuses %v", got)
	}
}

// The log line of a failed attempt contains the client's address, so that operators can find a client's attempts.
func TestFailedAttemptLogsClient(t *testing.T) {
	b := newBackend(t, func(int, net.Conn, *http.Request) bool { return false })
	n, out := startWithFeatures(t, accessListFeatures(func(*settings.AccessList) {}), b)
	if got := exchangeStatuses(t, dialFrom(t, n, trustedProxy), "PROXY TCP4 10.4.1.1 127.0.0.1 5000 80\r\n"+requestText("1")); got[0] != 502 {
		t.Errorf("answered %v", got)
	}
	if got := out.lines("attempt without an answer"); len(got) != 1 || !strings.HasSuffix(got[0], " client=10.4.1.1\n") {
		t.Errorf("logged %q", got)
	}
}
