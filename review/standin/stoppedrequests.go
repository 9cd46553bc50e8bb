package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["stopped-requests"] = stoppedRequests }

// Figures of the case stopped-requests.
const (
	fewSockets      = 256 // "between 256 and 1,024 descriptors"
	badPeers        = 200
	badPeersEvery   = 25 * time.Millisecond
	badPeerLimit    = 3 * time.Second // "an error or a close within 3 s"
	soundClients    = 10
	soundBudget     = 3 * time.Second
	soundFor        = 25 * time.Second
	soundInterval   = 300 * time.Millisecond
	badPeersBeginAt = 3 * time.Second
)

// stoppedRequests: peers that ask for /ready with a chunked body of no bytes, then begin a request on the same connection,
// stop in the middle and stay. The requests of all other clients must have their final answers.
func stoppedRequests(r *rig) int {
	handle := func(a *arrival) bool {
		time.Sleep(20 * time.Millisecond)
		return a.respond("done")
	}
	var entries []object
	for i := range 9 {
		s := r.startServer(fmt.Sprintf("s%d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(0, []object{
		lane("block-view", "read_like", 5, nil), lane("brix-update", "read_like", 3, nil), lane("bin-weighin", "non_idempotent", 8, nil),
	}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), limits{memoryMB: 192, sockets: fewSockets})

	var mu sync.Mutex
	var peers, clients sync.WaitGroup
	released, stayed, served, lost := 0, 0, 0, 0
	if r.trouble {
		peers.Go(func() {
			time.Sleep(badPeersBeginAt)
			for i := range badPeers {
				peers.Go(func() {
					ended := r.badPeer(node.listen, i)
					mu.Lock()
					defer mu.Unlock()
					if ended {
						released++
					} else {
						stayed++
					}
				})
				time.Sleep(badPeersEvery)
			}
		})
	}
	end := time.Now().Add(soundFor)
	for i := range soundClients {
		clients.Go(func() {
			var kept session
			defer kept.close()
			for n := 0; time.Now().Before(end); n++ {
				c := &call{id: fmt.Sprintf("c%d-%d", i, n), class: "bin-weighin", method: "POST", budget: soundBudget, body: []byte("42 kg"),
					patience: soundBudget + lostAfter}
				got := kept.do(c, node.listen)
				mu.Lock()
				switch {
				case got.status == 0 && !c.arrived.IsZero():
					lost++
					r.log("LOST: %s: the node's machine has taken it, there is no answer %v after its time (%v)", c.id, lostAfter, got.err)
				case got.status == 0:
					r.log("client: %s: %v: not counted", c.id, got.err)
				default:
					served++
					r.log("client: %s was answered %s", c.id, got.summary())
				}
				mu.Unlock()
				time.Sleep(soundInterval)
			}
		})
	}
	clients.Wait()
	peers.Wait()
	r.logNodeLines(node, "invariant broken", "level=WARN", "level=ERROR")
	r.log("bad peers: %d got an error or a close within %v of their stop, %d did not; sound clients: %d requests answered, %d lost",
		released, badPeerLimit, stayed, served, lost)
	switch {
	case served == 0:
		return couldNotRun
	case lost > 0:
		return ruleBroken
	}
	return ruleHeld
}

// badPeer plays one bad peer, which stays until the end of the play. It reports whether the node ended its stopped request
// with an answer or a close within badPeerLimit.
func (r *rig) badPeer(addr string, i int) (ended bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return true
	}
	time.AfterFunc(time.Until(r.began.Add(soundFor+5*time.Second)), func() { conn.Close() })
	fmt.Fprint(conn, "GET /ready HTTP/1.1\r\nHost: service.internal\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	buf := make([]byte, 4096)
	conn.SetReadDeadline(time.Now().Add(badPeerLimit))
	if _, err := conn.Read(buf); err != nil {
		r.log("bad peer %d: /ready has no answer: %v", i, err)
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	fmt.Fprint(conn, "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id")
	conn.SetReadDeadline(time.Now().Add(badPeerLimit))
	n, err := conn.Read(buf)
	if i < 3 || i%50 == 0 {
		r.log("bad peer %d: %v after it has stopped in the middle of a request: %d bytes, %v", i, badPeerLimit, n, err)
	}
	return n > 0 || !errors.Is(err, os.ErrDeadlineExceeded)
}
