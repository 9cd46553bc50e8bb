package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

// TestMain has the test binary be the program when the environment says so.
func TestMain(m *testing.M) {
	if fault := os.Getenv(faultyNodeEnv); fault != "" {
		runFaultyNode(fault)
		os.Exit(0)
	}
	if os.Getenv("HOOKWALK_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// writeFile writes a text into a new file.
func writeFile(t testing.TB, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runToEnd runs a program to its end and returns its exit code and output.
func runToEnd(t *testing.T, c *exec.Cmd) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs strings.Builder
	c.Stdout, c.Stderr = &out, &errs
	if err := c.Run(); err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), out.String(), errs.String()
}

// programCommand is the program with a text as its configuration file.
func programCommand(t testing.TB, config string, args ...string) *exec.Cmd {
	t.Helper()
	path := writeFile(t, "config.json", config)
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "HOOKWALK_AS_PROGRAM=1", "ROUTER_CONFIG="+path)
	return c
}

// minimalConfig is a configuration with one server that does not exist and one class; its argument is discovery's address.
const minimalConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"in_service"}]},
 "settings":{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":75},
  "lanes":[{"name":"a","target-ms":100,"deadline-ms":200,"worth":1}]}}`

// startDiscovery starts a discovery that signals each watch and serves the list that minimalConfig has.
func startDiscovery(t *testing.T) (addr string, watched <-chan struct{}) {
	calls := make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			fmt.Fprintln(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"in_service"}]}`)
			return
		}
		calls <- struct{}{}
		fmt.Fprintln(w, `{"seq":2,"whole":false,"hosts":[]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String(), calls
}

// startServing starts the program and waits until it is ready.
func startServing(t testing.TB, c *exec.Cmd) (lines *bufio.Scanner, url string) {
	t.Helper()
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() }) // does nothing to one that has ended
	listen := regexp.MustCompile(`msg=serving .*listen=(\S+)`)
	lines = bufio.NewScanner(stderr)
	for url == "" && lines.Scan() {
		if m := listen.FindStringSubmatch(lines.Text()); m != nil {
			url = "http://" + m[1]
		}
	}
	if url == "" {
		t.Fatalf("it ended without serving: %v", c.Wait())
	}
	for ready := false; !ready; {
		ready = status(t, url+"/ready") == http.StatusOK
	}
	return lines, url
}

// status is the status of a GET.
func status(t testing.TB, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// terminate sends SIGTERM and wants an orderly end.
func terminate(t *testing.T, c *exec.Cmd, lines *bufio.Scanner) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v, want exit 0", err)
	}
}

func TestServesUntilSIGTERM(t *testing.T) {
	agent, _ := startDiscovery(t)
	c := programCommand(t, fmt.Sprintf(minimalConfig, agent))
	lines, _ := startServing(t, c)
	terminate(t, c, lines)
}

// SIGHUP once ended the node, because nothing handled it. It reads the file again instead and watches the discovery named
// there; with a file that can't be used it logs one line and goes on as before.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	first, firstWatched := startDiscovery(t)
	second, secondWatched := startDiscovery(t)
	c := programCommand(t, fmt.Sprintf(minimalConfig, first))
	path := strings.TrimPrefix(c.Env[len(c.Env)-1], "ROUTER_CONFIG=")
	lines, url := startServing(t, c)
	<-firstWatched
	hangUp := func(text, want string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for lines.Scan() {
			if strings.Contains(lines.Text(), want) {
				return
			}
		}
		t.Fatalf("it ended: %v", c.Wait())
	}
	hangUp("{", `msg="configuration not read again"`)
	if len(firstWatched)+len(secondWatched) != 0 {
		t.Error("a file that can't be read moved the watch")
	}
	hangUp(fmt.Sprintf(minimalConfig, second), `msg="configuration read again"`)
	<-secondWatched
	if got := status(t, url+"/ready"); got != http.StatusOK {
		t.Errorf("after SIGHUP /ready answers %d", got)
	}
	hangUp(fmt.Sprintf(minimalConfig, first), `msg="configuration read again"`)
	<-firstWatched
	terminate(t, c, lines)
}

// wantOneLineError wants exit 1 and one line that says a text.
func wantOneLineError(t *testing.T, c *exec.Cmd, want string) {
	t.Helper()
	code, _, said := runToEnd(t, c)
	if code != 1 || strings.Count(said, "\n") != 1 || !strings.HasPrefix(said, "hookwalk: ") || !strings.Contains(said, want) {
		t.Errorf("exit %d, said %q, want exit 1 and one line with %q", code, said, want)
	}
}

func TestBadSettings(t *testing.T) {
	for text, want := range map[string]string{
		"\nfire {}":                         ":2: unknown block fire",
		`drill "a" { class = 3 }`:           ":1: class must be a string",
		"\n\ndrill \"a\" { class = \"b\" }": `:3: drill a: class "b" is not one of the node's classes`,
	} {
		path := writeFile(t, "hookwalk.hcl", text)
		wantOneLineError(t, programCommand(t, fmt.Sprintf(minimalConfig, "127.0.0.1:1"), "--settings", path), path+want)
	}
	wantOneLineError(t, programCommand(t, fmt.Sprintf(minimalConfig, "127.0.0.1:1"), "--settings", "/nowhere.hcl"), "/nowhere.hcl")
}

func TestUsage(t *testing.T) {
	for args, want := range map[string]int{
		"start": 2, "drill": 2, "drill stop": 2, "drill start": 2, "drill start --file": 2, "--fast": 2,
		"replay": 2, "replay --capture": 2, "replay --capture a b": 2, "replay -h": 0, "check": 2, "check a b": 2,
		"version more": 2, "run --fast": 2, "run more": 2, "run -h": 0, "check --help": 0, "version -h": 0,
		"drill start --file x --addr a:1 more": 2, "drill start --file x": 2, "-h": 0, "drill -h": 0, "drill start -h": 0,
	} {
		c := programCommand(t, "", strings.Fields(args)...)
		c.Env = append(c.Env, "ROUTER_LISTEN=")
		code, said, warned := runToEnd(t, c)
		if want == 0 {
			warned = said
		}
		if code != want || !strings.Contains(warned, "Usage: hookwalk") {
			t.Errorf("%s: exit %d, said %q, want exit %d and the usage", args, code, warned, want)
		}
	}
}

func TestCheckAndVersion(t *testing.T) {
	good := writeFile(t, "good.hcl", "figures { flush_ms = 100 }")
	if code, said, warned := runToEnd(t, programCommand(t, "", "check", good)); code != 0 || said != "ok\n" || warned != "" {
		t.Errorf("a good file: exit %d, %q, %q", code, said, warned)
	}
	bad := writeFile(t, "bad.hcl", "\nfigures { flush_ms = 1 }")
	wantOneLineError(t, programCommand(t, "", "check", bad), bad+":2: flush_ms must be from 10")
	if code, said, _ := runToEnd(t, programCommand(t, "", "version")); code != 0 || !regexp.MustCompile(`^hookwalk, revision .*, go1\.`).MatchString(said) {
		t.Errorf("version: exit %d, %q", code, said)
	}
}

func TestLabRun(t *testing.T) {
	good := writeFile(t, "a.hcl", `scenario "a" { length_s = 2 }
tier "t" { kind "k" { count = 4 } }
class "c" { effect = "safe" work_ms = 5 }`)
	code, said, _ := runToEnd(t, programCommand(t, "", "lab", "run", good))
	if code != 0 || !strings.Contains(said, "\nrules broken   0\n") {
		t.Errorf("exit %d, %q", code, said)
	}
	if _, again, _ := runToEnd(t, programCommand(t, "", "lab", "run", good)); again != said {
		t.Errorf("the same seed: %q, then %q", said, again)
	}
	if _, other, _ := runToEnd(t, programCommand(t, "", "lab", "run", good, "--seed", "2", "--policy", "random")); other == said || !strings.Contains(other, "seed 2, policy random") {
		t.Errorf("another seed and policy: %q", other)
	}
	bad := writeFile(t, "b.hcl", "scenario \"a\" {}\n\nfire {}")
	wantOneLineError(t, programCommand(t, "", "lab", "run", bad), bad+":3: unknown block fire")
	wantOneLineError(t, programCommand(t, "", "lab", "run", good, "--policy", "guess"), `unknown policy "guess"`)
}

// A sweep, its page, and what another policy changes: status 1 where worth falls by more than it may.
func TestLabSweepReportDiff(t *testing.T) {
	file := writeFile(t, "a.hcl", `scenario "a" { length_s = 3 }
tier "t" { kind "k" { count = 3 cores = 1 slots = 6 queue = 3 } }
class "c" { effect = "safe" work_ms = 15 aim_ms = 100 deadline_ms = 300 }
trouble "overload" { at_s = 0.5 length_s = 2 size = 4 }`)
	dir := t.TempDir()
	lab := func(want int, args ...string) string {
		t.Helper()
		code, said, warned := runToEnd(t, programCommand(t, "", append([]string{"lab"}, args...)...))
		if code != want {
			t.Errorf("%v: exit %d, %s%s", args, code, said, warned)
		}
		return said
	}
	said := lab(0, "sweep", file, "--set", "clients.rate=50,150", "--seeds", "3", "-o", dir+"/a")
	if strings.Count(said, "3 seeds") != 2 || !strings.Contains(said, "clients.rate=150") {
		t.Errorf("a sweep said %s", said)
	}
	lab(0, "sweep", file, "--set", "clients.rate=50,150", "--set", "trouble.overload.size=8", "--seeds", "3", "-o", dir+"/b")
	if page, err := os.ReadFile(strings.TrimSpace(lab(0, "report", dir+"/a"))); err != nil || !strings.Contains(string(page), "<svg") {
		t.Errorf("%d bytes, %v", len(page), err)
	}
	lab(0, "diff", dir+"/a", dir+"/a")
	lab(1, "diff", dir+"/a", dir+"/b") // no experiment in common
	worse := strings.NewReplacer(`"worth":0.`, `"worth":0.0`, `"worth":1`, `"worth":0`)
	text, err := os.ReadFile(dir + "/a/results.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir+"/b/results.jsonl", []byte(worse.Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	if said := lab(1, "diff", dir+"/a", dir+"/b"); strings.Count(said, "! a: ") != 2 {
		t.Errorf("a fall: %s", said)
	}
	lab(0, "diff", dir+"/a", dir+"/b", "--by", "1.5")
	lab(1, "diff", dir+"/a", dir+"/b", "--figure", "luck")
	lab(2, "sweep", file)
	lab(2, "sweep", file, "-o", dir, "--seeds", "0")
	lab(1, "sweep", file, "-o", dir, "--set", "rate")
}

// smallWorld has generous limits of time: what a busy machine delays is no fault of the nodes.
const smallWorld = `scenario "small" { seed = 5 length_s = 3 }
tier "log-front" { work = 0.5 calls = 1 kind "front" { count = 2 cold_s = 1 } }
tier "log-store" { work = 0.5 kind "store" { count = 3 cold_s = 1 } }
class "block-view" { effect = "safe" worth = 5 work_ms = 5 aim_ms = 4000 deadline_ms = 8000 }
class "bin-weighin" { worth = 8 work_ms = 5 aim_ms = 4000 deadline_ms = 8000 }
clients { rate = 40 }
front { nodes = 2 notice_s = 0.3 }
discovery { notice_ms = 200 silent_ms = 300 add_ms = 100 }
rules { slack_ms = 1000 drain_grace_ms = 1000 }
trouble "crash" { at_s = 0.5 length_s = 0.5 tier = "log-front" part = 0.5 }
trouble "cut_off" { at_s = 0.8 length_s = 0.5 part = 0.3 }
trouble "release" { at_s = 1.5 length_s = 1 part = 0.3 }
trouble "kept_resets" { at_s = 1.2 length_s = 0 part = 1 share = 0.5 }
trouble "broken_answers" { at_s = 1 length_s = 1 part = 1 share = 0.1 }
trouble "discovery_moved" { at_s = 1.3 length_s = 0 }
trouble "discovery_down" { at_s = 1.8 length_s = 0.3 }
trouble "node_restart" { at_s = 2 length_s = 0.5 part = 0.5 }
`

// The same world on sockets: real nodes, and every fault on real connections.
func TestLabRunOnSockets(t *testing.T) {
	c := programCommand(t, "", "lab", "run", "--sockets", writeFile(t, "small.hcl", smallWorld))
	c.Env = append(c.Env, "TMPDIR="+t.TempDir())
	code, said, warned := runToEnd(t, c)
	if code != 0 || !strings.Contains(said, "\nrules broken   0\n") || !strings.Contains(said, "scenario small") {
		t.Errorf("exit %d, %s%s", code, said, warned)
	}
}

// The address that lab up prints is served, and no process or file is left after SIGTERM.
func TestLabUp(t *testing.T) {
	dir := t.TempDir()
	c := programCommand(t, "", "lab", "up", writeFile(t, "small.hcl", smallWorld))
	c.Env = append(c.Env, "TMPDIR="+dir)
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	lines := bufio.NewScanner(out)
	url := ""
	for url == "" && lines.Scan() {
		if m := regexp.MustCompile(`^curl .* (http://\S+)/api$`).FindStringSubmatch(lines.Text()); m != nil {
			url = m[1]
		}
	}
	r, err := http.NewRequest(http.MethodGet, url+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Call-Id": "a1", "X-Call-Class": "block-view", "X-Budget": "8000m"} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("answered %s", resp.Status)
	}
	terminate(t, c, lines)
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("it leaves %v, %v", left, err)
	}
	if _, err := http.Get(url + "/ready"); err == nil {
		t.Error("a node still answers")
	}
}

// The drill command, against the program itself: it starts the drill of its file and says why it can't.
func TestDrillCommand(t *testing.T) {
	const drills = `drill "away" { class = "a" secret = "crush-pad-7" share = 100 abort_status = 500 }
drill "locked" { class = "a" }`
	agent, _ := startDiscovery(t)
	file := writeFile(t, "hookwalk.hcl", drills)
	c := programCommand(t, fmt.Sprintf(minimalConfig, agent), "--settings", file)
	lines, url := startServing(t, c)
	addr := strings.TrimPrefix(url, "http://")
	command := func(args ...string) *exec.Cmd {
		c := programCommand(t, "", append([]string{"drill", "start"}, args...)...)
		c.Env = append(c.Env, "ROUTER_LISTEN="+addr)
		return c
	}
	wantOneLineError(t, command("--file", file), "several drills")
	wantOneLineError(t, command("--file", file, "--name", "locked"), "drill locked has no secret")
	wantOneLineError(t, command("--file", file, "--name", "other"), "no drill other")
	wantOneLineError(t, command("--file", writeFile(t, "empty.hcl", "")), "no drill")
	wantOneLineError(t, command("--file", file, "--name", "away", "--addr", "127.0.0.1:1"), "drill away: ")
	wrong := writeFile(t, "wrong.hcl", strings.Replace(drills, "pad-7", "pad-8", 1))
	wantOneLineError(t, command("--file", wrong, "--name", "away"), "403 Forbidden")
	code, said, _ := runToEnd(t, command("--file", file, "--name", "away"))
	if code != 0 || said != "drill=away started\n" {
		t.Errorf("exit %d, said %q", code, said)
	}
	if status := sendRequest(t, url, "id-1"); status != http.StatusInternalServerError {
		t.Errorf("answered %d, want the drill's 500", status)
	}
	for lines.Scan() && !strings.Contains(lines.Text(), "id=id-1") {
	}
	if !strings.Contains(lines.Text(), " drill=away") {
		t.Errorf("said %q", lines.Text())
	}
	terminate(t, c, lines)
}

// ask sends a request of class a and returns the answer's status.
func sendRequest(t *testing.T, url, id string, headers ...string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": "a", "X-Budget": "900m"} {
		r.Header.Set(name, value)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Operators collect metrics from standard error, where log lines are too: each request of some loopback traffic is counted,
// to the last flush, and no line mixes both.
func TestMetricsOnStandardError(t *testing.T) {
	agent, _ := startDiscovery(t)
	c := programCommand(t, fmt.Sprintf(minimalConfig, agent), "--settings", writeFile(t, "hookwalk.hcl", `figures { flush_ms = 60000 }
drill "away" { class = "a" secret = "crush-pad-7" share = 100 abort_status = 503 }`))
	lines, url := startServing(t, c)
	if code, _, said := runToEnd(t, programCommand(t, "", "drill", "start", "--file", writeFile(t, "drill.hcl",
		`drill "away" { class = "a" secret = "crush-pad-7" }`), "--addr", strings.TrimPrefix(url, "http://"))); code != 0 {
		t.Fatalf("the drill did not start: %s", said)
	}
	for i := range 20 {
		if status := sendRequest(t, url, fmt.Sprint(i), "X-Caller", "okanagan-ridge"); status != http.StatusServiceUnavailable {
			t.Errorf("answered %d", status)
		}
	}
	if status := sendRequest(t, url, "x", "X-Call-Class", "new"); status != http.StatusBadRequest {
		t.Errorf("an unknown class was answered %d", status)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	known := regexp.MustCompile(`^(time=\S+ level=\S+ msg=.*|hookwalk\.[a-z_.]+:[0-9.]+\|(c|g|ms)\|#class:\S+,tenant:\S+)$`)
	got := map[string]int{}
	for lines.Scan() {
		got[lines.Text()]++
		if !known.MatchString(lines.Text()) || strings.Contains(lines.Text(), "crush-pad") {
			t.Errorf("said %q", lines.Text())
		}
	}
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	const tags = "|#class:a,tenant:okanagan-ridge"
	for _, want := range []string{"requests:20|c" + tags, "refused:20|c" + tags, "drill.applied:20|c" + tags,
		"requests:1|c|#class:other,tenant:none", "turned_away:1|c|#class:other,tenant:none"} {
		if got["hookwalk."+want] != 1 {
			t.Errorf("no %s in %v", want, got)
		}
	}
	times := 0
	for line, n := range got {
		if strings.HasPrefix(line, "hookwalk.latency:") && strings.HasSuffix(line, "|ms"+tags) {
			times += n
		}
	}
	if times != 20 {
		t.Errorf("%d latencies, want 20: %v", times, got)
	}
}

// After a crash the capture is all that is left to find the cause. A node that gets SIGKILL leaves a capture on standard
// error that replays; SIGUSR1 writes the records in memory once more. The exit code shows differences, and captures that
// can't be replayed.
func TestCaptureAndReplay(t *testing.T) {
	agent, _ := startDiscovery(t)
	dir := t.TempDir()
	c := programCommand(t, fmt.Sprintf(minimalConfig, agent), "--settings", writeFile(t, "hookwalk.hcl", fmt.Sprintf("figures { flush_ms = 10 }\ncapture { folder = %q }", dir)))
	lines, url := startServing(t, c)
	var log strings.Builder
	until := func(enough func(line string) bool) {
		t.Helper()
		for lines.Scan() {
			log.WriteString(lines.Text() + "\n")
			if enough(lines.Text()) {
				return
			}
		}
		t.Fatal("standard error ended")
	}
	for i := range 50 {
		sendRequest(t, url, fmt.Sprint(i), "X-Caller", "okanagan-ridge")
	}
	if err := c.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	heads := 0
	until(func(line string) bool { // the dump begins with the first head
		raw, _ := base64.StdEncoding.DecodeString(strings.TrimPrefix(line, "capture:"))
		if strings.Contains(string(raw), `"kind":"head"`) {
			heads++
		}
		return heads == 1
	})
	sendRequest(t, url, "last")
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
		log.WriteString(lines.Text() + "\n")
	}
	c.Wait()
	replayed := func(name, text string) (code int, said, warned string) {
		return runToEnd(t, programCommand(t, "", "replay", "--capture", writeFile(t, name, text)))
	}
	code, said, warned := replayed("node.log", log.String())
	if code != 0 || !regexp.MustCompile(`^[0-9]{2,} records compared, 0 differences, [0-9]+ skipped\n$`).MatchString(said) {
		t.Errorf("the log: exit %d, %q, %q", code, said, warned)
	}
	file, err := os.ReadFile(filepath.Join(dir, "capture-0001.hwc"))
	if err != nil {
		t.Fatal(err)
	}
	if code, said, warned := replayed("a.hwc", string(file)); code != 0 || warned != "" || !strings.Contains(said, " 0 differences, 0 skipped\n") {
		t.Errorf("the file: exit %d, %q, %q", code, said, warned)
	}
	if code, _, warned := replayed("a.hwc", string(file[:len(file)-1])); code != 0 || !strings.Contains(warned, "truncated record skipped") {
		t.Errorf("a truncated file: exit %d, %q", code, warned)
	}
	other := strings.Replace(string(file), `"version":"5"`, `"version":"0"`, 1)
	if code, _, warned := replayed("a.hwc", other); code != 2 || strings.Count(warned, "\n") != 1 || !strings.Contains(warned, `version "0"`) {
		t.Errorf("another version: exit %d, %q", code, warned)
	}
	changed := strings.Replace(string(file), `"do":"refuse"`, `"do":"reject"`, 1)
	if code, said, _ := replayed("a.hwc", changed); code != 1 || !regexp.MustCompile(`(?m)^[0-9]+ was 503 .*now 503`).MatchString(said) {
		t.Errorf("a changed decision: exit %d, %q", code, said)
	}
	if code, _, warned := replayed("a.log", "no capture\n"); code != 2 || !strings.Contains(warned, "no records") {
		t.Errorf("no capture: exit %d, %q", code, warned)
	}
}

func TestBadConfiguration(t *testing.T) {
	for name, text := range map[string]string{
		"empty":       "",
		"no JSON":     "{",
		"no settings": `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`,
		"no classes":  `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"limits":{"conn-idle-ms":1,"connect-timeout-ms":1}}}`,
		"bad seed":    strings.Replace(fmt.Sprintf(minimalConfig, "127.0.0.1:1"), "8c1f", "xyz", 1),
		"bad listen":  strings.Replace(fmt.Sprintf(minimalConfig, "127.0.0.1:1"), "127.0.0.1:0", "nowhere", 1),
		"bad limits":  strings.Replace(fmt.Sprintf(minimalConfig, "127.0.0.1:1"), `"sockets":1024`, `"sockets":-1`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			wantOneLineError(t, programCommand(t, text), "")
		})
	}
}
