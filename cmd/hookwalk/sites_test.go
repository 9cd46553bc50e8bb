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

// installed is an installation of the test's binary.
func installed(t testing.TB, per int, ways bool) *sites.Installation {
	t.Helper()
	in, err := sites.Start(t.Context(), sites.Options{Program: []string{os.Args[0]}, Env: []string{"HOOKWALK_AS_PROGRAM=1"}, Dir: t.TempDir(),
		NodesPerSite: per, Links: ways, Config: func(name, control string) string {
			return strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), `"name":"n0",`, fmt.Sprintf(`"name":%q,"control":%q,`, name, control), 1)
		}})
	t.Cleanup(in.Close)
	must(t, err)
	return in
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// until wants something of some nodes within a minute.
func until(t testing.TB, in *sites.Installation, what string, who []*sites.Node, holds func(sites.View) bool) time.Duration {
	t.Helper()
	took, err := in.WaitUntil(who, holds)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return took
}

func whole(n int) func(sites.View) bool {
	return func(v sites.View) bool { return v.Self == "agreed" && v.Alive() == n }
}
func has(name, state string) func(sites.View) bool {
	return func(v sites.View) bool { return v.State(name) == state }
}
func is(self string) func(sites.View) bool { return func(v sites.View) bool { return v.Self == self } }

// stalled has a node stand still for a while of real time: its kernel and its peers go on.
func stalled(t testing.TB, n *sites.Node, d time.Duration) {
	t.Helper()
	must(t, n.Signal(syscall.SIGSTOP))
	<-time.After(d)
	must(t, n.Signal(syscall.SIGCONT))
}

var rough = link.PacketFault{LossRatio: 0.05, DuplicateRatio: 0.05, Jitter: 20 * time.Millisecond}

// Twelve nodes of three sites, with every kind of fault between them: what each concludes, from outside. The times are
// logged; docs/sites.md has them.
func TestSites(t *testing.T) {
	in := installed(t, 4, true)
	n := len(in.Nodes)
	t.Logf("agreed %v after the start of all", until(t, in, "agreed", in.Nodes, whole(n)))

	victim := in.Nodes[5]
	victim.Kill()
	t.Logf("a killed node noticed by all in %v", until(t, in, "told of the death", in.Others(victim), has(victim.Name, "failed")))
	if v, _ := in.Nodes[4].View(); v.Self != "agreed" {
		t.Errorf("one death of seven and %s is %s", in.Nodes[4].Name, v.Self)
	}
	must(t, victim.WipeFolder())
	must(t, in.StartNode(victim))
	t.Logf("agreed %v after its return with an empty folder", until(t, in, "agreed", in.Nodes, whole(n)))
	if v, _ := victim.View(); v.Me.Start != 2 {
		t.Errorf("it goes on as start %d, its peers knew 1", v.Me.Start)
	}

	// Packets are lost, doubled, late and out of order, and nodes stall for less than a second, one after
	// another: nobody is called failed.
	still, watcher := in.Nodes[2], in.Nodes[3]
	before, _ := watcher.View()
	in.SetPacketFault(rough)
	for _, i := range []int{2, 6, 8, 10} { // by the last one, the first would be called failed
		stalled(t, in.Nodes[i], 700*time.Millisecond)
	}
	in.SetPacketFault(link.PacketFault{})
	until(t, in, "agreed", in.Nodes, whole(n))
	if after, ok := watcher.View(); !ok || after.Failed != before.Failed {
		t.Errorf("%s calls %d failed who are not", watcher.Name, after.Failed-before.Failed)
	}

	// A long stall: the others give it up; awake, it does not agree before it has heard them.
	must(t, still.Signal(syscall.SIGSTOP))
	until(t, in, "told of the stall", in.Others(still), has(still.Name, "failed"))
	must(t, still.Signal(syscall.SIGCONT))
	t.Logf("agreed %v after a long stall", until(t, in, "agreed", in.Nodes, whole(n)))
	if !strings.Contains(still.Log(), "was=agreed is=disputed") {
		t.Errorf("it did not doubt itself:\n%s", still.Log())
	}

	// A site is cut off from all others, both ways: half of whom it concerns is no majority. The others go on.
	lone := in.InSite("okanagan")
	must(t, in.SetPartitioned(true, lone, in.Others(lone...)))
	must(t, in.SetPartitioned(true, in.Others(lone...), lone))
	until(t, in, "cut off", lone, is("cut off"))
	until(t, in, "agreed", in.Others(lone...), is("agreed"))
	must(t, in.SetPartitioned(false, lone, in.Others(lone...)))
	must(t, in.SetPartitioned(false, in.Others(lone...), lone))
	t.Logf("agreed %v after a cut of a site", until(t, in, "agreed", in.Nodes, whole(n)))

	// One way: what a node says arrives nowhere, also where it answers on another's stream, and it hears all packets.
	dumb := in.Nodes[7]
	must(t, in.SetPartitioned(true, []*sites.Node{dumb}, in.Nodes))
	must(t, in.SetAnswersStalled(true, in.Nodes, dumb))
	until(t, in, "told of it", in.Others(dumb), has(dumb.Name, "failed"))
	t.Logf("it doubts itself %v later", until(t, in, "in doubt", []*sites.Node{dumb}, func(v sites.View) bool { return v.Self != "agreed" }))
	must(t, in.SetPartitioned(false, []*sites.Node{dumb}, in.Nodes))
	must(t, in.SetAnswersStalled(false, in.Nodes, dumb))
	t.Logf("agreed %v after a cut one way", until(t, in, "agreed", in.Nodes, whole(n)))

	// All are killed and come back with empty folders: they find together from the seeds.
	for _, m := range in.Nodes {
		m.Kill()
		must(t, m.WipeFolder())
	}
	for _, m := range in.Nodes {
		must(t, in.StartNode(m))
	}
	t.Logf("agreed %v after all came back with nothing", until(t, in, "agreed", in.Nodes, whole(n)))

	// A node that is told to end leaves: it is no failure, and nobody counts it any more.
	leaver := in.Nodes[n-1]
	must(t, leaver.Signal(syscall.SIGTERM))
	leaver.Wait()
	until(t, in, "told of the leave", in.Others(leaver), has(leaver.Name, "left"))
	until(t, in, "agreed", in.Others(leaver), whole(n-1))

	code, stdout, stderr := ends(t, program(t, "", "sites", "show", "--addr", in.Nodes[0].Control))
	if code != 0 || !strings.Contains(stdout, "agreed") || !strings.Contains(stdout, leaver.Name) || stderr != "" {
		t.Errorf("sites show: %d, %q, %q", code, stdout, stderr)
	}
}

// What is wrong with the settings is said in one line with its place, and status 1; and so where there is nothing to show.
func TestWrongSites(t *testing.T) {
	key := written(t, "key", base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n")
	for text, want := range map[string]string{
		`peers { site = "a" listen = "127.0.0.1:1" key_file = "k" }`:                                     `site "a" is not one of the blocks site`,
		`site "a" {} peers { site = "a" key_file = "k" }`:                                                "block peers needs listen",
		`site "a" {} peers { site = "a" listen = "here" key_file = "k" }`:                                "listen must be HOST:PORT",
		`site "a" {} site "a" {}`:                                                                        "site a is there already",
		`site "a" {} site "b" {}`:                                                                        "one is the root",
		`site "a" { parent = "x" }`:                                                                      "which is no site",
		`site "r" {} site "a" { parent = "b" } site "b" { parent = "a" }`:                                "is above itself",
		`site "a" {} peers { site = "a" listen = "127.0.0.1:1" key_file = "k" via = ["x"] }`:             "HOST:PORT=HOST:PORT",
		`site "a" {} peers { site = "a" listen = "127.0.0.1:0" key_file = "` + key + `.none" }`:          "key file",
		`site "a" {} peers { site = "a" listen = "127.0.0.1:0" key_file = "` + filepath.Dir(key) + `" }`: "key file",
	} {
		code, _, stderr := ends(t, program(t, fmt.Sprintf(config, "127.0.0.1:1"), "run", "--settings", written(t, "x.hcl", text)))
		if code != 1 || !strings.Contains(stderr, want) || strings.Count(strings.TrimSpace(stderr), "\n") > 0 {
			t.Errorf("%s: status %d, %q", text, code, stderr)
		}
	}
	if code, _, stderr := ends(t, program(t, "", "sites", "show", "--addr", free(t))); code != 1 || strings.Count(stderr, "\n") != 1 {
		t.Errorf("nobody there: status %d, %q", code, stderr)
	}
}

// BenchmarkSites has the figures of docs/sites.md, at 24 and 99 nodes without ways between them:
//
//	go test ./cmd/hookwalk -run '^$' -bench Sites -benchtime 1x -count 3
func BenchmarkSites(b *testing.B) {
	for _, per := range []int{8, 33} {
		b.Run(fmt.Sprint(3*per), func(b *testing.B) {
			for b.Loop() {
				began := time.Now()
				in := installed(b, per, false)
				until(b, in, "agreed", in.Nodes, whole(3*per))
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
				b.ReportMetric(float64(until(b, in, "told", in.Others(in.Nodes[1]), has(in.Nodes[1].Name, "failed")).Milliseconds()), "ms-to-notice")
				in.Close()
			}
		})
	}
}

// BenchmarkSitesAlarms counts how often one of twelve is called failed who is not, in 50 stalls of under a second beside
// 5% of packets lost and doubled and all of them out of order.
func BenchmarkSitesAlarms(b *testing.B) {
	for b.Loop() {
		in := installed(b, 4, true)
		until(b, in, "agreed", in.Nodes, whole(len(in.Nodes)))
		in.SetPacketFault(rough)
		for i := range 50 {
			stalled(b, in.Nodes[i%len(in.Nodes)], time.Duration(300+100*(i%7))*time.Millisecond)
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
