package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["long-messages"] = longMessages }

// Figures of the play long-messages.
const (
	leastMemoryMB = 32               // "between 32 and 192 MB of memory"
	longClients   = usualSockets / 3 // "Clients hold no more than a third of the descriptors for requests"
	longBody      = 400000
	longAnswer    = 2 << 20
	longReadFor   = 20 * time.Second
)

// longMessages: as many clients as may be there send long bodies and read long answers slowly. The node must stay within
// its limit on memory.
func longMessages(r *rig) int {
	body, answerBody := longBody, bytes.Repeat([]byte("0123456789abcdef"), longAnswer/16)
	if !r.trouble {
		body, answerBody = 5, []byte("done")
	}
	handle := func(a *arrival) bool {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answerBody))
		_, err := a.conn.Write(answerBody)
		return err == nil
	}
	var entries []object
	for i := range 12 {
		s := r.startServer(fmt.Sprintf("s%02d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(1, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), limits{memoryMB: leastMemoryMB, sockets: usualSockets})
	time.Sleep(500 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range longClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			conn, err := net.Dial("tcp", node.listen)
			must(err)
			defer conn.Close()
			fmt.Fprint(conn, uploadHead(fmt.Sprintf("long-%d", i), body))
			piece, began := strings.Repeat("x", 3200), time.Now()
			for n := 0; n < body; n += len(piece) {
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / uploadRate)))
				fmt.Fprint(conn, piece[:min(len(piece), body-n)])
			}
			buf := make([]byte, 16<<10)
			began = time.Now()
			for read := 0; read < len(answerBody) && time.Since(began) < longReadFor; {
				conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				n, err := conn.Read(buf)
				if err != nil {
					return
				}
				read += n
				time.Sleep(time.Until(began.Add(time.Duration(read) * time.Second / uploadRate)))
			}
		})
	}
	left := make(chan struct{})
	go func() { clients.Wait(); close(left) }()
	peak := 0
	for over := false; !over; {
		select {
		case <-left:
			over = true
		case <-time.After(50 * time.Millisecond):
			peak = max(peak, residentKB(node.cmd.Process.Pid))
		}
	}
	r.logNodeLines(node, "msg=counts")
	r.log("peak resident memory %d kB, the limit is %d kB", peak, leastMemoryMB<<10)
	switch {
	case peak == 0:
		return couldNotRun
	case peak > leastMemoryMB<<10:
		return ruleBroken
	}
	return ruleHeld
}

// residentKB returns the resident memory of a process, or 0.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}
