package metrics

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/settings"
)

// writes keeps what is written, each Write by itself, and fails while err is set.
type writes struct {
	mu  sync.Mutex
	all []string
	err error
}

func (w *writes) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	w.all = append(w.all, string(b))
	return len(b), nil
}

// take returns the lines written since the last time.
func (w *writes) take() (lines []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range strings.Lines(strings.Join(w.all, "")) {
		lines = append(lines, strings.TrimSuffix(line, "\n"))
	}
	w.all = nil
	return lines
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func reporter(change func(*settings.Metrics)) (*Reporter, *writes) {
	set := settings.Metrics{Format: "statsd", Flush: time.Hour, MaxBatch: 1400}
	if change != nil {
		change(&set)
	}
	out := &writes{}
	return New(set, []string{"brix-update", "bin-weighin"}, []string{"okanagan-ridge"}, out, quiet()), out
}

func TestStatsdLines(t *testing.T) {
	r, out := reporter(nil)
	tags := r.Tags("brix-update", "okanagan-ridge")
	r.Count(tags, Requests)
	r.write()
	if got := out.take(); !slices.Equal(got, []string{"hookwalk.requests:1|c|#class:brix-update,tenant:okanagan-ridge"}) {
		t.Errorf("got %q", got)
	}
	for range 3 {
		r.Count(tags, Requests)
		r.Count(tags, FaultInjected)
	}
	r.Add(tags, OpenConnections, 2)
	r.Latency(tags, 12345*time.Microsecond)
	r.write()
	const suffix = "|#class:brix-update,tenant:okanagan-ridge"
	want := []string{"hookwalk.requests:3|c" + suffix, "hookwalk.drill.applied:3|c" + suffix,
		"hookwalk.open_connections:2|g" + suffix, "hookwalk.latency:12.345|ms" + suffix}
	if got := out.take(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	r.Add(tags, OpenConnections, -2)
	r.write()
	r.write() // a gauge that fell to zero says so once
	if got := out.take(); !slices.Equal(got, []string{"hookwalk.open_connections:0|g" + suffix}) {
		t.Errorf("got %q", got)
	}
}

func TestInfluxLines(t *testing.T) {
	r, out := reporter(func(s *settings.Metrics) { s.Format = "influx" })
	tags := r.Tags("brix-update", "okanagan-ridge")
	r.Count(tags, Requests)
	r.Add(tags, OpenConnections, 2)
	r.Latency(tags, 1500*time.Microsecond)
	r.Latency(tags, 1500*time.Microsecond)
	r.write()
	got := out.take()
	const tagged = `,class=brix-update,tenant=okanagan-ridge value=`
	for i, want := range []string{`requests` + tagged + `1i`, `open_connections` + tagged + `2i`, `latency` + tagged + `1\.5`, `latency` + tagged + `1\.5`} {
		if len(got) != 4 || !regexp.MustCompile(`^hookwalk\.`+want+` [0-9]{19}$`).MatchString(got[i]) {
			t.Fatalf("got %q, want %s", got, want)
		}
	}
	if got[2] == got[3] {
		t.Errorf("two points with one time are one to InfluxDB: %q", got[2])
	}
}

func TestTagsAreEscaped(t *testing.T) {
	for tag, want := range map[string][2]string{
		"a b":       {"a b", `a\ b`},
		"a,b=c|d":   {"a%2Cb=c%7Cd", `a\,b\=c|d`},
		"a:b#c@d":   {"a%3Ab%23c%40d", "a:b#c@d"},
		"a\nb\r":    {"a%0Ab%0D", "a%0Ab%0D"},
		`a\`:        {"a%5C", "a%5C"},
		"100%":      {"100%25", "100%25"},
		"\xff\x7f":  {"%FF%7F", "%FF%7F"},
		"Côte 村":    {"Côte 村", `Côte\ 村`},
		"\u0085end": {"%C2%85end", "%C2%85end"},
	} {
		if got, want := (statsd{}).tags("c", tag), "|#class:c,tenant:"+want[0]; got != want {
			t.Errorf("statsd: %q became %q, want %q", tag, got, want)
		}
		if got, want := (influx{}).tags("c", tag), ",class=c,tenant="+want[1]; got != want {
			t.Errorf("influx: %q became %q, want %q", tag, got, want)
		}
	}
}

// Callers can invent tenants and classes: only so many are kept apart, but always those of the settings.
func TestInventedTagsAreCapped(t *testing.T) {
	r, out := reporter(nil)
	for i := range 1000 {
		r.Count(r.Tags("bin-weighin", fmt.Sprint("t", i)), Requests)
		r.Count(r.Tags(fmt.Sprint("c", i), strings.Repeat("x", 1+i)), Requests)
	}
	r.Count(r.Tags("brix-update", "okanagan-ridge"), Requests)
	r.Count(r.Tags("", ""), Requests)
	r.write()
	got := out.take()
	if len(r.series) > (maxInvented+3)*4 || len(got) > len(r.series) {
		t.Errorf("%d pairs of tags, %d lines", len(r.series), len(got))
	}
	sum := 0
	for _, line := range got {
		n, err := strconv.Atoi(strings.TrimPrefix(strings.Split(line, "|")[0], "hookwalk.requests:"))
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	if sum != 2002 {
		t.Errorf("%d requests in all, want 2002", sum)
	}
	for _, want := range []string{"1|c|#class:brix-update,tenant:okanagan-ridge", "1|c|#class:none,tenant:none"} {
		if !slices.Contains(got, "hookwalk.requests:"+want) {
			t.Errorf("no %s in %q", want, got)
		}
	}
	if !strings.Contains(strings.Join(got, "\n"), "|c|#class:bin-weighin,tenant:other") {
		t.Errorf("no tenant other in %q", got)
	}
}

// datagrams is a UDP peer that hands on what it gets.
func datagrams(t *testing.T) (addr string, got <-chan string) {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ch := make(chan string, 1000)
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			ch <- string(buf[:n])
		}
	}()
	return c.LocalAddr().String(), ch
}

func TestDatagramsHoldWholeLines(t *testing.T) {
	addr, got := datagrams(t)
	r, _ := reporter(func(s *settings.Metrics) { s.UDP, s.MaxBatch = addr, 200 })
	for i := range 100 {
		r.Latency(r.Tags("bin-weighin", "okanagan-ridge"), time.Duration(i)*time.Millisecond)
	}
	r.write()
	line := regexp.MustCompile(`^hookwalk\.latency:[0-9]+\|ms\|#class:bin-weighin,tenant:okanagan-ridge$`)
	for lines := 0; lines < 100; {
		select {
		case d := <-got:
			if len(d) > 200 {
				t.Errorf("a datagram of %d bytes", len(d))
			}
			for l := range strings.SplitSeq(d, "\n") {
				if lines++; !line.MatchString(l) {
					t.Fatalf("line %q", l)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d lines came", lines)
		}
	}
}

func TestLineOverTheBatchIsDropped(t *testing.T) {
	r, out := reporter(func(s *settings.Metrics) { s.MaxBatch = 62 })
	r.Count(r.Tags("bin-weighin", "okanagan-ridge"), Requests) // 63 bytes with its end
	r.Count(r.Tags("bin-weighin", ""), Requests)
	r.write()
	r.write()
	want := []string{"hookwalk.requests:1|c|#class:bin-weighin,tenant:none", "hookwalk.figures.dropped:1|c|#class:none,tenant:none"}
	if got := out.take(); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// What can't be written is dropped and counted, and the count arrives when something does again.
func TestFailedWritesAreCounted(t *testing.T) {
	r, out := reporter(nil)
	count := func() {
		r.Count(r.Tags("bin-weighin", "okanagan-ridge"), Requests)
		r.write()
	}
	out.err = errors.New("broken")
	count()
	count()
	out.err = nil
	r.write()
	if got := out.take(); !slices.Equal(got, []string{"hookwalk.figures.dropped:2|c|#class:none,tenant:none"}) {
		t.Errorf("got %q", got)
	}
	r.write()
	if got := out.take(); got != nil {
		t.Errorf("told again: %q", got)
	}
}

func TestFailedSendsAreCounted(t *testing.T) {
	gone, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	r, _ := reporter(func(s *settings.Metrics) { s.UDP = gone.LocalAddr().String() })
	for range 1000 { // nobody listens: the machine says so by the next send
		r.Count(0, Requests)
		if r.write(); r.dropped > 0 {
			return
		}
	}
	t.Error("no failed send was counted")
}

func TestFile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	path := filepath.Join(dir, "figures")
	r, _ := reporter(func(s *settings.Metrics) { s.File = path })
	r.Count(0, Requests)
	r.write()
	if r.dropped != 1 {
		t.Errorf("without a folder %d were dropped, want 1", r.dropped)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	r.Count(0, Requests)
	r.write()
	if err := os.Rename(path, path+".1"); err != nil {
		t.Fatal(err)
	}
	r.Count(0, Served)
	r.write()
	for name, want := range map[string]string{
		path + ".1": "hookwalk.figures.dropped:1|c|#class:none,tenant:none\nhookwalk.requests:1|c|#class:none,tenant:none\n",
		path:        "hookwalk.served:1|c|#class:none,tenant:none\n",
	} {
		if got, err := os.ReadFile(name); err != nil || string(got) != want {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}

func TestFullDisk(t *testing.T) {
	r, _ := reporter(func(s *settings.Metrics) { s.File = "/dev/full" })
	r.Count(0, Requests)
	r.write()
	if r.dropped != 1 {
		t.Errorf("%d were dropped, want 1", r.dropped)
	}
}

func TestTornLineIsClosed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	o := &fileOut{path: path}
	if err := o.write([]byte("a\nb\n")); err != nil {
		t.Fatal(err)
	}
	if !o.cut(2) { // as if only a half of the second batch had been taken
		t.Error("could not be cut")
	}
	o.torn = true
	if err := o.write([]byte("c\n")); err != nil {
		t.Fatal(err)
	}
	o.close()
	if got, err := os.ReadFile(path); err != nil || string(got) != "a\n\nc\n" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestFullBufferIsCounted(t *testing.T) {
	r, out := reporter(func(s *settings.Metrics) { s.MaxBatch = 65507 })
	for range maxTimers + 10 {
		r.Latency(0, time.Millisecond)
	}
	select {
	case <-r.early:
	default:
		t.Error("a buffer that fills does not ask for a flush")
	}
	r.write()
	got := out.take()
	if len(got) != maxTimers+1 || got[0] != "hookwalk.figures.dropped:10|c|#class:none,tenant:none" {
		t.Errorf("%d lines, the first %q", len(got), got[0])
	}
	if held := 2*maxTimers*16 + cap(r.batch) + cap(r.line); held >= 256<<10 {
		t.Errorf("%d bytes are held", held)
	}
}

// A destination that takes nothing holds up neither those who count nor the end.
func TestStuckDestination(t *testing.T) {
	in, stuck, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	r, _ := reporter(func(s *settings.Metrics) { s.Flush = time.Millisecond })
	r.outs = []out{lineOut{stuck}}
	stop := make(chan struct{})
	go r.Run(stop)
	for range 100_000 { // far more than the pipe holds
		r.Latency(r.Tags("bin-weighin", "t"), time.Millisecond)
	}
	close(stop)
	r.Wait()
	go func() {
		<-r.ended
		stuck.Close()
	}()
	if got, err := io.ReadAll(in); err != nil || !strings.Contains(string(got), "hookwalk.figures.dropped:") {
		t.Errorf("%d bytes tell of nothing dropped, %v", len(got), err)
	}
}

func TestEveryLineIsOneWrite(t *testing.T) {
	r, out := reporter(nil)
	for i := range 100 {
		r.Latency(r.Tags("bin-weighin", ""), time.Duration(i))
		r.Count(r.Tags("bin-weighin", fmt.Sprint(i)), Requests)
	}
	r.write()
	for _, w := range out.all {
		if strings.Count(w, "\n") != 1 || !strings.HasSuffix(w, "\n") {
			t.Errorf("a Write of %q", w)
		}
	}
}

func TestRunFlushesByTimeAndAtTheEnd(t *testing.T) {
	r, out := reporter(func(s *settings.Metrics) { s.Flush = time.Millisecond })
	stop := make(chan struct{})
	go r.Run(stop)
	r.Count(0, Requests)
	for end := time.Now().Add(20 * time.Second); len(out.take()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never flushed")
		}
	}
	close(stop)
	<-r.ended

	r, out = reporter(nil)
	stop = make(chan struct{})
	go r.Run(stop)
	r.Count(0, Served)
	close(stop)
	r.Wait()
	if got := out.take(); len(got) != 1 {
		t.Errorf("at the end: %q", got)
	}
}

func TestNilTakesNothing(t *testing.T) {
	var r *Reporter
	r.Count(r.Tags("a", "b"), Requests)
	r.Add(0, OpenRequests, 1)
	r.Latency(0, 1)
}

func BenchmarkRequest(b *testing.B) {
	r := New(settings.Metrics{Format: "statsd", Flush: time.Second, MaxBatch: 1400}, []string{"c"}, []string{"t"}, &bytes.Buffer{}, quiet())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tags := r.Tags("c", "t")
		r.Count(tags, Requests)
		r.Add(tags, OpenRequests, 1)
		r.Add(tags, OpenRequests, -1)
		r.Count(tags, Served)
		r.Latency(tags, time.Millisecond)
		if i%1000 == 0 {
			r.write()
		}
	}
}
