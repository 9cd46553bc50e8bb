//go:build !nolab

package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// freeAddresses returns loopback addresses on which no process listens.
func freeAddresses(t *testing.T, count int) (addresses []string) {
	t.Helper()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// Runs the commands against the only controller of a cluster: a document is published, published again with the same ID,
// an invalid one is rejected, and config status shows the result.
func TestControllerAndConfigCommands(t *testing.T) {
	addresses := freeAddresses(t, 2)
	file := writeFile(t, "controllers.hcl", fmt.Sprintf(`controllers { folder = %q }
controller "c1" { listen = %q raft = %q }`, t.TempDir(), addresses[0], addresses[1]))
	controller := programCommand(t, "", "controller", "run", file)
	controller.Stderr = os.Stderr
	if err := controller.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = controller.Process.Kill() })

	document := writeFile(t, "document.json", `{"services":{"dry":{"settings":{}}}}`)
	publish := func(args ...string) (code int, stdout, stderr string) {
		return runToEnd(t, programCommand(t, "", append([]string{"config", "publish", "--controllers", addresses[0]}, args...)...))
	}
	for range 2 { // the same ID, so the second request adds no version
		if code, stdout, stderr := publish("--id", "first", document); code != 0 || stdout != "version 1\n" {
			t.Fatalf("exit %d, %q, %q", code, stdout, stderr)
		}
	}
	bad := writeFile(t, "bad.json", `{"services":{"dry":{}}}`)
	if code, _, stderr := publish(bad); code != 1 || !strings.Contains(stderr, "service dry has no settings") || strings.Count(stderr, "\n") != 1 {
		t.Errorf("a document without settings: exit %d, %q", code, stderr)
	}
	if code, _, stderr := publish(writeFile(t, "no.json", `{`)); code != 1 || !strings.Contains(stderr, "is not JSON") {
		t.Errorf("a document that is not JSON: exit %d, %q", code, stderr)
	}
	status := programCommand(t, "", "config", "status", "--json", "--controllers", addresses[0])
	if code, stdout, stderr := runToEnd(t, status); code != 0 || !strings.Contains(stdout, `"version": 1`) || !strings.Contains(stdout, `"complete": true`) {
		t.Errorf("status: exit %d, %s, %q", code, stdout, stderr)
	}

	if err := controller.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := controller.Wait(); err != nil {
		t.Errorf("the controller exited with %v", err)
	}
	if code, stdout, _ := runToEnd(t, programCommand(t, "", "config", "status", "--controllers", addresses[0])); code != 1 || !strings.Contains(stdout, "no valid response from controller "+addresses[0]) {
		t.Errorf("status without a controller: exit %d, %s", code, stdout)
	}
}

func TestInvalidControllerSettings(t *testing.T) {
	file := writeFile(t, "controllers.hcl", "controller \"c1\" { listen = \"a:1\" }")
	wantOneLineError(t, programCommand(t, "", "controller", "run", file), file+":1: controller c1 needs raft")
	wantOneLineError(t, programCommand(t, "", "controller", "run", "/nowhere.hcl"), "/nowhere.hcl")
}
