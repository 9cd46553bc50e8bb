package hotrestart

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
	"hookwalk.example/hookwalk/internal/goldentest"
	"hookwalk.example/hookwalk/internal/state"
)

// The two processes of a hot restart may run different builds, because a node is upgraded in this way. Each must be able to
// read every key that the other writes. An unknown key is ignored without an error, so a renamed key would lose endpoints,
// operators' changes or learned state. Therefore the golden files in testdata must not change while Version is the same. To
// change the encoding intentionally, increment Version and update the files with -update.

// The golden files contain the handover state, the messages of both processes, and the body of the file of Store.
var (
	goldenStateFile    = filepath.Join("testdata", "estate.json")
	goldenMessagesFile = filepath.Join("testdata", "messages.jsonl")
	goldenStoreFile    = filepath.Join("testdata", "kept.json")
)

// checkGolden checks that got is identical to a golden file.
func checkGolden(t *testing.T, path string, got []byte) {
	t.Helper()
	if goldentest.Updating() {
		goldentest.Write(t, path, got)
	}
	if want := goldentest.Text(t, path); !bytes.Equal(got, want) {
		t.Errorf("the output differs from %s:\n got %s\nwant %s", path, got, want)
	}
}

// goldenState returns a HandoverState in which every field is set.
func goldenState() HandoverState {
	return HandoverState{Version: Version, Node: "n0", Listen: "127.0.0.1:5000", Settings: json.RawMessage(`{"Classes":[]}`),
		BalancerState: json.RawMessage(`{"Now":5}`), ListVersion: 41, ListAge: 3e9, ListEvidence: endpointlease.WatchEvidence,
		Endpoints: []engine.Endpoint{
			{Server: balancer.Server{ID: "s-1", Zone: "z", Kind: "k", Cell: 2, State: balancer.Draining, StartTime: 7}, Addr: "10.0.0.1:1"},
			{Server: balancer.Server{ID: "s-2"}, Addr: "10.0.0.2:1"}},
		EarlierProcesses: []int{4711}, OperatorState: OperatorState{DisabledServers: []string{"s-2", "s-3"}, OutOfService: true}}
}

// goldenMessages returns one message of each kind that the processes of a node send.
func goldenMessages() []Message {
	out, back := true, false
	return []Message{{ID: 1, Serving: true}, {AckID: 1}, {ID: 2, Server: "s-1", Disabled: true}, {ID: 3, Server: "s-1"}, {ID: 4, OutOfService: &out},
		{ID: 5, OutOfService: &back}, {ID: 6, AbandonedRun: "9b1f03aa5c7e2d41"}}
}

// Every field must be set in an example. Otherwise the golden files would not detect a change of its key.
func TestGoldenExamplesHaveEveryField(t *testing.T) {
	state := goldenState()
	for _, v := range []any{state, state.OperatorState, state.Endpoints[0], state.Endpoints[0].Server} {
		for i, value := 0, reflect.ValueOf(v); i < value.NumField(); i++ {
			if value.Field(i).IsZero() {
				t.Errorf("%T.%s is zero", v, value.Type().Field(i).Name)
			}
		}
	}
	for i, message := 0, reflect.TypeFor[Message](); i < message.NumField(); i++ {
		if !slices.ContainsFunc(goldenMessages(), func(m Message) bool { return !reflect.ValueOf(m).Field(i).IsZero() }) {
			t.Errorf("Message.%s is zero in every message", message.Field(i).Name)
		}
	}
}

// The old process must write the golden state after the byte with the descriptor, so that any build can read it.
func TestGoldenStateIsWritten(t *testing.T) {
	path, ln := socketPath(t), clientListener(t)
	state := goldenState()
	state.Version = 0 // HandOver sets it
	acceptOne(t, path, func(old *Conn) {
		if err := old.HandOver(state, ln); err != nil {
			t.Error(err)
		}
	})
	socket, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	received, err := receiveListener(socket)
	if err != nil {
		t.Fatal(err)
	}
	received.Close()
	var written bytes.Buffer
	if _, err := written.ReadFrom(socket); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, goldenStateFile, written.Bytes())
}

// A process must read every field of the state that an earlier build hands over.
func TestGoldenStateIsRead(t *testing.T) {
	path, ln := socketPath(t), clientListener(t)
	text := goldentest.Text(t, goldenStateFile)
	acceptOne(t, path, func(old *Conn) {
		raw, err := ln.SyscallConn()
		if err != nil {
			t.Error(err)
			return
		}
		if err := raw.Control(func(fd uintptr) {
			_, _, err = old.socket.WriteMsgUnix([]byte{'h'}, syscall.UnixRights(int(fd)), nil)
		}); err != nil {
			t.Error(err)
		}
		if err != nil {
			t.Error(err)
		}
		if _, err := old.socket.Write(text); err != nil {
			t.Error(err)
		}
	})
	got, received, conn, err := TakeOver(path, "n0", "127.0.0.1:5000")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	received.Close()
	if want := goldenState(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// connected returns a Conn and the socket at the other end of the connection.
func connected(t *testing.T) (*Conn, *net.UnixConn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	path, done := socketPath(t), make(chan struct{})
	acceptOne(t, path, func(conn *Conn) {
		accepted <- conn
		<-done
	})
	t.Cleanup(func() { close(done) })
	socket, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return <-accepted, socket
}

// A process must write the golden messages, so that any build can read them.
func TestGoldenMessagesAreWritten(t *testing.T) {
	conn, socket := connected(t)
	for _, message := range goldenMessages() {
		if err := conn.write(message); err != nil {
			t.Fatal(err)
		}
	}
	conn.Close()
	var written bytes.Buffer
	if _, err := written.ReadFrom(socket); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, goldenMessagesFile, written.Bytes())
}

// A process must receive and acknowledge each message of an earlier build, and recognize its acknowledgements.
func TestGoldenMessagesAreRead(t *testing.T) {
	conn, socket := connected(t)
	if _, err := socket.Write(goldentest.Text(t, goldenMessagesFile)); err != nil {
		t.Fatal(err)
	}
	if err := socket.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	acked := make(chan struct{})
	conn.pending[1] = acked
	var got, want []Message
	conn.Run(func(message Message) { got = append(got, message) })
	for _, message := range goldenMessages() {
		if message.AckID == 0 {
			want = append(want, message)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	select {
	case <-acked:
	default:
		t.Error("the acknowledgement was not recognized")
	}
	var acks bytes.Buffer
	if _, err := acks.ReadFrom(socket); err != nil {
		t.Fatal(err)
	}
	if want := "{\"ack\":1}\n{\"ack\":2}\n{\"ack\":3}\n{\"ack\":4}\n{\"ack\":5}\n{\"ack\":6}\n"; acks.String() != want {
		t.Errorf("got acknowledgements %q, want %q", acks.String(), want)
	}
}

// The OperatorState is persisted across an upgrade, in the body of a file of package state. A new build that used other
// keys would send requests to servers that operators have disabled.
func TestGoldenOperatorState(t *testing.T) {
	newStore := func() *Store { return NewStore(socketPath(t), "n0", "127.0.0.1:5000", func() {}) }
	store := newStore()
	if err := store.Save(context.Background(), func() (OperatorState, error) { return goldenState().OperatorState, nil }); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, goldenStoreFile, store.Store.Read().Body)

	store = newStore()
	if err := state.Write(store.Path, store.Owner, goldentest.Text(t, goldenStoreFile)); err != nil {
		t.Fatal(err)
	}
	if got, found := store.Read(); !reflect.DeepEqual(got, goldenState().OperatorState) {
		t.Errorf("read %+v, errors %v", got, found.Errors)
	}
}
