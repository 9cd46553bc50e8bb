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

	"hookwalk.example/hookwalk/internal/capture"
)

// TestMain runs the test binary as hookwalk, or as a faulty node, if the environment says so.
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

// writeFile writes a text to a new file and returns its path.
func writeFile(t testing.TB, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runToEnd runs a command until it exits, and returns its exit code and output.
func runToEnd(t *testing.T, c *exec.Cmd) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs strings.Builder
	c.Stdout, c.Stderr = &out, &errs
	if err := c.Run(); err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), out.String(), errs.String()
}

// programCommand returns a command that runs hookwalk with a text as its configuration file.
func programCommand(t testing.TB, config string, args ...string) *exec.Cmd {
	t.Helper()
	path := writeFile(t, "config.json", config)
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "HOOKWALK_AS_PROGRAM=1", "ROUTER_CONFIG="+path)
	return c
}

// minimalConfig is the format of a configuration with one class and one server, which does not exist. Its argument is the
// address of discovery.
const minimalConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"in_service"}]},
 "settings":{"limits":{"conn-idle-ms":30000,"connect-timeout-ms":75},
  "lanes":[{"name":"a","target-ms":100,"deadline-ms":200,"worth":1}]}}`

// startDiscovery starts a discovery that serves the endpoint list of minimalConfig. Each watch is signaled on watched.
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

// startServing starts a node and waits until it is ready. lines scans its standard error.
func startServing(t testing.TB, c *exec.Cmd) (lines *bufio.Scanner, url string) {
	t.Helper()
	stderr, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() }) // no effect on a process that has exited
	listen := regexp.MustCompile(`msg=serving .*listen=(\S+)`)
	lines = bufio.NewScanner(stderr)
	for url == "" && lines.Scan() {
		if m := listen.FindStringSubmatch(lines.Text()); m != nil {
			url = "http://" + m[1]
		}
	}
	if url == "" {
		t.Fatalf("the node exited before it served: %v", c.Wait())
	}
	for ready := false; !ready; {
		ready = status(t, url+"/ready") == http.StatusOK
	}
	return lines, url
}

// status returns the status of the response to a GET.
func status(t testing.TB, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// terminate sends SIGTERM and checks that the process exits with 0.
func terminate(t *testing.T, c *exec.Cmd, lines *bufio.Scanner) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Errorf("the process exited with %v, want exit 0", err)
	}
}

func TestServesUntilSIGTERM(t *testing.T) {
	discovery, _ := startDiscovery(t)
	c := programCommand(t, fmt.Sprintf(minimalConfig, discovery))
	lines, _ := startServing(t, c)
	terminate(t, c, lines)
}

// Guards against an unhandled SIGHUP, which once terminated the node. On SIGHUP, the node must reload its configuration file
// and watch the discovery that is named there. If the file is invalid, it must log one line and continue as before.
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
		t.Fatalf("the node exited: %v", c.Wait())
	}
	hangUp("{", `msg="configuration not reloaded"`)
	if len(firstWatched)+len(secondWatched) != 0 {
		t.Error("an invalid file caused a new watch")
	}
	hangUp(fmt.Sprintf(minimalConfig, second), `msg="configuration reloaded"`)
	<-secondWatched
	if got := status(t, url+"/ready"); got != http.StatusOK {
		t.Errorf("after SIGHUP, /ready has status %d", got)
	}
	hangUp(fmt.Sprintf(minimalConfig, first), `msg="configuration reloaded"`)
	<-firstWatched
	terminate(t, c, lines)
}

// wantOneLineError checks that a command exits with 1 and prints one line that contains a text.
func wantOneLineError(t *testing.T, c *exec.Cmd, want string) {
	t.Helper()
	code, _, stderr := runToEnd(t, c)
	if code != 1 || strings.Count(stderr, "\n") != 1 || !strings.HasPrefix(stderr, "hookwalk: ") || !strings.Contains(stderr, want) {
		t.Errorf("exit %d, stderr %q, want exit 1 and one line with %q", code, stderr, want)
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
		code, stdout, usage := runToEnd(t, c)
		if want == 0 {
			usage = stdout
		}
		if code != want || !strings.Contains(usage, "Usage: hookwalk") {
			t.Errorf("%s: exit %d, output %q, want exit %d and the usage", args, code, usage, want)
		}
	}
}

func TestCheckAndVersion(t *testing.T) {
	good := writeFile(t, "good.hcl", "figures { flush_ms = 100 }")
	if code, stdout, stderr := runToEnd(t, programCommand(t, "", "check", good)); code != 0 || stdout != "ok\n" || stderr != "" {
		t.Errorf("a good file: exit %d, %q, %q", code, stdout, stderr)
	}
	bad := writeFile(t, "bad.hcl", "\nfigures { flush_ms = 1 }")
	wantOneLineError(t, programCommand(t, "", "check", bad), bad+":2: flush_ms must be from 10")
	if code, stdout, _ := runToEnd(t, programCommand(t, "", "version")); code != 0 || !regexp.MustCompile(`^hookwalk, revision .*, go1\.`).MatchString(stdout) {
		t.Errorf("version: exit %d, %q", code, stdout)
	}
}

func TestLabRun(t *testing.T) {
	good := writeFile(t, "a.hcl", `scenario "a" { length_s = 2 }
tier "t" { kind "k" { count = 4 } }
class "c" { effect = "safe" work_ms = 5 }`)
	code, stdout, _ := runToEnd(t, programCommand(t, "", "lab", "run", good))
	if code != 0 || !strings.Contains(stdout, "\nrules broken   0\n") {
		t.Errorf("exit %d, %q", code, stdout)
	}
	if _, again, _ := runToEnd(t, programCommand(t, "", "lab", "run", good)); again != stdout {
		t.Errorf("two runs with the same seed differ: %q, then %q", stdout, again)
	}
	if _, other, _ := runToEnd(t, programCommand(t, "", "lab", "run", good, "--seed", "2", "--policy", "random")); other == stdout || !strings.Contains(other, "seed 2, policy random") {
		t.Errorf("another seed and policy: %q", other)
	}
	bad := writeFile(t, "b.hcl", "scenario \"a\" {}\n\nfire {}")
	wantOneLineError(t, programCommand(t, "", "lab", "run", bad), bad+":3: unknown block fire")
	wantOneLineError(t, programCommand(t, "", "lab", "run", good, "--policy", "guess"), `unknown policy "guess"`)
}

// Runs two sweeps, writes the report of the first and compares them: lab diff must exit with 1 if worth decreases by more
// than is tolerated.
func TestLabSweepReportDiff(t *testing.T) {
	file := writeFile(t, "a.hcl", `scenario "a" { length_s = 3 }
tier "t" { kind "k" { count = 3 cores = 1 slots = 6 queue = 3 } }
class "c" { effect = "safe" work_ms = 15 aim_ms = 100 deadline_ms = 300 }
trouble "overload" { at_s = 0.5 length_s = 2 size = 4 }`)
	dir := t.TempDir()
	lab := func(want int, args ...string) string {
		t.Helper()
		code, stdout, stderr := runToEnd(t, programCommand(t, "", append([]string{"lab"}, args...)...))
		if code != want {
			t.Errorf("%v: exit %d, %s%s", args, code, stdout, stderr)
		}
		return stdout
	}
	stdout := lab(0, "sweep", file, "--set", "clients.rate=50,150", "--seeds", "3", "-o", dir+"/a")
	if strings.Count(stdout, "3 seeds") != 2 || !strings.Contains(stdout, "clients.rate=150") {
		t.Errorf("sweep: unexpected output %s", stdout)
	}
	lab(0, "sweep", file, "--set", "clients.rate=50,150", "--set", "trouble.overload.size=8", "--seeds", "3", "-o", dir+"/b")
	if page, err := os.ReadFile(strings.TrimSpace(lab(0, "report", dir+"/a"))); err != nil || !strings.Contains(string(page), "<svg") {
		t.Errorf("report of %d bytes has no plot, %v", len(page), err)
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
	if stdout := lab(1, "diff", dir+"/a", dir+"/b"); strings.Count(stdout, "! a: ") != 2 {
		t.Errorf("diff does not mark both decreases: %s", stdout)
	}
	lab(0, "diff", dir+"/a", dir+"/b", "--by", "1.5")
	lab(1, "diff", dir+"/a", dir+"/b", "--figure", "luck")
	lab(2, "sweep", file)
	lab(2, "sweep", file, "-o", dir, "--seeds", "0")
	lab(1, "sweep", file, "-o", dir, "--set", "rate")
}

// smallWorld is a scenario with generous time limits, so that delays on a busy machine do not count as faults of the nodes.
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

// Runs smallWorld on loopback with real nodes and with every fault on real connections. No rule may be broken.
func TestLabRunOnSockets(t *testing.T) {
	c := programCommand(t, "", "lab", "run", "--sockets", writeFile(t, "small.hcl", smallWorld))
	c.Env = append(c.Env, "TMPDIR="+t.TempDir())
	code, stdout, stderr := runToEnd(t, c)
	if code != 0 || !strings.Contains(stdout, "\nrules broken   0\n") || !strings.Contains(stdout, "scenario small") {
		t.Errorf("exit %d, %s%s", code, stdout, stderr)
	}
}

// lab up must serve requests at the address that it prints, and must leave no process and no file after SIGTERM.
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
		t.Errorf("the request got status %s", resp.Status)
	}
	terminate(t, c, lines)
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("files are left: %v, %v", left, err)
	}
	if _, err := http.Get(url + "/ready"); err == nil {
		t.Error("a node still serves requests")
	}
}

// Runs the drill command against a real node: it must start the drill, or say why it can't.
func TestDrillCommand(t *testing.T) {
	const drills = `drill "away" { class = "a" secret = "crush-pad-7" share = 100 abort_status = 500 }
drill "locked" { class = "a" }`
	discovery, _ := startDiscovery(t)
	file := writeFile(t, "hookwalk.hcl", drills)
	c := programCommand(t, fmt.Sprintf(minimalConfig, discovery), "--settings", file)
	lines, url := startServing(t, c)
	addr := strings.TrimPrefix(url, "http://")
	command := func(args ...string) *exec.Cmd {
		c := programCommand(t, "", append([]string{"drill", "start"}, args...)...)
		c.Env = append(c.Env, "ROUTER_LISTEN="+addr)
		return c
	}
	wantOneLineError(t, command("--file", file), "the file has several drills")
	wantOneLineError(t, command("--file", file, "--name", "locked"), "drill locked has no secret")
	wantOneLineError(t, command("--file", file, "--name", "other"), "no drill is named other")
	wantOneLineError(t, command("--file", writeFile(t, "empty.hcl", "")), "the file has no drill")
	wantOneLineError(t, command("--file", file, "--name", "away", "--addr", "127.0.0.1:1"), "drill away: ")
	wrong := writeFile(t, "wrong.hcl", strings.Replace(drills, "pad-7", "pad-8", 1))
	wantOneLineError(t, command("--file", wrong, "--name", "away"), "403 Forbidden")
	code, stdout, _ := runToEnd(t, command("--file", file, "--name", "away"))
	if code != 0 || stdout != "drill=away started\n" {
		t.Errorf("exit %d, output %q", code, stdout)
	}
	if status := sendRequest(t, url, "id-1"); status != http.StatusInternalServerError {
		t.Errorf("status %d, want 500 from the drill", status)
	}
	for lines.Scan() && !strings.Contains(lines.Text(), "id=id-1") {
	}
	if !strings.Contains(lines.Text(), " drill=away") {
		t.Errorf("the log line does not name the drill: %q", lines.Text())
	}
	terminate(t, c, lines)
}

// sendRequest sends a request of class a and returns the status of the response.
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

// Operators collect metrics from standard error, which also has the log. Every request must be counted, including those of
// the last flush, and no line may mix metrics and log.
func TestMetricsOnStandardError(t *testing.T) {
	discovery, _ := startDiscovery(t)
	c := programCommand(t, fmt.Sprintf(minimalConfig, discovery), "--settings", writeFile(t, "hookwalk.hcl", `figures { flush_ms = 60000 }
drill "away" { class = "a" secret = "crush-pad-7" share = 100 abort_status = 503 }`))
	lines, url := startServing(t, c)
	if code, _, stderr := runToEnd(t, programCommand(t, "", "drill", "start", "--file", writeFile(t, "drill.hcl",
		`drill "away" { class = "a" secret = "crush-pad-7" }`), "--addr", strings.TrimPrefix(url, "http://"))); code != 0 {
		t.Fatalf("the drill did not start: %s", stderr)
	}
	for i := range 20 {
		if status := sendRequest(t, url, fmt.Sprint(i), "X-Caller", "okanagan-ridge"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503 from the drill", status)
		}
	}
	if status := sendRequest(t, url, "x", "X-Call-Class", "new"); status != http.StatusBadRequest {
		t.Errorf("a request of an unknown class got status %d", status)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	known := regexp.MustCompile(`^(time=\S+ level=\S+ msg=.*|hookwalk\.[a-z_.]+:[0-9.]+\|(c|g|ms)\|#class:\S+,tenant:\S+)$`)
	got := map[string]int{}
	for lines.Scan() {
		got[lines.Text()]++
		if !known.MatchString(lines.Text()) || strings.Contains(lines.Text(), "crush-pad") {
			t.Errorf("unexpected line %q", lines.Text())
		}
	}
	if err := c.Wait(); err != nil {
		t.Errorf("the node exited with %v", err)
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
		t.Errorf("%d latency values, want 20: %v", times, got)
	}
}

// After a crash, only the capture can show the cause. A node that gets SIGKILL must leave a capture on standard error that can
// be replayed. SIGUSR1 must write the records in memory again. The exit code of replay must show differences, and captures
// that can't be replayed.
func TestCaptureAndReplay(t *testing.T) {
	discovery, _ := startDiscovery(t)
	dir := t.TempDir()
	c := programCommand(t, fmt.Sprintf(minimalConfig, discovery), "--settings", writeFile(t, "hookwalk.hcl", fmt.Sprintf("figures { flush_ms = 10 }\ncapture { folder = %q }", dir)))
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
	until(func(line string) bool { // the dump begins with the first head record
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
	replay := func(name, text string) (code int, stdout, stderr string) {
		return runToEnd(t, programCommand(t, "", "replay", "--capture", writeFile(t, name, text)))
	}
	code, stdout, stderr := replay("node.log", log.String())
	if code != 0 || !regexp.MustCompile(`^[0-9]{2,} records compared, 0 differences, [0-9]+ skipped\n$`).MatchString(stdout) {
		t.Errorf("replay of the log: exit %d, %q, %q", code, stdout, stderr)
	}
	file, err := os.ReadFile(filepath.Join(dir, "capture-0001.hwc"))
	if err != nil {
		t.Fatal(err)
	}
	if code, stdout, stderr := replay("a.hwc", string(file)); code != 0 || stderr != "" || !strings.Contains(stdout, " 0 differences, 0 skipped\n") {
		t.Errorf("replay of the file: exit %d, %q, %q", code, stdout, stderr)
	}
	if code, _, stderr := replay("a.hwc", string(file[:len(file)-1])); code != 0 || !strings.Contains(stderr, "truncated record skipped") {
		t.Errorf("replay of a truncated file: exit %d, %q", code, stderr)
	}
	other := strings.Replace(string(file), `"version":"`+capture.Version+`"`, `"version":"0"`, 1)
	if code, _, stderr := replay("a.hwc", other); code != 2 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, `version "0"`) {
		t.Errorf("replay of another version: exit %d, %q", code, stderr)
	}
	changed := strings.Replace(string(file), `"do":"refuse"`, `"do":"reject"`, 1)
	if code, stdout, _ := replay("a.hwc", changed); code != 1 || !regexp.MustCompile(`(?m)^[0-9]+ was 503 .*now 503`).MatchString(stdout) {
		t.Errorf("replay of a changed decision: exit %d, %q", code, stdout)
	}
	if code, _, stderr := replay("a.log", "no capture\n"); code != 2 || !strings.Contains(stderr, "no records") {
		t.Errorf("replay without records: exit %d, %q", code, stderr)
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
