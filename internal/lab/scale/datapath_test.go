package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// moduleRoot is the module's folder, relative to the folder of this package.
const moduleRoot = "../../.."

// serviceProgram builds the node's program as for deployment, once for all tests of the package, and returns its path.
var serviceProgram = sync.OnceValues(func() (string, error) {
	return BuildForService(context.Background(), moduleRoot, programFolder)
})

// programFolder is the folder that holds the program while the tests run.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(withProgramFolder(m.Run))
}

// withProgramFolder runs the tests with a temporary folder for programs.
func withProgramFolder(run func() int) int {
	folder, err := os.MkdirTemp("", "hookwalk-scale-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programFolder = folder
	return run()
}

// nodeProgram returns the paths of the node's program and of its settings file.
func nodeProgram(t *testing.T) (program, settings string) {
	t.Helper()
	program, err := serviceProgram()
	if err != nil {
		t.Fatal(err)
	}
	settings, err = filepath.Abs(filepath.Join(moduleRoot, settingsFile))
	if err != nil {
		t.Fatal(err)
	}
	return program, settings
}

// dataPathOptions returns the options that all measurements of the data path start from.
func dataPathOptions(t *testing.T) DataPathOptions {
	program, settings := nodeProgram(t)
	return DataPathOptions{Program: program, SettingsFile: settings, Folder: t.TempDir(), Servers: 28, Depth: 1,
		Class: WriteClass, Rate: 170,
		Duration: 8 * time.Second}
}

// Calls that fail, or that pass a service twice, would make the measurement invalid. In the small form, a chain of three
// nodes whose lists and configurations change meanwhile, no call fails, each call passes each service once, and the
// first node has no more descriptors open than its limit allows.
func TestDataPathChain(t *testing.T) {
	t.Parallel()
	options := dataPathOptions(t)
	options.Servers, options.Depth, options.Rate, options.Duration = 10, 3, 50, 2*time.Second
	options.ListChanges, options.Reloads = 120, 120
	result, err := MeasureDataPath(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	if failed := result.Direct.Failures + result.Node.Failures; failed > 0 {
		t.Errorf("%d calls failed", failed)
	}
	if result.Node.Calls == 0 || result.Direct.Calls == 0 {
		t.Errorf("%d calls through nodes and %d without", result.Node.Calls, result.Direct.Calls)
	}
	if result.NodeCalls != 3*result.Node.Calls {
		t.Errorf("%d calls at three nodes, want three times %d", result.NodeCalls, result.Node.Calls)
	}
	if result.Attempts != result.NodeCalls {
		t.Errorf("%d attempts for %d calls at three nodes, want one each", result.Attempts, result.NodeCalls)
	}
	if result.ListChanges == 0 || result.Reloads == 0 {
		t.Errorf("%d changes of lists and %d of configurations", result.ListChanges, result.Reloads)
	}
	const maxDescriptors = 512 // limits.sockets of the configuration that package loopback writes
	if result.FirstNode.Descriptors > maxDescriptors {
		t.Errorf("%d descriptors, at most %d are allowed", result.FirstNode.Descriptors, maxDescriptors)
	}
}

// If the node ignored the rig's list, changes of the list would seem to cost nothing. A server that is taken out of service
// in the list must receive no more calls.
func TestDataPathFollowsTheList(t *testing.T) {
	program, settings := nodeProgram(t)
	service, err := NewService("tier", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	node, err := StartNode(t.Context(), NodeOptions{Program: program, SettingsFile: settings, Folder: t.TempDir(), Servers: service.Hosts()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := node.Stop(); err != nil {
			t.Error(err)
		}
	}()
	client := newClient()
	defer client.CloseIdleConnections()
	calls := 0
	received := func() int64 {
		before := service.Received(0)
		for range 20 {
			calls++
			if err := call(t.Context(), client, "http://"+node.Addr()+nodePath, WriteClass, fmt.Sprintf("call-%d", calls)); err != nil {
				t.Fatal(err)
			}
		}
		return service.Received(0) - before
	}
	if received() == 0 {
		t.Error("the first server received none of 20 calls while it was in service")
	}
	node.Discovery.SetHealth(0, terminating)
	limit := time.Now().Add(20 * time.Second)
	for received() > 0 {
		if time.Now().After(limit) {
			t.Fatal("the first server still receives calls 20 s after it was taken out of service")
		}
	}
}

// If the node ignored a reload, reloads would seem to cost nothing. The node must apply a configuration that the rig
// changes, even if its list of servers is so long that it makes a long line in the node's capture.
func TestReloadIsApplied(t *testing.T) {
	program, settings := nodeProgram(t)
	node, err := StartNode(t.Context(), NodeOptions{Program: program, SettingsFile: settings, Folder: t.TempDir(), Servers: ListedServers(1000)})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Stop()
	if err := node.Reload(); err != nil {
		t.Fatal(err)
	}
	waitForLog(t, node, "configuration reloaded")
}

// waitForLog waits until a node has written the text to its log.
func waitForLog(t *testing.T, node *NodeProcess, text string) {
	t.Helper()
	limit, end := context.WithTimeout(t.Context(), 20*time.Second)
	defer end()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		written, err := node.Log()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(written), text) {
			return
		}
		select {
		case <-poll.C:
		case <-limit.Done():
			t.Fatalf("the node has not written %q:\n%s", text, written)
		}
	}
}

// Guards against coordinated omission: a generator that waits for a stalled server sends fewer calls, and records one slow
// call where many were due. An open load counts latency from the time at which a call was due.
func TestOpenLoadCountsTimeFromWhenDue(t *testing.T) {
	record := newRecorder()
	record.record(2*time.Millisecond, 5*time.Millisecond, nil)
	record.record(0, time.Millisecond, context.Canceled)
	got := record.result()
	if got.Calls != 2 || got.Failures != 1 {
		t.Errorf("%d calls, %d failures", got.Calls, got.Failures)
	}
	if q := got.Quantile(100).Round(100 * time.Microsecond); q != 5*time.Millisecond {
		t.Errorf("the longest is %v, want 5ms", q)
	}
	if got.Lag.Round(100*time.Microsecond) != 2*time.Millisecond {
		t.Errorf("lag %v, want 2ms", got.Lag)
	}
}

func TestServiceBuildUsesDeploymentCommand(t *testing.T) {
	got, err := serviceBuild("x = 1\nbuild = \"mkdir -p bin && CGO_ENABLED=1 go build -tags=nolab -o bin/ ./cmd/...\"\n", "/tmp/p/hookwalk")
	if want := "CGO_ENABLED=1 go build -tags=nolab -o '/tmp/p/hookwalk' ./cmd/hookwalk"; err != nil || got != want {
		t.Errorf("%q, %v, want %q", got, err, want)
	}
	if _, err := serviceBuild("build = \"make\"\n", "p"); err != ErrNoBuildCommand {
		t.Errorf("error is %v", err)
	}
}
