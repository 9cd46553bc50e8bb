package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// echoServer starts a server that answers each request with a text, and returns its address.
func echoServer(t *testing.T) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "answer") }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func get(ctx context.Context, t *testing.T, client *http.Client, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func TestNetworkCountsTrafficAndWatches(t *testing.T) {
	address := echoServer(t)
	var watches atomic.Int64
	network := NewNetwork(func(at string, _ time.Time) {
		if at == address {
			watches.Add(1)
		}
	})
	transport := &http.Transport{DialContext: network.DialContext}
	client := &http.Client{Transport: transport}
	for _, path := range []string{"/v1/config?node=a", "/v1/load"} {
		if err := get(t.Context(), t, client, "http://"+address+path); err != nil {
			t.Fatal(err)
		}
	}
	open := network.Traffic()
	transport.CloseIdleConnections()
	closed := network.Traffic()
	for _, count := range []SessionTraffic{open, closed} {
		if count.Dials != 1 || count.Watches != 1 || watches.Load() != 1 {
			t.Errorf("counts %+v, %d watches", count, watches.Load())
		}
		if count.BytesIn == 0 || count.BytesOut == 0 || count.SegmentsIn == 0 || count.SegmentsOut == 0 {
			t.Errorf("nothing was counted: %+v", count)
		}
		if count.OnWire() <= count.BytesIn+count.BytesOut {
			t.Errorf("no headers in %+v", count)
		}
	}
	if spent := closed.Minus(open); spent.BytesIn != 0 || spent.Dials != 0 {
		t.Errorf("closing counted %+v", spent)
	}
}

// If open connections kept working during a partition, sessions that have lost their controller would continue. Data that
// is sent during a partition must arrive only after it ends.
func TestNetworkStallsOpenConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	network := NewNetwork(func(string, time.Time) {})
	client, err := network.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	network.SetUnreachable([]string{listener.Addr().String()})
	if _, err := io.WriteString(server, "held"); err != nil {
		t.Fatal(err)
	}
	arrived := make(chan string, 1)
	go func() {
		b := make([]byte, len("held"))
		io.ReadFull(client, b)
		arrived <- string(b)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := network.DialContext(ctx, "tcp", listener.Addr().String()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a dial to an unreachable address ended with %v", err)
	}
	select {
	case got := <-arrived:
		t.Errorf("%q arrived through a partition", got)
	default:
	}
	network.SetUnreachable(nil)
	if got := <-arrived; got != "held" {
		t.Errorf("%q arrived after the partition", got)
	}
}

// A session that ends during a partition must not hang in a write that waits for the partition's end.
func TestNetworkClosesDuringAPartition(t *testing.T) {
	address := echoServer(t)
	network := NewNetwork(func(string, time.Time) {})
	conn, err := network.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	network.SetUnreachable([]string{address})
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte("never sent"))
		failed <- err
	}()
	conn.Close()
	if err := <-failed; !errors.Is(err, net.ErrClosed) {
		t.Errorf("a write to a closed connection ended with %v", err)
	}
}
