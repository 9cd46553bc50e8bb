package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade-memory"] = upgradeMemory }

// upgradeMemory replaces the node's process under load, as the platform does. The memory of both processes together, which are
// one node to limits, must stay within the limit: over it the platform kills the node.
func upgradeMemory(r *rig) {
	const (
		memoryMB = 64
		sockets  = 1024
		clients  = sockets / 3
		bodySize = 30 << 10
		respSize = 60 << 10
		minWork  = 400 * time.Millisecond
		maxWork  = 1200 * time.Millisecond
		budget   = 6 * time.Second
		warm     = 5 * time.Second
		after    = 6 * time.Second
	)
	r.newConfig(class("bin-weighin", "non_idempotent", 3000, 6000))
	r.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	r.config["control"] = freeAddress()
	for i := range 12 {
		r.startServer(fmt.Sprintf("s-%d", i), func(conn net.Conn, req *http.Request, _ []byte) bool {
			time.Sleep(minWork + rand.N(maxWork-minWork))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", respSize)
			_, err := conn.Write(make([]byte, respSize))
			return err == nil
		})
	}
	r.quiet = true
	r.startNode()
	time.Sleep(time.Second)
	over := make(chan struct{})
	var loaders sync.WaitGroup
	for range clients {
		loaders.Go(func() { r.load(over, bodySize, budget) })
	}
	var peakOne, peakBoth int
	watch := func(until time.Time, old, next *process) {
		for time.Now().Before(until) {
			one, two := old.memory(), 0
			if next != nil {
				two = next.memory()
			}
			if one > 0 && next == nil {
				peakOne = max(peakOne, one)
			}
			if one > 0 && two > 0 && one+two > peakBoth {
				peakBoth = one + two
				r.note("both processes: %d + %d = %d kB", one, two, one+two)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	watch(time.Now().Add(warm), r.node, nil)
	r.note("one process: at most %d kB", peakOne)
	if r.trouble {
		old := r.node
		next := r.startSuccessor()
		go func() {
			r.waitUntilReady(next)
			old.signal(r, sigTERM)
			select {
			case <-old.ended:
			case <-time.After(3700 * time.Millisecond):
				old.signal(r, sigKILL)
			}
		}()
		watch(time.Now().Add(after), old, next)
		r.node = next
		<-old.ended
	} else {
		watch(time.Now().Add(after), r.node, nil)
	}
	close(over)
	loaders.Wait()
	r.note("one process: at most %d kB; both: at most %d kB; limit %d kB", peakOne, peakBoth, memoryMB<<10)
	if peak := max(peakOne, peakBoth); peak > memoryMB<<10 {
		r.breaks("crash: the node takes %d kB, over its limit of %d kB: the platform kills it", peak, memoryMB<<10)
	}
}

// load sends one POST after another until over is closed. It opens a new connection when the node ends one.
func (r *rig) load(over <-chan struct{}, size int, budget time.Duration) {
	var conn net.Conn
	var in *bufio.Reader
	for {
		select {
		case <-over:
			if conn != nil {
				conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", r.listen); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(conn)
		}
		sentAt := time.Now()
		io.WriteString(conn, head("POST", "/api", newID(), "bin-weighin", budget, size))
		conn.Write(make([]byte, size))
		conn.SetReadDeadline(sentAt.Add(budget + time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil || resp.Close {
			conn.Close()
			conn = nil
		}
	}
}

// memory returns the memory of a process in kB: its share of all its resident pages. It is 0 if the process has ended.
func (p *process) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", p.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "Pss:"); found {
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kB
		}
	}
	return 0
}
