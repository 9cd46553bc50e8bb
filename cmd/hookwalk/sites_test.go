package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/link"
)

// tree is an installation of three sites whose nodes are processes of the program, with a way of its own from each to
// each.
type installation struct {
	t     testing.TB
	ports int // a block that no other rig, and no outgoing connection, has
	given int
	nodes []*member
	ways  map[[2]string]*link.Peers // by the names of who calls and who is called
	key   string
}

type member struct {
	name, site, listen, control, folder string
	config, settings                    string
	cmd                                 *exec.Cmd
	ended                               chan struct{}
	log                                 *said
}

// said is what a process has written so far.
type said struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *said) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *said) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// places has an address for each of per nodes of each site.
func places(t testing.TB, per int) *installation {
	t.Helper()
	ports, release, err := link.Claim(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	in := &installation{t: t, ports: ports, key: written(t, "key", base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n")}
	for _, site := range []string{"dc", "okanagan", "similkameen"} {
		for i := range per {
			in.nodes = append(in.nodes, &member{name: fmt.Sprintf("%s-%d", site, i), site: site, listen: in.addr(), control: in.addr(), folder: t.TempDir()})
		}
	}
	return in
}

// addr is an address that no link of the block has.
func (in *installation) addr() string {
	in.given++
	return fmt.Sprintf("127.0.0.1:%d", in.ports+3000+in.given)
}

// installed starts per nodes of each site: a centre and two below it.
func installed(t testing.TB, per int) *installation {
	t.Helper()
	in := places(t, per)
	in.ways = map[[2]string]*link.Peers{}
	var all sync.Mutex
	var opens sync.WaitGroup
	for _, a := range in.nodes {
		for _, b := range in.nodes {
			if a == b {
				continue
			}
			opens.Go(func() {
				w, err := link.OpenPeers(in.ports, b.listen)
				all.Lock()
				defer all.Unlock()
				if err != nil {
					t.Error(err)
					return
				}
				in.ways[[2]string{a.name, b.name}] = w
			})
		}
	}
	opens.Wait()
	t.Cleanup(func() {
		for _, w := range in.ways {
			w.Close()
		}
	})
	if t.Failed() {
		t.FailNow()
	}
	in.settle()
	for _, m := range in.nodes {
		in.start(m)
	}
	return in
}

// settle writes each node's settings.
func (in *installation) settle() {
	t := in.t
	for _, m := range in.nodes {
		var via []string
		for _, o := range in.nodes {
			if in.ways != nil && o != m {
				via = append(via, fmt.Sprintf("%q", o.listen+"="+in.ways[[2]string{m.name, o.name}].Addr()))
			}
		}
		m.settings = written(t, m.name+".hcl", fmt.Sprintf(`site "dc" {}
site "okanagan" { parent = "dc" }
site "similkameen" { parent = "dc" }
peers {
  site = %q listen = %q seeds = [%q, %q] key_file = %q label = "benchland" folder = %q
  via = [%s]
}
`, m.site, m.listen, in.nodes[0].listen, in.nodes[len(in.nodes)/3].listen, in.key, m.folder, strings.Join(via, ", ")))
		m.config = strings.Replace(fmt.Sprintf(config, "127.0.0.1:1"), `"name":"n0",`, fmt.Sprintf(`"name":%q,"control":%q,`, m.name, m.control), 1)
	}
}

func (in *installation) start(m *member) {
	in.t.Helper()
	m.cmd = program(in.t, m.config, "run", "--settings", m.settings)
	m.cmd.Env = append(m.cmd.Env, "TMPDIR="+m.folder)
	m.log = &said{}
	m.cmd.Stderr = m.log
	if err := m.cmd.Start(); err != nil {
		in.t.Fatal(err)
	}
	cmd, ended := m.cmd, make(chan struct{})
	m.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	in.t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		<-ended
	})
}

func (in *installation) kill(m *member) {
	m.cmd.Process.Kill()
	<-m.ended
}

// view is what a node answers; false: it does not.
func (m *member) view() (v shown, ok bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.control + "/control/sites")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil
}

// until waits for all of some nodes to answer what is wanted, and returns how long that took.
func (in *installation) until(what string, who []*member, holds func(shown) bool) time.Duration {
	in.t.Helper()
	begin := time.Now()
	for _, m := range who {
		for {
			v, ok := m.view()
			if ok && holds(v) {
				break
			}
			if time.Since(begin) > time.Minute {
				in.t.Fatalf("%s: not %s after %v: %+v\n%s", m.name, what, time.Since(begin), v, m.log)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

func (in *installation) others(out ...*member) []*member {
	return slices.DeleteFunc(slices.Clone(in.nodes), func(m *member) bool { return slices.Contains(out, m) })
}

func (in *installation) of(site string) (list []*member) {
	for _, m := range in.nodes {
		if m.site == site {
			list = append(list, m)
		}
	}
	return list
}

// cut cuts the ways from some nodes to others, or mends them.
func (in *installation) cut(off bool, from, to []*member) {
	in.t.Helper()
	for _, a := range from {
		for _, b := range to {
			if w := in.ways[[2]string{a.name, b.name}]; w != nil {
				if err := w.Cut(off); err != nil {
					in.t.Fatal(err)
				}
			}
		}
	}
}

// whole says that a node agrees with the others and that n are here.
func whole(n int) func(shown) bool {
	return func(v shown) bool {
		there := 1
		for _, m := range v.Members {
			if m.State == "here" {
				there++
			}
		}
		return v.Self == "agreed" && there == n
	}
}

func has(name, state string) func(shown) bool {
	return func(v shown) bool {
		for _, m := range v.Members {
			if m.Name == name {
				return m.State == state
			}
		}
		return false
	}
}

func is(self string) func(shown) bool { return func(v shown) bool { return v.Self == self } }

// Twelve nodes of three sites, with every kind of fault between them: what each concludes, from outside. The times are
// logged; docs/sites.md has them.
func TestSites(t *testing.T) {
	in := installed(t, 4)
	n := len(in.nodes)
	t.Logf("agreed %v after the start of all", in.until("agreed", in.nodes, whole(n)))

	victim := in.nodes[5]
	in.kill(victim)
	t.Logf("a killed node noticed by all in %v", in.until("told of the death", in.others(victim), has(victim.name, "failed")))
	if v, _ := in.nodes[4].view(); v.Self != "agreed" {
		t.Errorf("one death of seven and %s is %s", v.Me.Name, v.Self)
	}
	os.RemoveAll(victim.folder) // its disk forgets
	if err := os.Mkdir(victim.folder, 0o700); err != nil {
		t.Fatal(err)
	}
	in.start(victim)
	t.Logf("agreed %v after its return with an empty folder", in.until("agreed", in.nodes, whole(n)))
	if v, _ := victim.view(); v.Me.Start != 2 {
		t.Errorf("it goes on as start %d, its peers knew 1", v.Me.Start)
	}

	// Packets are lost, doubled, late and out of order, and a node stalls for less than a second: nobody is called failed.
	for _, w := range in.ways {
		w.SetLoss(link.Loss{Lost: 0.05, Doubled: 0.05, Jitter: 20 * time.Millisecond})
	}
	still := in.nodes[2]
	still.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(700 * time.Millisecond)
	still.cmd.Process.Signal(syscall.SIGCONT)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range in.nodes {
			if v, ok := m.view(); ok && len(v.Members) == n-1 && slices.ContainsFunc(v.Members, func(o struct {
				Name, Site, State string
				Start             uint64
				ForMS             int64
			}) bool {
				return o.State == "failed"
			}) {
				t.Fatalf("%s calls one failed who is not: %+v", m.name, v.Members)
			}
		}
	}
	for _, w := range in.ways {
		w.SetLoss(link.Loss{})
	}

	// A long stall: the others give it up; awake, it does not agree before it has heard them.
	still.cmd.Process.Signal(syscall.SIGSTOP)
	in.until("told of the stall", in.others(still), has(still.name, "failed"))
	still.cmd.Process.Signal(syscall.SIGCONT)
	t.Logf("agreed %v after a long stall", in.until("agreed", in.nodes, whole(n)))
	if !strings.Contains(still.log.String(), "was=agreed is=disputed") {
		t.Errorf("it did not doubt itself:\n%s", still.log)
	}

	// A site is cut off from all others, both ways: half of whom it concerns is no majority. The others go on.
	lone := in.of("okanagan")
	in.cut(true, lone, in.others(lone...))
	in.cut(true, in.others(lone...), lone)
	in.until("cut off", lone, is("cut off"))
	in.until("agreed", in.of("dc"), is("agreed"))
	in.until("agreed", in.of("similkameen"), is("agreed"))
	in.cut(false, lone, in.others(lone...))
	in.cut(false, in.others(lone...), lone)
	t.Logf("agreed %v after a cut of a site", in.until("agreed", in.nodes, whole(n)))

	// One way: what a node says arrives nowhere, also where it answers on another's stream, and it hears all packets.
	dumb := in.nodes[7]
	in.cut(true, []*member{dumb}, in.others(dumb))
	answers := func(f link.Fault) {
		for _, o := range in.others(dumb) {
			if err := in.ways[[2]string{o.name, dumb.name}].Set(f); err != nil {
				t.Fatal(err)
			}
		}
	}
	answers(link.Fault{Silent: [2]bool{link.Back: true}})
	in.until("told of it", in.others(dumb), has(dumb.name, "failed"))
	t.Logf("it doubts itself %v later", in.until("in doubt", []*member{dumb}, func(v shown) bool { return v.Self != "agreed" }))
	in.cut(false, []*member{dumb}, in.others(dumb))
	answers(link.Fault{})
	t.Logf("agreed %v after a cut one way", in.until("agreed", in.nodes, whole(n)))

	// All are killed and come back with empty folders: they find together from the seeds.
	for _, m := range in.nodes {
		in.kill(m)
		os.RemoveAll(m.folder)
		if err := os.Mkdir(m.folder, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range in.nodes {
		in.start(m)
	}
	t.Logf("agreed %v after all came back with nothing", in.until("agreed", in.nodes, whole(n)))

	// A node that is told to end leaves: it is no failure, and nobody counts it any more.
	leaver := in.nodes[n-1]
	leaver.cmd.Process.Signal(syscall.SIGTERM)
	<-leaver.ended
	in.until("told of the leave", in.others(leaver), has(leaver.name, "left"))
	in.until("agreed", in.others(leaver), whole(n-1))

	code, stdout, stderr := ends(t, program(t, "", "sites", "show", "--addr", in.nodes[0].control))
	if code != 0 || !strings.Contains(stdout, "agreed") || !strings.Contains(stdout, leaver.name) || stderr != "" {
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

// BenchmarkSites has the figures of docs/sites.md, at 24 and 100 nodes without ways between them:
//
//	go test ./cmd/hookwalk -run '^$' -bench Sites -benchtime 1x -count 3
func BenchmarkSites(b *testing.B) {
	for _, per := range []int{8, 33} {
		b.Run(fmt.Sprint(3*per), func(b *testing.B) {
			for b.Loop() {
				in := places(b, per)
				in.settle()
				began := time.Now()
				for _, m := range in.nodes {
					in.start(m)
				}
				in.until("agreed", in.nodes, whole(3*per))
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-to-agree")
				before, at := in.sent(), time.Now()
				time.Sleep(6 * time.Second)
				b.ReportMetric(float64(in.sent()-before)/float64(3*per)/time.Since(at).Seconds(), "B/s-a-node")
				b.ReportMetric(in.nodes[0].rss(b), "MB-RSS")
				in.kill(in.nodes[1])
				b.ReportMetric(float64(in.until("told", in.others(in.nodes[1]), has(in.nodes[1].name, "failed")).Milliseconds()), "ms-to-notice")
				for _, m := range in.nodes {
					in.kill(m)
				}
			}
		})
	}
}

// BenchmarkSitesAlarms counts how often one of twelve is called failed who is not, in 50 stalls of under a second beside
// 5% of packets lost and doubled and all of them out of order.
func BenchmarkSitesAlarms(b *testing.B) {
	for b.Loop() {
		in := installed(b, 4)
		in.until("agreed", in.nodes, whole(len(in.nodes)))
		for _, w := range in.ways {
			w.SetLoss(link.Loss{Lost: 0.05, Doubled: 0.05, Jitter: 20 * time.Millisecond})
		}
		for i := range 50 {
			m := in.nodes[i%len(in.nodes)]
			m.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(300*time.Millisecond + time.Duration(i%7)*100*time.Millisecond)
			m.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(700 * time.Millisecond)
		}
		alarms := uint64(0)
		for _, m := range in.nodes {
			v, _ := m.view()
			alarms += v.Failed
		}
		b.ReportMetric(float64(alarms), "alarms")
	}
}

// sent is how much all nodes have sent in packets.
func (in *installation) sent() (n int64) {
	for _, m := range in.nodes {
		v, _ := m.view()
		n += v.Sent
	}
	return n
}

func (m *member) rss(t testing.TB) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var kb float64
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %f kB", &kb)
	}
	return kb / 1024
}
