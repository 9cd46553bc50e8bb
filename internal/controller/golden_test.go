package controller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/goldentest"
)

// goldenCommands has each kind of command once.
func goldenCommands() []command {
	config := configapi.ServiceConfig{Settings: json.RawMessage(`{"tick-ms":5}`), Discovery: "127.0.0.1:7300"}
	return []command{
		{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{Cluster: "cluster-2"}},
		{Kind: commandPublish, Publish: &publishCommand{ID: "id-1", TimeMS: 1700000000000, Replaces: []configapi.Cluster{"cluster-1"},
			Document: configapi.Document{Services: map[string]configapi.ServiceConfig{"front": config, "mill": config}}}},
		{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{ServerID: "c1/2", Start: 3, ProcessID: "process-1"}},
	}
}

// The log on a controller's disk and the entries that a leader of another build sends have these forms, and all
// controllers must make the same state of them, with the same digests: those of the log, of the snapshot and of what a
// digest covers must not change with the names of Go fields.
func TestGoldenLogAndSnapshot(t *testing.T) {
	logPath, snapshotPath := filepath.Join("testdata", "commands.jsonl"), filepath.Join("testdata", "snapshot.json")
	want := goldenCommands()
	if goldentest.Updating() {
		goldentest.Write(t, logPath, goldentest.Lines(t, want...))
	}
	commands := goldentest.ReadKinds(t, logPath, commandBody)
	if !reflect.DeepEqual(commands, want) {
		t.Errorf("read as %+v", commands)
	}
	kinds := map[int]bool{} // the fields of a command that some line sets
	for _, c := range commands {
		for n := range reflect.TypeOf(c).NumField() {
			kinds[n] = kinds[n] || !reflect.ValueOf(c).Field(n).IsZero()
		}
	}
	for n, set := range kinds {
		if !set {
			t.Errorf("no line has a %s", reflect.TypeFor[command]().Field(n).Name)
		}
	}

	built := newFSM(newViewStore())
	for line := range bytes.Lines(goldentest.Text(t, logPath)) {
		if result, ok := built.Apply(&raft.Log{Data: line}).(commandResult); !ok || result.Err != nil {
			t.Fatalf("%s: %+v", line, result)
		}
	}
	var sink memorySink
	snapshot, err := built.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := snapshot.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	if goldentest.Updating() {
		goldentest.Write(t, snapshotPath, sink.Bytes())
	}
	text := goldentest.Text(t, snapshotPath)
	if !bytes.Equal(sink.Bytes(), text) {
		t.Errorf("the log makes the snapshot %s", sink.Bytes())
	}
	restored := newFSM(newViewStore())
	if err := restored.Restore(io.NopCloser(bytes.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored.state, built.state) {
		t.Errorf("restored as %+v, want %+v", restored.state, built.state)
	}
	goldentest.Check(t, snapshotPath, *restored.state)
}

// commandBody is what a command's kind carries.
func commandBody(c command) any {
	switch c.Kind {
	case commandCreateCluster:
		return c.CreateCluster
	case commandPublish:
		return c.Publish
	case commandMemberStarted:
		return c.MemberStarted
	}
	return nil
}

// A controller that does not know its own disk again must be given an empty one: the identity on disk keeps its form.
func TestGoldenIdentity(t *testing.T) {
	path := filepath.Join("testdata", "identity.json")
	want := identity{Name: "c1", ServerID: "c1/2", Start: 3}
	goldentest.Check(t, path, want)
	text := bytes.TrimSpace(goldentest.Text(t, path))
	d := &disk{folder: t.TempDir()}
	onDisk := filepath.Join(d.folder, "identity.json")
	if err := os.WriteFile(onDisk, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.readIdentity("c1"); err != nil || d.identity != want {
		t.Errorf("read as %+v, %v", d.identity, err)
	}
	if err := os.Remove(onDisk); err != nil {
		t.Fatal(err)
	}
	if err := d.writeIdentity(); err != nil {
		t.Fatal(err)
	}
	if again := goldentest.Text(t, onDisk); !bytes.Equal(again, text) {
		t.Errorf("written as %s", again)
	}
}

// Controllers read each other's reports, also those of another build, to decide whether a disk may take part.
func TestGoldenMemberReport(t *testing.T) {
	goldentest.Check(t, filepath.Join("testdata", "member-report.json"), memberReport{
		Load:  configapi.Load{Name: "c1", Cluster: "cluster-2", Sessions: 4, HasLeaderContact: true},
		Phase: phaseMember, ServerID: "c1/2", Start: 3, ProcessID: "process-1", AppliedIndex: 99,
		Founders: map[string]string{"c1": "process-1", "c2": "process-2"}, RecordedStart: &memberStart{Start: 2, ProcessID: "process-0"}})
	goldentest.Check(t, filepath.Join("testdata", "phases.json"), []phase{phaseEmpty, phaseJoining, phaseMember})
}

// A watch carries an update as one line, which nodes of another build read.
func TestGoldenUpdateLine(t *testing.T) {
	path := filepath.Join("..", "configapi", "testdata", "update.json")
	update := goldentest.Read[configapi.Update](t, path)[0]
	if line := encodeLine(update); !bytes.Equal(line, goldentest.Text(t, path)) {
		t.Errorf("written as %s", line)
	}
}

// The first line of a raft connection names the server and the cluster that it is for. A controller of another build must
// read it, or the two build no quorum.
func TestGoldenGreeting(t *testing.T) {
	const golden = "hookwalk-raft/1 c2/3 cluster-2\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialer := newTestStream(t, "c1", "cluster-2")
	conn, err := dialer.Dial(raft.ServerAddress(listener.Addr().String()+"|c2/3"), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	_ = accepted.SetReadDeadline(time.Now().Add(time.Minute))
	if line, err := bufio.NewReader(accepted).ReadString('\n'); err != nil || line != golden {
		t.Errorf("greeted with %q, %v", line, err)
	}
	if err := newTestStream(t, "c2/3", "cluster-2").checkGreeting(golden[:len(golden)-1]); err != nil {
		t.Error(err)
	}
}
