package hotrestart

import (
	"encoding/json"
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

func place(t *testing.T) string {
	t.Helper()
	path, err := SocketPath(t.TempDir(), "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// listening is a socket of clients.
func listening(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// offering answers the first heir with f.
func offering(t *testing.T, path string, f func(*Conn)) {
	t.Helper()
	o, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if l, err := o.Accept(); err == nil {
			defer l.Close()
			f(l)
		}
	}()
	t.Cleanup(func() {
		o.Close()
		<-done
	})
}

// The heir has the estate and the very socket: what waited in its queue is there, and outlives the first process's
// copy. Words come in order, each answered after it was taken.
func TestWhatAnHeirGets(t *testing.T) {
	path, ln := place(t), listening(t)
	estate := HandoverState{Node: "n0", Listen: "127.0.0.1:5000", BalancerState: json.RawMessage(`{}`), Settings: json.RawMessage(`{"a":1}`),
		Endpoints: []engine.Endpoint{{Server: balancer.Server{ID: "s-1", StartTime: 7}, Addr: "10.0.0.1:1"}}, ListVersion: 41,
		OperatorState: OperatorState{DisabledServers: []string{"s-2"}, OutOfService: true}}
	var wg sync.WaitGroup
	var told []Message
	offering(t, path, func(l *Conn) {
		if err := l.HandOver(estate, ln); err != nil {
			t.Error(err)
		}
		l.Run(func(w Message) { told = append(told, w) })
	})
	waiting, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waiting.Close()
	got, heir, link, err := TakeOver(path, "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	defer heir.Close()
	if got.Version = 0; !reflect.DeepEqual(got, estate) {
		t.Errorf("got %+v, want %+v", got, estate)
	}
	ln.Close()
	c, err := heir.Accept()
	if err != nil || c.RemoteAddr().String() != waiting.LocalAddr().String() {
		t.Errorf("accepted %v, %v, and %v had waited", c, err, waiting.LocalAddr())
	}
	wg.Go(func() { link.Run(func(Message) {}) })
	for i := range 3 {
		if err := link.Send(Message{Server: "s", Disabled: i%2 == 0}, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		if len(told) != i+1 || told[i].Disabled != (i%2 == 0) { // answered, so it was taken
			t.Errorf("told %v", told)
		}
	}
	link.Close()
	wg.Wait()
	if link.Send(Message{}, time.Second) == nil {
		t.Error("told to nobody")
	}
}

// An old process that is of no use hands nothing over, and soon.
func TestClaimOfNoUse(t *testing.T) {
	good := HandoverState{Node: "n0", Listen: "l"}
	for name, f := range map[string]func(t *testing.T, path string){
		"nobody there": func(t *testing.T, path string) {},
		"a plain file": func(t *testing.T, path string) { os.WriteFile(path, []byte("x"), 0o600) },
		"a stale socket": func(t *testing.T, path string) {
			o, err := Listen(path)
			if err != nil {
				t.Fatal(err)
			}
			o.Close()
		},
		"hung": func(t *testing.T, path string) {
			offering(t, path, func(l *Conn) { io.Copy(io.Discard, l.c) })
		},
		"ends at once": func(t *testing.T, path string) { offering(t, path, func(*Conn) {}) },
		"no listener": func(t *testing.T, path string) {
			offering(t, path, func(l *Conn) { l.c.Write([]byte("h{}\n")) })
		},
		"half an estate": func(t *testing.T, path string) {
			offering(t, path, func(l *Conn) {
				long := good
				long.BalancerState = json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)
				l.c.SetWriteBuffer(1 << 12)
				ln := listening(t)
				given := make(chan struct{})
				go func() {
					l.HandOver(long, ln)
					close(given)
				}()
				l.c.SetReadDeadline(time.Now()) // the heir reads nothing of it before it is cut
				l.Close()
				<-given
			})
		},
		"another node": func(t *testing.T, path string) {
			offering(t, path, func(l *Conn) { l.HandOver(HandoverState{Node: "n1", Listen: "l"}, listening(t)) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := place(t)
			f(t, path)
			begin := time.Now()
			_, ln, link, err := TakeOver(path, "n0", "l")
			if err == nil || ln != nil || link != nil {
				t.Errorf("got %v, %v, %v", ln, link, err)
			}
			if took := time.Since(begin); took > 3*patience {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// What an operator said is found again by the same node, of the build before too; another node's is not.
func TestFile(t *testing.T) {
	path := place(t)
	mine := NewStore(path, "n0", "a:1", func() {})
	if k, found := mine.Read(); found.Body != nil || found.Errors != nil || !reflect.DeepEqual(k, OperatorState{}) {
		t.Errorf("without a file: %v, %v", k, found)
	}
	for _, want := range []OperatorState{{}, {DisabledServers: []string{"s-1", "s-2"}, OutOfService: true}} {
		if err := mine.Save(t.Context(), func() (OperatorState, error) { return want, nil }); err != nil {
			t.Fatal(err)
		}
		if k, found := mine.Read(); found.Errors != nil || !reflect.DeepEqual(k, want) {
			t.Errorf("got %v, %v", k, found)
		}
	}
	for _, other := range []*Store{NewStore(path, "n1", "a:1", func() {}), NewStore(path, "n0", "a:2", func() {})} {
		if k, found := other.Read(); len(found.Errors) != 2 || !reflect.DeepEqual(k, OperatorState{}) {
			t.Errorf("another node got %v, %v", k, found)
		}
	}
	many := OperatorState{DisabledServers: make([]string, balancer.MaxOverrides+1)}
	if err := mine.Save(t.Context(), func() (OperatorState, error) { return many, nil }); err != nil {
		t.Fatal(err)
	}
	if k, found := mine.Read(); found.Body != nil || len(found.Errors) != 1 || !reflect.DeepEqual(k, OperatorState{}) {
		t.Errorf("too many: %v", found.Errors)
	}
}
