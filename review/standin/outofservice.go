package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["out-of-service"] = outOfService }

// Figures of the play out-of-service.
const (
	outRounds  = 12
	outClients = 150
	outLoad    = 12 // goroutines that keep the machine busy
	outLimit   = 4 * time.Second
)

// outOfService: an operator takes the node out of service and puts it back, again and again. Clients hold idle connections,
// and send requests in the moments in which the node closes them. After 4 s no connection may be held idle.
func outOfService(r *rig) int {
	handle := func(a *arrival) bool { return a.respond("done") }
	var entries []object
	for i := range 9 {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
	r.control = freeAddress()
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	stop := make(chan struct{})
	if r.trouble {
		for range outLoad {
			go func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
				}
			}()
		}
	}
	defer close(stop)
	held, answered := 0, 0
	var mu sync.Mutex
	for round := range outRounds {
		var conns []net.Conn
		for range outClients {
			conn, err := net.Dial("tcp", node.listen)
			must(err)
			conns = append(conns, conn)
		}
		time.Sleep(300 * time.Millisecond)
		post(r.control, "/control/out-of-service")
		out := time.Now()
		var clients sync.WaitGroup
		for i, conn := range conns {
			clients.Go(func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					if n == 0 { // the moment of the close
						time.Sleep(time.Until(out.Add(1150*time.Millisecond + time.Duration(rand.IntN(200))*time.Millisecond)))
					}
					id := fmt.Sprintf("o-%d-%d-%d", round, i, n)
					if n < 2 {
						fmt.Fprint(conn, uploadHead(id, 5)+"42 kg")
					}
					conn.SetReadDeadline(out.Add(outLimit))
					got, keep := receive(in)
					mu.Lock()
					switch {
					case got.status == http.StatusOK && keep:
						answered++
						mu.Unlock()
						continue
					case got.status != 0:
						answered++
					case errors.Is(got.err, os.ErrDeadlineExceeded):
						held++
						r.log("HELD: connection %d of round %d is open %v after the call, request %d", i, round, outLimit, n)
					}
					mu.Unlock()
					return
				}
			})
		}
		clients.Wait()
		waiting := closeWaits(node.listen)
		post(r.control, "/control/in-service")
		time.Sleep(2 * time.Second)
		again := closeWaits(node.listen)
		r.log("round %d: %d answered, %d held; sockets in CLOSE_WAIT at the node: %d, 2 s later %d", round, answered, held, waiting, again)
	}
	if held > 0 {
		return ruleBroken
	}
	return ruleHeld
}

func post(addr, path string) {
	response, err := http.Post("http://"+addr+path, "", nil)
	must(err)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		must(fmt.Errorf("%s: %s", path, response.Status))
	}
}

// closeWaits returns how many connections of a listener are in CLOSE_WAIT.
func closeWaits(addr string) (n int) {
	_, port, _ := net.SplitHostPort(addr)
	var p int
	fmt.Sscan(port, &p)
	text, err := os.ReadFile("/proc/net/tcp")
	must(err)
	local := fmt.Sprintf(":%04X", p)
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[1], local) && f[3] == "08" {
			n++
		}
	}
	return n
}
