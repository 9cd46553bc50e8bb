package main

import (
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
	"hookwalk.example/hookwalk/internal/lab/sites"
)

// startInstallation starts an installation of three sites whose nodes run the test binary.
func startInstallation(t testing.TB, nodesPerSite int, links bool) *sites.Installation {
	t.Helper()
	in, err := sites.Start(t.Context(), sites.Options{Program: []string{os.Args[0]}, Env: []string{"HOOKWALK_AS_PROGRAM=1"}, Dir: t.TempDir(),
		NodesPerSite: nodesPerSite, Links: links, Config: func(name, control string) string {
			return strings.Replace(fmt.Sprintf(minimalConfig, "127.0.0.1:1"), `"name":"n0",`, fmt.Sprintf(`"name":%q,"control":%q,`, name, control), 1)
		}})
	t.Cleanup(in.Close)
	mustSucceed(t, err)
	return in
}

// mustSucceed fails the test immediately if there is an error.
func mustSucceed(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitViews waits until a condition holds for the views of some nodes, and returns how long that took.
func awaitViews(t testing.TB, in *sites.Installation, what string, nodes []*sites.Node, holds func(sites.View) bool) time.Duration {
	t.Helper()
	took, err := in.WaitUntil(nodes, holds)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return took
}

// agreedWithAll is the condition that a node is in state agreed and sees n live nodes, including itself.
func agreedWithAll(n int) func(sites.View) bool {
	return func(v sites.View) bool { return v.Self == "agreed" && v.Alive() == n }
}

// hasMember is the condition that a node sees a member in a state.
func hasMember(name, state string) func(sites.View) bool {
	return func(v sites.View) bool { return v.State(name) == state }
}

// hasLocalState is the condition that a node is itself in a state.
func hasLocalState(self string) func(sites.View) bool {
	return func(v sites.View) bool { return v.Self == self }
}

// suspendNode stops a node's process for a duration, while the kernel serves its sockets and its peers continue.
func suspendNode(t testing.TB, n *sites.Node, d time.Duration) {
	t.Helper()
	mustSucceed(t, n.Signal(syscall.SIGSTOP))
	<-time.After(d)
	mustSucceed(t, n.Signal(syscall.SIGCONT))
}

// lossyNetwork loses, duplicates and reorders packets.
var lossyNetwork = link.PacketFault{LossRatio: 0.05, DuplicateRatio: 0.05, Jitter: 20 * time.Millisecond}

// Guards against a node that declares a live peer failed, or continues alone in a minority, and then decides differently from
// the others. Checks through the admin API what each of twelve nodes at three sites concludes under every kind of fault between
// them. The measured times are logged; docs/sites.md lists them.
func TestSitesUnderFaults(t *testing.T) {
	in := startInstallation(t, 4, true)
	nodeCount := len(in.Nodes)
	t.Logf("agreed %v after the start of all", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	killedNode := in.Nodes[5]
	killedNode.Kill()
	t.Logf("all nodes detected a killed node in %v", awaitViews(t, in, "detection of a killed node", in.Others(killedNode), hasMember(killedNode.Name, "failed")))
	if v, _ := in.Nodes[4].View(); v.Self != "agreed" {
		t.Errorf("with one of seven nodes failed, %s is in state %s", in.Nodes[4].Name, v.Self)
	}
	mustSucceed(t, killedNode.WipeFolder())
	mustSucceed(t, in.StartNode(killedNode))
	t.Logf("agreed %v after its restart with an empty folder", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))
	if v, _ := killedNode.View(); v.Me.Start != 2 {
		t.Errorf("its start number is %d, want 2: its peers knew 1", v.Me.Start)
	}

	// Packets are lost, duplicated, delayed and reordered, and nodes stall one after another for less than a second: no node may
	// be declared failed.
	stalledNode, observer := in.Nodes[2], in.Nodes[3]
	before, _ := observer.View()
	in.SetPacketFault(lossyNetwork)
	for _, i := range []int{2, 6, 8, 10} { // long enough that the first node would be declared failed before the last one stalls
		suspendNode(t, in.Nodes[i], 700*time.Millisecond)
	}
	in.SetPacketFault(link.PacketFault{})
	awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount))
	if after, ok := observer.View(); !ok || after.Failed != before.Failed {
		t.Errorf("%s declared %d live nodes failed", observer.Name, after.Failed-before.Failed)
	}

	// A long stall: the others declare the node failed. When it runs again, it must be in state disputed until it has heard from
	// them.
	mustSucceed(t, stalledNode.Signal(syscall.SIGSTOP))
	awaitViews(t, in, "detection of a long stall", in.Others(stalledNode), hasMember(stalledNode.Name, "failed"))
	mustSucceed(t, stalledNode.Signal(syscall.SIGCONT))
	t.Logf("agreed %v after a long stall", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))
	if !strings.Contains(stalledNode.Log(), "was=agreed is=disputed") {
		t.Errorf("the stalled node never was in state disputed:\n%s", stalledNode.Log())
	}

	// A site is partitioned from all others in both directions: half of the nodes that its nodes compare with are no majority.
	// The others continue.
	isolated := in.InSite("okanagan")
	mustSucceed(t, in.SetPartitioned(true, isolated, in.Others(isolated...)))
	mustSucceed(t, in.SetPartitioned(true, in.Others(isolated...), isolated))
	awaitViews(t, in, "cut off", isolated, hasLocalState("cut off"))
	awaitViews(t, in, "agreed", in.Others(isolated...), hasLocalState("agreed"))
	mustSucceed(t, in.SetPartitioned(false, isolated, in.Others(isolated...)))
	mustSucceed(t, in.SetPartitioned(false, in.Others(isolated...), isolated))
	t.Logf("agreed %v after the partition of a site", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	// An asymmetric partition: nothing that a node sends is delivered, including its responses on streams that others opened, but
	// it receives all packets.
	mutedNode := in.Nodes[7]
	mustSucceed(t, in.SetPartitioned(true, []*sites.Node{mutedNode}, in.Nodes))
	mustSucceed(t, in.SetAnswersStalled(true, in.Nodes, mutedNode))
	awaitViews(t, in, "detection of an asymmetric partition", in.Others(mutedNode), hasMember(mutedNode.Name, "failed"))
	t.Logf("the node itself noticed %v later", awaitViews(t, in, "a local state other than agreed", []*sites.Node{mutedNode}, func(v sites.View) bool { return v.Self != "agreed" }))
	mustSucceed(t, in.SetPartitioned(false, []*sites.Node{mutedNode}, in.Nodes))
	mustSucceed(t, in.SetAnswersStalled(false, in.Nodes, mutedNode))
	t.Logf("agreed %v after an asymmetric partition", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	// All nodes are killed and restarted with empty folders: they must find each other through the seeds.
	for _, m := range in.Nodes {
		m.Kill()
		mustSucceed(t, m.WipeFolder())
	}
	for _, m := range in.Nodes {
		mustSucceed(t, in.StartNode(m))
	}
	t.Logf("agreed %v after all nodes restarted with empty folders", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	// A node that gets SIGTERM leaves: it must not be declared failed, and no node may count it any more.
	leavingNode := in.Nodes[nodeCount-1]
	mustSucceed(t, leavingNode.Signal(syscall.SIGTERM))
	leavingNode.Wait()
	awaitViews(t, in, "notification of the leave", in.Others(leavingNode), hasMember(leavingNode.Name, "left"))
	awaitViews(t, in, "agreed", in.Others(leavingNode), agreedWithAll(nodeCount-1))

	code, stdout, stderr := runToEnd(t, programCommand(t, "", "sites", "show", "--addr", in.Nodes[0].Control))
	if code != 0 || !strings.Contains(stdout, "agreed") || !strings.Contains(stdout, leavingNode.Name) || stderr != "" {
		t.Errorf("sites show: %d, %q, %q", code, stdout, stderr)
	}
}

// Invalid settings must make the node exit with status 1 and one line that says what is wrong. So must sites show if it can't
// reach the node.
func TestInvalidSites(t *testing.T) {
	key := writeFile(t, "key", base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n")
	for text, want := range map[string]string{
		`peers { site = "a" listen = "127.0.0.1:1" key_file = "k" }`:                                     `no block defines the site "a"`,
		`site "a" {} peers { site = "a" key_file = "k" }`:                                                "block peers needs listen",
		`site "a" {} peers { site = "a" listen = "here" key_file = "k" }`:                                "listen must be HOST:PORT",
		`site "a" {} site "a" {}`:                                                                        "site a is already defined",
		`site "a" {} site "b" {}`:                                                                        "another site is already the root",
		`site "a" { parent = "x" }`:                                                                      "which is not a site",
		`site "r" {} site "a" { parent = "b" } site "b" { parent = "a" }`:                                "is its own ancestor",
		`site "a" {} peers { site = "a" listen = "127.0.0.1:1" key_file = "k" via = ["x"] }`:             "HOST:PORT=HOST:PORT",
		`site "a" {} peers { site = "a" listen = "127.0.0.1:0" key_file = "` + key + `.none" }`:          "key file",
		`site "a" {} peers { site = "a" listen = "127.0.0.1:0" key_file = "` + filepath.Dir(key) + `" }`: "key file",
	} {
		code, _, stderr := runToEnd(t, programCommand(t, fmt.Sprintf(minimalConfig, "127.0.0.1:1"), "run", "--settings", writeFile(t, "x.hcl", text)))
		if code != 1 || !strings.Contains(stderr, want) || strings.Count(strings.TrimSpace(stderr), "\n") > 0 {
			t.Errorf("%s: status %d, %q", text, code, stderr)
		}
	}
	if code, _, stderr := runToEnd(t, programCommand(t, "", "sites", "show", "--addr", freeAddress(t))); code != 1 || strings.Count(stderr, "\n") != 1 {
		t.Errorf("sites show without a node: status %d, %q", code, stderr)
	}
}

// BenchmarkSites measures figures of docs/sites.md with 24 and 99 nodes that reach each other directly, without emulated links:
//
//	go test ./cmd/hookwalk -run '^$' -bench Sites -benchtime 1x -count 3
func BenchmarkSites(b *testing.B) {
	for _, per := range []int{8, 33} {
		b.Run(fmt.Sprint(3*per), func(b *testing.B) {
			for b.Loop() {
				began := time.Now()
				in := startInstallation(b, per, false)
				awaitViews(b, in, "agreed", in.Nodes, agreedWithAll(3*per))
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-to-agree")
				sent := func() (sum int64) {
					for _, n := range in.Nodes {
						v, _ := n.View()
						sum += v.Sent
					}
					return sum
				}
				before, at := sent(), time.Now()
				<-time.After(6 * time.Second)
				b.ReportMetric(float64(sent()-before)/float64(3*per)/time.Since(at).Seconds(), "B/s-a-node")
				in.Nodes[1].Kill()
				b.ReportMetric(float64(awaitViews(b, in, "detection of a killed node", in.Others(in.Nodes[1]), hasMember(in.Nodes[1].Name, "failed")).Milliseconds()), "ms-to-notice")
				in.Close()
			}
		})
	}
}

// BenchmarkSitesAlarms counts how often one of twelve live nodes is declared failed during 50 stalls of less than a second,
// with 5% of packets lost, 5% duplicated and all of them reordered.
func BenchmarkSitesAlarms(b *testing.B) {
	for b.Loop() {
		in := startInstallation(b, 4, true)
		awaitViews(b, in, "agreed", in.Nodes, agreedWithAll(len(in.Nodes)))
		in.SetPacketFault(lossyNetwork)
		for i := range 50 {
			suspendNode(b, in.Nodes[i%len(in.Nodes)], time.Duration(300+100*(i%7))*time.Millisecond)
			<-time.After(700 * time.Millisecond)
		}
		alarms := uint64(0)
		for _, n := range in.Nodes {
			v, _ := n.View()
			alarms += v.Failed
		}
		b.ReportMetric(float64(alarms), "alarms")
	}
}
