package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["leaving-clients"] = leavingClients }

// Figures of the play leaving-clients.
const (
	leavingRounds  = 20
	leavingClientN = 40
	leavingAnswer  = 8 << 20
	answerAfter    = 110 * time.Millisecond
	leavingSpread  = 20 * time.Microsecond // between two clients of a round; the middle one leaves at answerAfter
	leavingWait    = 15 * time.Second
)

// leavingClients: clients leave in the moment in which a long answer begins. Servers must not be left with connections on
// which the node neither reads nor ends anything.
func leavingClients(r *rig) int {
	var mu sync.Mutex
	writing, ended := 0, 0
	var roundBegan time.Time
	answerBody := bytes.Repeat([]byte("0123456789abcdef"), leavingAnswer/16)
	handle := func(a *arrival) bool {
		mu.Lock()
		began := roundBegan
		writing++
		mu.Unlock()
		time.Sleep(time.Until(began.Add(answerAfter)))
		fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answerBody))
		_, err := a.conn.Write(answerBody)
		mu.Lock()
		defer mu.Unlock()
		writing--
		ended++
		return err == nil
	}
	var entries []object
	for i := range 12 {
		s := r.startServer(fmt.Sprintf("s%02d", i+1), false, handle)
		entries = append(entries, entry(s.name, s.addr, "in_service"))
	}
	d := r.startDiscovery(entries)
	settings := smallSettings(1, []object{lane("block-view", "read_like", 5, nil), lane("bin-weighin", "non_idempotent", 8, nil)}, nil)
	node := r.startNode("n1", d.addr, settings, d.known(), usualLimits)
	time.Sleep(500 * time.Millisecond)
	for round := range leavingRounds {
		var clients sync.WaitGroup
		began := time.Now()
		mu.Lock()
		roundBegan = began
		mu.Unlock()
		for i := range leavingClientN {
			clients.Go(func() {
				conn, err := net.Dial("tcp", node.listen)
				must(err)
				defer conn.Close()
				fmt.Fprint(conn, uploadHead(fmt.Sprintf("leaving-%d-%d", round, i), 5)+"42 kg")
				leaveAt := answerAfter
				if r.trouble {
					leaveAt += time.Duration(i-leavingClientN/4) * leavingSpread
				} else {
					leaveAt /= 2
				}
				time.Sleep(time.Until(began.Add(leaveAt)))
			})
		}
		clients.Wait()
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(leavingWait)
	mu.Lock()
	defer mu.Unlock()
	r.log("%v after the last client has left: %d answers are ended, %d servers still write to a connection that the node neither reads nor ends",
		leavingWait, ended, writing)
	switch {
	case ended == 0:
		return couldNotRun
	case writing > 0:
		return ruleBroken
	}
	return ruleHeld
}
