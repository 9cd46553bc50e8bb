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

// goldenCommands returns one command of each kind.
func goldenCommands() []command {
	config := configapi.ServiceConfig{Settings: json.RawMessage(`{"tick-ms":5}`), Discovery: "127.0.0.1:7300"}
	return []command{
		{Kind: commandCreateCluster, CreateCluster: &createClusterCommand{Cluster: "cluster-2"}},
		{Kind: commandPublish, Publish: &publishCommand{ID: "id-1", TimeMS: 1700000000000, Replaces: []configapi.Cluster{"cluster-1"},
			Document: configapi.Document{Services: map[string]configapi.ServiceConfig{"front": config, "mill": config}}}},
		{Kind: commandMemberStarted, MemberStarted: &memberStartedCommand{ServerID: "c1/2", Start: 3, ProcessID: "process-1"}},
	}
}

// Controllers read the log from their disks and from leaders of other builds, and must all derive the same state and
// the same digests from it. Therefore the encoded forms of the log, of the snapshot and of the content that a digest
// covers must not change when Go fields are renamed.
func TestGoldenLogAndSnapshot(t *testing.T) {
	logPath, snapshotPath := filepath.Join("testdata", "commands.jsonl"), filepath.Join("testdata", "snapshot.json")
	want := goldenCommands()
	if goldentest.Updating() {
		goldentest.Write(t, logPath, goldentest.Lines(t, want...))
	}
	commands := goldentest.ReadKinds(t, logPath, commandBody)
	if !reflect.DeepEqual(commands, want) {
		t.Errorf("commands are decoded as %+v", commands)
	}
	kinds := map[int]bool{} // by field of command: whether any line sets it
	for _, c := range commands {
		for n := range reflect.TypeOf(c).NumField() {
			kinds[n] = kinds[n] || !reflect.ValueOf(c).Field(n).IsZero()
		}
	}
	for n, set := range kinds {
		if !set {
			t.Errorf("no line sets the field %s", reflect.TypeFor[command]().Field(n).Name)
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
		t.Errorf("the snapshot of the log is %s", sink.Bytes())
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

// commandBody returns the field of a command that belongs to its kind.
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

// If a controller can't read the identity on its disk, an operator must empty the disk. Therefore the encoded form of
// the identity must not change.
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
		t.Errorf("the identity is decoded as %+v, error %v", d.identity, err)
	}
	if err := os.Remove(onDisk); err != nil {
		t.Fatal(err)
	}
	if err := d.writeIdentity(); err != nil {
		t.Fatal(err)
	}
	if again := goldentest.Text(t, onDisk); !bytes.Equal(again, text) {
		t.Errorf("the identity is encoded as %s", again)
	}
}

// Controllers use each other's reports, which may come from another build, to decide whether a disk may take part.
// Therefore the encoded form of the reports must not change.
func TestGoldenMemberReport(t *testing.T) {
	goldentest.Check(t, filepath.Join("testdata", "member-report.json"), memberReport{
		Load:  configapi.Load{Name: "c1", Cluster: "cluster-2", Sessions: 4, HasLeaderContact: true},
		Phase: phaseMember, ServerID: "c1/2", Start: 3, ProcessID: "process-1", AppliedIndex: 99,
		Founders: map[string]string{"c1": "process-1", "c2": "process-2"}, RecordedStart: &memberStart{Start: 2, ProcessID: "process-0"}})
	goldentest.Check(t, filepath.Join("testdata", "phases.json"), []phase{phaseEmpty, phaseJoining, phaseMember})
}

// A watch sends each update as one line, which nodes of other builds must be able to read.
func TestGoldenUpdateLine(t *testing.T) {
	path := filepath.Join("..", "configapi", "testdata", "update.json")
	update := goldentest.Read[configapi.Update](t, path)[0]
	if line := encodeLine(update); !bytes.Equal(line, goldentest.Text(t, path)) {
		t.Errorf("the update is encoded as %s", line)
	}
}

// The first line of a raft connection names the server and the cluster that the connection is for. Controllers of
// different builds form a quorum only if they understand the same greeting.
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
		t.Errorf("the greeting is %q, error %v", line, err)
	}
	if err := newTestStream(t, "c2/3", "cluster-2").checkGreeting(golden[:len(golden)-1]); err != nil {
		t.Error(err)
	}
}
