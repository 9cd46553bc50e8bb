package hotrestart

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/state"
)

// The two processes of a node that takes over from itself may be of different builds: that is how a node is upgraded.
// What one writes the other must read, key by key. A key that is not known is passed over without an error, so a key
// that changed would lose the servers, what operators said, or what was learned. So the golden files in testdata must
// not change while Version is the same. Whoever changes the form on purpose raises Version and writes them anew with
// -update.

var update = flag.Bool("update", false, "rewrite the golden files")

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := goldenFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s has another form:\n got %s\nwant %s", name, got, want)
	}
}

func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// goldenEstate has each field.
func goldenEstate() HandoverState {
	return HandoverState{Version: Version, Node: "n0", Listen: "127.0.0.1:5000", Settings: json.RawMessage(`{"Classes":[]}`),
		BalancerState: json.RawMessage(`{"Now":5}`), ListVersion: 41, ListAge: 3e9,
		Endpoints: []engine.Endpoint{
			{Server: balancer.Server{ID: "s-1", Zone: "z", Kind: "k", Cell: 2, State: balancer.Draining, StartTime: 7}, Addr: "10.0.0.1:1"},
			{Server: balancer.Server{ID: "s-2"}, Addr: "10.0.0.2:1"}},
		OperatorState: OperatorState{DisabledServers: []string{"s-2", "s-3"}, OutOfService: true}}
}

// goldenWords are what Link and the node's processes say to each other.
func goldenWords() []Message {
	drain, take := true, false
	return []Message{{ID: 1, Serving: true}, {AckID: 1}, {ID: 2, Server: "s-1", Disabled: true}, {ID: 3, Server: "s-1"}, {ID: 4, OutOfService: &drain},
		{ID: 5, OutOfService: &take}}
}

// Every field of the examples is other than zero, or a golden file would not notice when its key changes.
func TestGoldenExamplesHaveEveryField(t *testing.T) {
	e := goldenEstate()
	for _, v := range []any{e, e.OperatorState, e.Endpoints[0], e.Endpoints[0].Server} {
		for i, value := 0, reflect.ValueOf(v); i < value.NumField(); i++ {
			if value.Field(i).IsZero() {
				t.Errorf("%T.%s is zero", v, value.Type().Field(i).Name)
			}
		}
	}
	for i, word := 0, reflect.TypeFor[Message](); i < word.NumField(); i++ {
		if !slices.ContainsFunc(goldenWords(), func(w Message) bool { return !reflect.ValueOf(w).Field(i).IsZero() }) {
			t.Errorf("Word.%s is zero in every word", word.Field(i).Name)
		}
	}
}

// An heir of any build finds these bytes behind the byte with the socket.
func TestGoldenEstateIsWritten(t *testing.T) {
	path, ln := place(t), listening(t)
	given := goldenEstate()
	given.Version = 0 // Give fills it in
	offering(t, path, func(l *Conn) {
		if err := l.HandOver(given, ln); err != nil {
			t.Error(err)
		}
	})
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	socket, err := takeListener(c)
	if err != nil {
		t.Fatal(err)
	}
	socket.Close()
	var estate bytes.Buffer
	if _, err := estate.ReadFrom(c); err != nil {
		t.Fatal(err)
	}
	golden(t, "estate.json", estate.Bytes())
}

// An estate that a process of an earlier build gives is taken whole.
func TestGoldenEstateIsRead(t *testing.T) {
	path, ln := place(t), listening(t)
	text := goldenFile(t, "estate.json")
	offering(t, path, func(l *Conn) {
		raw, err := ln.SyscallConn()
		if err != nil {
			t.Error(err)
			return
		}
		if err := raw.Control(func(fd uintptr) {
			_, _, err = l.c.WriteMsgUnix([]byte{'h'}, syscall.UnixRights(int(fd)), nil)
		}); err != nil {
			t.Error(err)
		}
		if err != nil {
			t.Error(err)
		}
		if _, err := l.c.Write(text); err != nil {
			t.Error(err)
		}
	})
	got, socket, link, err := TakeOver(path, "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	socket.Close()
	if want := goldenEstate(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// pipe is a Link and what is at its other end.
func pipe(t *testing.T) (*Conn, *net.UnixConn) {
	t.Helper()
	ends := make(chan *Conn, 1)
	path, done := place(t), make(chan struct{})
	offering(t, path, func(l *Conn) {
		ends <- l
		<-done
	})
	t.Cleanup(func() { close(done) })
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return <-ends, c
}

func TestGoldenWordsAreWritten(t *testing.T) {
	l, c := pipe(t)
	for _, w := range goldenWords() {
		if err := l.write(w); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	var words bytes.Buffer
	if _, err := words.ReadFrom(c); err != nil {
		t.Fatal(err)
	}
	golden(t, "messages.jsonl", words.Bytes())
}

// Each word of an earlier build is taken and answered; an answer of it is one.
func TestGoldenWordsAreRead(t *testing.T) {
	l, c := pipe(t)
	if _, err := c.Write(goldenFile(t, "messages.jsonl")); err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	acked := make(chan struct{})
	l.waits[1] = acked
	var got, want []Message
	l.Run(func(w Message) { got = append(got, w) })
	for _, w := range goldenWords() {
		if w.AckID == 0 {
			want = append(want, w)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	select {
	case <-acked:
	default:
		t.Error("the answer was not taken for one")
	}
	var answers bytes.Buffer
	if _, err := answers.ReadFrom(c); err != nil {
		t.Fatal(err)
	}
	if want := "{\"ack\":1}\n{\"ack\":2}\n{\"ack\":3}\n{\"ack\":4}\n{\"ack\":5}\n"; answers.String() != want {
		t.Errorf("answered %q, want %q", answers.String(), want)
	}
}

// What operators said stands on disk over an upgrade: in the body of a file of package state.
func TestGoldenKept(t *testing.T) {
	keeper := func() *Store { return NewStore(place(t), "n0", "127.0.0.1:5000", func() {}) }
	k := keeper()
	if err := k.Save(context.Background(), func() (OperatorState, error) { return goldenEstate().OperatorState, nil }); err != nil {
		t.Fatal(err)
	}
	golden(t, "kept.json", k.Store.Read().Body)

	k = keeper()
	if err := state.Write(k.Path, k.Owner, goldenFile(t, "kept.json")); err != nil {
		t.Fatal(err)
	}
	if got, found := k.Read(); !reflect.DeepEqual(got, goldenEstate().OperatorState) {
		t.Errorf("read %+v, %v", got, found.Errors)
	}
}
