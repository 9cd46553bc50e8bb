package hotrestart

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
)

// socketPath returns the path of the socket for the processes of a test.
func socketPath(t *testing.T) string {
	t.Helper()
	path, err := SocketPath(t.TempDir(), "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// clientListener returns a listening socket for clients.
func clientListener(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// acceptOne listens at a path and calls handle with the first connection.
func acceptOne(t *testing.T, path string, handle func(*Conn)) {
	t.Helper()
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if conn, err := ln.Accept(); err == nil {
			defer conn.Close()
			handle(conn)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
}

// A new process takes over while clients connect. It must get the state and the listening socket of the old process: a
// connection in the accept queue must not be lost, even after the old process has closed its copy of the socket. Messages
// must arrive in order, and each must be acknowledged after it was received.
func TestTakeOver(t *testing.T) {
	path, ln := socketPath(t), clientListener(t)
	state := HandoverState{Node: "n0", Listen: "127.0.0.1:5000", BalancerState: json.RawMessage(`{}`), Settings: json.RawMessage(`{"a":1}`),
		Endpoints: []engine.Endpoint{{Server: balancer.Server{ID: "s-1", StartTime: 7}, Addr: "10.0.0.1:1"}}, ListVersion: 41,
		OperatorState: OperatorState{DisabledServers: []string{"s-2"}, OutOfService: true}}
	var running sync.WaitGroup
	var received []Message
	acceptOne(t, path, func(old *Conn) {
		if err := old.HandOver(state, ln); err != nil {
			t.Error(err)
		}
		old.Run(func(message Message) { received = append(received, message) })
	})
	waiting, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	got, inherited, conn, err := TakeOver(path, "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	if got.Version = 0; !reflect.DeepEqual(got, state) {
		t.Errorf("got %+v, want %+v", got, state)
	}
	ln.Close()
	client, err := inherited.Accept()
	if err != nil || client.RemoteAddr().String() != waiting.LocalAddr().String() {
		t.Errorf("accepted %v, %v; want the queued connection from %v", client, err, waiting.LocalAddr())
	}
	running.Go(func() { conn.Run(func(Message) {}) })
	for i := range 3 {
		if err := conn.Send(Message{Server: "s", Disabled: i%2 == 0}, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		if len(received) != i+1 || received[i].Disabled != (i%2 == 0) { // Send returns only after the message was received
			t.Errorf("received %v", received)
		}
	}
	conn.Close()
	running.Wait()
	if conn.Send(Message{}, time.Second) == nil {
		t.Error("Send succeeded on a closed connection")
	}
}

// There is no process at the path that can hand over: it has ended, hangs, sends only a part of its state, or belongs to
// another node. TakeOver must fail soon, so that the new process can start without it: until then, possibly no process
// serves the clients.
func TestTakeOverFails(t *testing.T) {
	good := HandoverState{Node: "n0", Listen: "l"}
	for name, start := range map[string]func(t *testing.T, path string){
		"no socket":    func(t *testing.T, path string) {},
		"a plain file": func(t *testing.T, path string) { os.WriteFile(path, []byte("x"), 0o600) },
		"a stale socket": func(t *testing.T, path string) {
			ln, err := Listen(path)
			if err != nil {
				t.Fatal(err)
			}
			ln.Close()
		},
		"hung": func(t *testing.T, path string) {
			acceptOne(t, path, func(old *Conn) { io.Copy(io.Discard, old.socket) })
		},
		"ends at once": func(t *testing.T, path string) { acceptOne(t, path, func(*Conn) {}) },
		"no listener": func(t *testing.T, path string) {
			acceptOne(t, path, func(old *Conn) { old.socket.Write([]byte("h{}\n")) })
		},
		"part of the state": func(t *testing.T, path string) {
			acceptOne(t, path, func(old *Conn) {
				long := good
				long.BalancerState = json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)
				old.socket.SetWriteBuffer(1 << 12)
				ln := clientListener(t)
				handedOver := make(chan struct{})
				go func() {
					old.HandOver(long, ln)
					close(handedOver)
				}()
				old.socket.SetReadDeadline(time.Now()) // the connection is closed before the new process has read the state
				old.Close()
				<-handedOver
			})
		},
		"another node": func(t *testing.T, path string) {
			acceptOne(t, path, func(old *Conn) { old.HandOver(HandoverState{Node: "n1", Listen: "l"}, clientListener(t)) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := socketPath(t)
			start(t, path)
			begin := time.Now()
			_, ln, conn, err := TakeOver(path, "n0", "l")
			if err == nil || ln != nil || conn != nil {
				t.Errorf("got %v, %v, %v", ln, conn, err)
			}
			if took := time.Since(begin); took > 3*handoverTimeout {
				t.Errorf("TakeOver took %v", took)
			}
		})
	}
}

// A node must read back the OperatorState that it saved. It must not use a file of another node in the same directory, or a
// file that disables more servers than allowed.
func TestStoreBelongsToOneNode(t *testing.T) {
	path := socketPath(t)
	mine := NewStore(path, "n0", "a:1", func() {})
	if got, found := mine.Read(); found.Body != nil || found.Errors != nil || !reflect.DeepEqual(got, OperatorState{}) {
		t.Errorf("Read without a file returned %v, %v", got, found)
	}
	for _, want := range []OperatorState{{}, {DisabledServers: []string{"s-1", "s-2"}, OutOfService: true}} {
		if err := mine.Save(t.Context(), func() (OperatorState, error) { return want, nil }); err != nil {
			t.Fatal(err)
		}
		if got, found := mine.Read(); found.Errors != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %v, %v", got, found)
		}
	}
	for _, other := range []*Store{NewStore(path, "n1", "a:1", func() {}), NewStore(path, "n0", "a:2", func() {})} {
		if got, found := other.Read(); len(found.Errors) != 2 || !reflect.DeepEqual(got, OperatorState{}) {
			t.Errorf("Read of another node returned %v, %v", got, found)
		}
	}
	many := OperatorState{DisabledServers: make([]string, balancer.MaxOverrides+1)}
	if err := mine.Save(t.Context(), func() (OperatorState, error) { return many, nil }); err != nil {
		t.Fatal(err)
	}
	if got, found := mine.Read(); found.Body != nil || len(found.Errors) != 1 || !reflect.DeepEqual(got, OperatorState{}) ||
		!errors.As(found.Errors[0], new(*TooManyOverridesError)) {
		t.Errorf("Read of a file with too many disabled servers returned %v, errors %v", got, found.Errors)
	}
}
