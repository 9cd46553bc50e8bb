package scale

import (
	"os/exec"
	"strings"
	"testing"
	"time"
)

// The production build (tag nolab) must not contain the packages of controllers, sessions and the lab.
func TestProductionBuildExcludesVersions(t *testing.T) {
	list := exec.CommandContext(t.Context(), "go", "list", "-deps", "-tags", "nolab", "hookwalk.example/hookwalk/cmd/hookwalk")
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(out))
	if len(packages) < 50 {
		t.Fatalf("the production build lists only %d packages, want at least 50", len(packages))
	}
	for _, unwanted := range []string{"hashicorp/raft", "bbolt", "boltdb", "hookwalk/internal/controller", "hookwalk/internal/configwatch",
		"hookwalk/internal/configapi", "hookwalk/configversion", "hookwalk/internal/lab"} {
		for _, name := range packages {
			if strings.Contains(name, unwanted) {
				t.Errorf("the production build contains %s", name)
			}
		}
	}
}

// nodesPerGroup is the number of real nodes with a session, and also of those without one.
const nodesPerGroup = 5

// meanUsage returns the mean resource usage of nodes.
func meanUsage(t *testing.T, nodes []*versionNode) (mean Usage) {
	t.Helper()
	for _, node := range nodes {
		usage, err := ReadUsage(node.command.Process.Pid)
		if err != nil {
			t.Fatal(err)
		}
		mean.CPU += usage.CPU / time.Duration(len(nodes))
		mean.RSSBytes += usage.RSSBytes / int64(len(nodes))
		mean.PrivateBytes += usage.PrivateBytes / int64(len(nodes))
		mean.Descriptors += usage.Descriptors
	}
	mean.Descriptors /= len(nodes)
	return mean
}

// TestVersionsNodeCost compares the resource usage of real nodes with a session and without one, while versions are
// published and no client load runs.
func TestVersionsNodeCost(t *testing.T) {
	largeOnly(t)
	const span, versions = time.Minute, changesPerMinute
	sequence := newVersionSequence(t, TargetTopology, nodesPerGroup)
	on := sequence.nodes
	var off []*versionNode
	for number := range nodesPerGroup {
		off = append(off, sequence.startNode(nodesPerGroup+number, true))
	}
	sequence.publish(0, nil)
	began := time.Now()
	onBefore, offBefore := meanUsage(t, on), meanUsage(t, off)
	for number := 1; number <= versions; number++ {
		sequence.publish(number, nil)
		if sleep(t.Context(), time.Until(began.Add(span*time.Duration(number)/versions))) != nil {
			return
		}
	}
	onAfter, offAfter := meanUsage(t, on), meanUsage(t, off)
	percent := func(from, to Usage) float64 { return 100 * (to.CPU - from.CPU).Seconds() / time.Since(began).Seconds() }
	table := &Table{Title: "real nodes, 53 versions in a minute, each for their service and checked by two requests: mean of 5",
		Header: []string{"session", "CPU, % of a core", "RSS, MB", "private, MB", "descriptors"}}
	megabytes := func(bytes int64) float64 { return float64(bytes) / (1 << 20) }
	table.Add("on", percent(onBefore, onAfter), megabytes(onAfter.RSSBytes), megabytes(onAfter.PrivateBytes), onAfter.Descriptors)
	table.Add("off", percent(offBefore, offAfter), megabytes(offAfter.RSSBytes), megabytes(offAfter.PrivateBytes), offAfter.Descriptors)
	printTable(table)
	if above := onAfter.RSSBytes - offAfter.RSSBytes; above > budgetRSS {
		t.Errorf("a session adds %d bytes of RSS per node, over %d", above, budgetRSS)
	}
}
