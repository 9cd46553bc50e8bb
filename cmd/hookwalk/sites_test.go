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

// startInstallation starts an installation whose nodes are the test's binary.
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

// mustSucceed ends the test on an error.
func mustSucceed(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitViews waits until the views of some nodes are as wanted, a minute at most.
func awaitViews(t testing.TB, in *sites.Installation, what string, nodes []*sites.Node, holds func(sites.View) bool) time.Duration {
	t.Helper()
	took, err := in.WaitUntil(nodes, holds)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return took
}

// agreedWithAll wants a node to agree with n nodes, itself among them.
func agreedWithAll(n int) func(sites.View) bool {
	return func(v sites.View) bool { return v.Self == "agreed" && v.Alive() == n }
}

// hasMember wants a node to see a member in a state.
func hasMember(name, state string) func(sites.View) bool {
	return func(v sites.View) bool { return v.State(name) == state }
}

// hasLocalState wants a node to see itself in a state.
func hasLocalState(self string) func(sites.View) bool {
	return func(v sites.View) bool { return v.Self == self }
}

// stallNode stops a node for a span of real time: its kernel and its peers go on.
func stallNode(t testing.TB, n *sites.Node, d time.Duration) {
	t.Helper()
	mustSucceed(t, n.Signal(syscall.SIGSTOP))
	<-time.After(d)
	mustSucceed(t, n.Signal(syscall.SIGCONT))
}

// lossyNetwork loses and duplicates packets, and has them overtake each other.
var lossyNetwork = link.PacketFault{LossRatio: 0.05, DuplicateRatio: 0.05, Jitter: 20 * time.Millisecond}

// A node that takes a live peer for failed, or goes on alone in a minority, decides against the others. Twelve nodes of three
// sites, with every kind of fault between them: what each concludes, as its admin API shows. The times are logged;
// docs/sites.md has them.
func TestSites(t *testing.T) {
	in := startInstallation(t, 4, true)
	nodeCount := len(in.Nodes)
	t.Logf("agreed %v after the start of all", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	victim := in.Nodes[5]
	victim.Kill()
	t.Logf("a killed node noticed by all in %v", awaitViews(t, in, "told of the death", in.Others(victim), hasMember(victim.Name, "failed")))
	if v, _ := in.Nodes[4].View(); v.Self != "agreed" {
		t.Errorf("one death of seven and %s is %s", in.Nodes[4].Name, v.Self)
	}
	mustSucceed(t, victim.WipeFolder())
	mustSucceed(t, in.StartNode(victim))
	t.Logf("agreed %v after its return with an empty folder", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))
	if v, _ := victim.View(); v.Me.Start != 2 {
		t.Errorf("it goes on as start %d, its peers knew 1", v.Me.Start)
	}

	// Packets are lost, duplicated, late and out of order, and nodes stall for less than a second, one after
	// another: nobody is called failed.
	stalledNode, watcher := in.Nodes[2], in.Nodes[3]
	before, _ := watcher.View()
	in.SetPacketFault(lossyNetwork)
	for _, i := range []int{2, 6, 8, 10} { // by the last one, the first would be called failed
		stallNode(t, in.Nodes[i], 700*time.Millisecond)
	}
	in.SetPacketFault(link.PacketFault{})
	awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount))
	if after, ok := watcher.View(); !ok || after.Failed != before.Failed {
		t.Errorf("%s calls %d failed who are not", watcher.Name, after.Failed-before.Failed)
	}

	// A long stall: the others call it failed; once it runs again, it does not agree before it has heard from them.
	mustSucceed(t, stalledNode.Signal(syscall.SIGSTOP))
	awaitViews(t, in, "told of the stall", in.Others(stalledNode), hasMember(stalledNode.Name, "failed"))
	mustSucceed(t, stalledNode.Signal(syscall.SIGCONT))
	t.Logf("agreed %v after a long stall", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))
	if !strings.Contains(stalledNode.Log(), "was=agreed is=disputed") {
		t.Errorf("it did not doubt itself:\n%s", stalledNode.Log())
	}

	// A site is partitioned from all others, both ways: half of the nodes that concern it are no majority. The others go on.
	isolated := in.InSite("okanagan")
	mustSucceed(t, in.SetPartitioned(true, isolated, in.Others(isolated...)))
	mustSucceed(t, in.SetPartitioned(true, in.Others(isolated...), isolated))
	awaitViews(t, in, "cut off", isolated, hasLocalState("cut off"))
	awaitViews(t, in, "agreed", in.Others(isolated...), hasLocalState("agreed"))
	mustSucceed(t, in.SetPartitioned(false, isolated, in.Others(isolated...)))
	mustSucceed(t, in.SetPartitioned(false, in.Others(isolated...), isolated))
	t.Logf("agreed %v after a cut of a site", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	// An asymmetric partition: what a node sends arrives nowhere, also its answers on streams of others, but it receives all
	// packets.
	mutedNode := in.Nodes[7]
	mustSucceed(t, in.SetPartitioned(true, []*sites.Node{mutedNode}, in.Nodes))
	mustSucceed(t, in.SetAnswersStalled(true, in.Nodes, mutedNode))
	awaitViews(t, in, "told of it", in.Others(mutedNode), hasMember(mutedNode.Name, "failed"))
	t.Logf("it doubts itself %v later", awaitViews(t, in, "in doubt", []*sites.Node{mutedNode}, func(v sites.View) bool { return v.Self != "agreed" }))
	mustSucceed(t, in.SetPartitioned(false, []*sites.Node{mutedNode}, in.Nodes))
	mustSucceed(t, in.SetAnswersStalled(false, in.Nodes, mutedNode))
	t.Logf("agreed %v after a cut one way", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	// All are killed and come back with empty folders: they find each other through the seeds.
	for _, m := range in.Nodes {
		m.Kill()
		mustSucceed(t, m.WipeFolder())
	}
	for _, m := range in.Nodes {
		mustSucceed(t, in.StartNode(m))
	}
	t.Logf("agreed %v after all came back with nothing", awaitViews(t, in, "agreed", in.Nodes, agreedWithAll(nodeCount)))

	// A node that gets SIGTERM leaves: it is no failure, and nobody counts it any more.
	leaver := in.Nodes[nodeCount-1]
	mustSucceed(t, leaver.Signal(syscall.SIGTERM))
	leaver.Wait()
	awaitViews(t, in, "told of the leave", in.Others(leaver), hasMember(leaver.Name, "left"))
	awaitViews(t, in, "agreed", in.Others(leaver), agreedWithAll(nodeCount-1))

	code, stdout, stderr := runToEnd(t, programCommand(t, "", "sites", "show", "--addr", in.Nodes[0].Control))
	if code != 0 || !strings.Contains(stdout, "agreed") || !strings.Contains(stdout, leaver.Name) || stderr != "" {
		t.Errorf("sites show: %d, %q, %q", code, stdout, stderr)
	}
}

// Invalid settings end the program with status 1 and one line that says where they are wrong, and so does a node that can't
// be reached by sites show.
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
		t.Errorf("nobody there: status %d, %q", code, stderr)
	}
}

// BenchmarkSites measures what docs/sites.md shows, at 24 and 99 nodes without links between them:
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
				b.ReportMetric(float64(awaitViews(b, in, "told", in.Others(in.Nodes[1]), hasMember(in.Nodes[1].Name, "failed")).Milliseconds()), "ms-to-notice")
				in.Close()
			}
		})
	}
}

// BenchmarkSitesAlarms counts how often a live node of twelve is called failed, in 50 stalls of under a second with 5% of
// packets lost, 5% duplicated and all of them out of order.
func BenchmarkSitesAlarms(b *testing.B) {
	for b.Loop() {
		in := startInstallation(b, 4, true)
		awaitViews(b, in, "agreed", in.Nodes, agreedWithAll(len(in.Nodes)))
		in.SetPacketFault(lossyNetwork)
		for i := range 50 {
			stallNode(b, in.Nodes[i%len(in.Nodes)], time.Duration(300+100*(i%7))*time.Millisecond)
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
