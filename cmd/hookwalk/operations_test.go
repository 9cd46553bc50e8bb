package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Benchmarks for docs/operations.md, with real processes on loopback:
//
//	go test ./cmd/hookwalk -run '^$' -bench Operations -benchtime 1x -count 5

// BenchmarkOperationsUpgrade measures a hot restart under the load of 32 clients.
func BenchmarkOperationsUpgrade(b *testing.B) {
	for b.Loop() {
		s := newNodeEnvironment(b)
		p := s.start(b)
		p.waitReady(b)
		load := s.load(32)
		begin := time.Now()
		successor := s.start(b)
		successor.waitReady(b)
		readyTime := time.Since(begin)
		p.terminate(b)
		close(load.stop)
		load.running.Wait()
		b.ReportMetric(float64(load.failures.Load()), "lost")
		b.ReportMetric(float64(load.unreadRequests.Load()), "unread")
		b.ReportMetric(float64(load.served.Load()), "served")
		b.ReportMetric(float64(readyTime.Milliseconds()), "ms-to-yes")
		successor.terminate(b)
	}
}

// BenchmarkOperationsControl measures calls to the admin API of a node at full load, while other connections to that API send
// only incomplete requests.
func BenchmarkOperationsControl(b *testing.B) {
	for b.Loop() {
		s := newNodeEnvironment(b)
		p := s.start(b)
		p.waitReady(b)
		load := s.load(64)
		var incomplete []net.Conn
		var durations []time.Duration
		for i := range 200 {
			if i%20 == 0 {
				c, err := net.Dial("tcp", p.control)
				if err != nil {
					b.Fatal(err)
				}
				io.WriteString(c, "POST /control/servers/")
				incomplete = append(incomplete, c)
			}
			begin := time.Now()
			if got := p.callAdmin("POST", "/control/servers/s-1/"+[]string{"offline", "online"}[i%2]); got != http.StatusOK {
				b.Errorf("the call got status %d", got)
			}
			durations = append(durations, time.Since(begin))
		}
		for _, c := range incomplete {
			c.Close()
		}
		close(load.stop)
		load.running.Wait()
		worst, sum := time.Duration(0), time.Duration(0)
		for _, d := range durations {
			worst, sum = max(worst, d), sum+d
		}
		b.ReportMetric(float64(worst.Microseconds())/1000, "ms-worst")
		b.ReportMetric(float64(sum.Microseconds())/1000/float64(len(durations)), "ms-mean")
		p.terminate(b)
	}
}

// BenchmarkOperationsSize forwards 24 concurrent requests whose bodies and responses have 32 MB each, 1.5 GB in total.
func BenchmarkOperationsSize(b *testing.B) {
	for b.Loop() {
		peak, wrong := sendLargeBodies(b, 24, 32<<20)
		b.ReportMetric(float64(peak)/1024, "MB-peak")
		b.ReportMetric(float64(wrong), "wrong")
	}
}

// Guards against a node that buffers bodies, which a few concurrent uploads would drive beyond its memory limit. Large
// requests and responses, which together far exceed that limit, must use hardly any memory.
func TestConcurrentLargeBodies(t *testing.T) {
	if peak, wrong := sendLargeBodies(t, 12, 8<<20); wrong > 0 || peak > 64<<10 {
		t.Errorf("%d requests failed; peak memory %d KiB for 192 MiB of bodies", wrong, peak)
	}
}

// sendLargeBodies has n clients each send a body of a size and read a response of the same size. It returns the node's peak
// memory in KiB, and the number of requests that failed.
func sendLargeBodies(t testing.TB, n, size int) (peak int, wrong int64) {
	t.Helper()
	piece := bytes.Repeat([]byte("brix 23.4;"), 3277)
	s := newNodeEnvironmentWith(t, func(w http.ResponseWriter, r *http.Request) {
		got, err := io.Copy(io.Discard, r.Body)
		if err != nil || got != int64(size) {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for left := size; left > 0; left -= len(piece) {
			if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
				return
			}
		}
	})
	p := s.start(t)
	p.waitReady(t)
	var failures atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			r, _ := http.NewRequest("POST", "http://"+s.listen+"/api", io.LimitReader(&repeatingReader{text: piece}, int64(size)))
			r.ContentLength = int64(size) * int64(i%2*2-1) // every second request is chunked
			if r.ContentLength < 0 {
				r.ContentLength = -1
			}
			r.Header = http.Header{"X-Call-Id": {fmt.Sprint("big", i)}, "X-Call-Class": {"a"}, "X-Budget": {"2000m"}}
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
			if err != nil {
				failures.Add(1)
				return
			}
			defer resp.Body.Close()
			if got, err := io.Copy(io.Discard, resp.Body); got != int64(size) || err != nil || resp.StatusCode != http.StatusOK {
				failures.Add(1)
			}
		})
	}
	wg.Wait()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	if _, err := fmt.Sscan(after, &peak); err != nil {
		t.Fatal(err)
	}
	p.terminate(t)
	return peak, failures.Load()
}

// repeatingReader reads a text again and again without end.
type repeatingReader struct {
	text []byte
	at   int
}

func (r *repeatingReader) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
