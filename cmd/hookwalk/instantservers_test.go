package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// BenchmarkInstantServers sends requests through a node with one core to servers that respond immediately, so that each
// connection is needed again as soon as it may be reused. It reports the node's CPU time, the number of its connections to
// servers, and the requests that it served per second.
//
//	go test ./cmd/hookwalk -run '^$' -bench InstantServers -benchtime 50000x -count 5
func BenchmarkInstantServers(b *testing.B) {
	const servers, clients = 10, 64
	discovery := httptest.NewServer(http.HandlerFunc(serveUnchangedList))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	var connections atomic.Int64
	var hosts []map[string]any
	for i := range servers {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "first "+r.Header.Get("X-Call-Id"))
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%d", i), "dial": server.Listener.Addr().String(), "health": "in_service"})
	}
	known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		b.Fatal(err)
	}
	node := programCommand(b, fmt.Sprintf(drainConfig, discovery.Listener.Addr().String(), known, "pushed"))
	node.Env = append(node.Env, "GOMAXPROCS=1")
	lines, url := startServing(b, node)
	go func() {
		for lines.Scan() {
		}
	}()
	test := &secondResponseTest{runs: map[string][]string{}}
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var sending sync.WaitGroup
	began := time.Now()
	for number := range clients {
		sending.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := remaining.Add(-1); i >= 0; i = remaining.Add(-1) {
				test.send(client, url, fmt.Sprintf("%d-%d", number, i), false)
			}
		})
	}
	sending.Wait()
	elapsed := time.Since(began)
	if err := node.Process.Signal(syscall.SIGTERM); err != nil {
		b.Fatal(err)
	}
	if err := node.Wait(); err != nil {
		b.Error(err)
	}
	cpu := node.ProcessState.UserTime() + node.ProcessState.SystemTime()
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/request")
	b.ReportMetric(float64(connections.Load()), "connections")
	b.ReportMetric(float64(test.served)/elapsed.Seconds(), "served/s")
	b.ReportMetric(float64(test.served)/float64(b.N), "served-share")
}
