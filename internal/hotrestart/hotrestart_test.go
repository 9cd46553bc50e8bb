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

// socketPath is where the processes of a test meet.
func socketPath(t *testing.T) string {
	t.Helper()
	path, err := SocketPath(t.TempDir(), "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// clientListener is a listening socket of clients.
func clientListener(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// acceptOne listens at a path, and answers the first process that connects with handle.
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

// A new process takes over while clients connect. It has the state and the very socket of the old process: a connection that
// waits in its queue is not lost, even once the old process has closed its copy. Messages come in order, each acknowledged
// after it was received.
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
		t.Errorf("accepted %v, %v, and %v had waited", client, err, waiting.LocalAddr())
	}
	running.Go(func() { conn.Run(func(Message) {}) })
	for i := range 3 {
		if err := conn.Send(Message{Server: "s", Disabled: i%2 == 0}, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		if len(received) != i+1 || received[i].Disabled != (i%2 == 0) { // acknowledged, so it was received
			t.Errorf("received %v", received)
		}
	}
	conn.Close()
	running.Wait()
	if conn.Send(Message{}, time.Second) == nil {
		t.Error("sent to nobody")
	}
}

// What is at the path is no process that can hand over: it has ended, hangs, sends half of its state, or is of another node.
// The new process must find that out soon, and start by itself: meanwhile nobody may serve the clients.
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
		"half of a state": func(t *testing.T, path string) {
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
				old.socket.SetReadDeadline(time.Now()) // the new process reads nothing of it before it is cut off
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
				t.Errorf("it took %v", took)
			}
		})
	}
}

// A node finds again what operators said to it. A file of another node that shares the folder must not be used, and neither
// must one with more servers than operators may disable.
func TestStoreBelongsToOneNode(t *testing.T) {
	path := socketPath(t)
	mine := NewStore(path, "n0", "a:1", func() {})
	if got, found := mine.Read(); found.Body != nil || found.Errors != nil || !reflect.DeepEqual(got, OperatorState{}) {
		t.Errorf("without a file: %v, %v", got, found)
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
			t.Errorf("another node got %v, %v", got, found)
		}
	}
	many := OperatorState{DisabledServers: make([]string, balancer.MaxOverrides+1)}
	if err := mine.Save(t.Context(), func() (OperatorState, error) { return many, nil }); err != nil {
		t.Fatal(err)
	}
	if got, found := mine.Read(); found.Body != nil || len(found.Errors) != 1 || !reflect.DeepEqual(got, OperatorState{}) ||
		!errors.As(found.Errors[0], new(*TooManyOverridesError)) {
		t.Errorf("too many: %v", found.Errors)
	}
}
