package scale

import (
	"os/exec"
	"strings"
	"testing"
)

// TestVersionsAreNotInTheBuildForService lists what the build for service is made of.
func TestVersionsAreNotInTheBuildForService(t *testing.T) {
	list := exec.CommandContext(t.Context(), "go", "list", "-deps", "-tags", "nolab", "hookwalk.example/hookwalk/cmd/hookwalk")
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(out))
	if len(packages) < 50 {
		t.Fatalf("only %d packages", len(packages))
	}
	for _, unwanted := range []string{"hashicorp/raft", "bbolt", "boltdb", "hookwalk/internal/controller", "hookwalk/internal/configwatch",
		"hookwalk/internal/configapi", "hookwalk/configversion", "hookwalk/internal/lab"} {
		for _, name := range packages {
			if strings.Contains(name, unwanted) {
				t.Errorf("the build for service has %s", name)
			}
		}
	}
}
