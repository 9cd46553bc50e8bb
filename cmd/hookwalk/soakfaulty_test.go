package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/soak"
)

// Faults of the stand-in for a node in TestSoakDetectsFaultyNodes. Until SIGTERM, the stand-in rejects every request, except
// with answersOtherRequest.
const (
	answersOtherRequest = "other" // until SIGTERM it returns a server's response to another request; then as closesAfterSIGTERM

	closesAfterSIGTERM = "close" // after SIGTERM it reads each request and closes its connection, and exits a second later
	hangsAfterSIGTERM  = "hang"  // after SIGTERM it answers no request, and runs until it is killed
)

// faultyNodeEnv is the environment variable that selects the fault.
const faultyNodeEnv = "HOOKWALK_AS_FAULTY_NODE"

// runFaultyNode is the main function of the stand-in.
func runFaultyNode(fault string) {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var config struct{ Listen string }
	if err := json.Unmarshal(text, &config); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		panic(err)
	}
	var terminated atomic.Bool
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/ready":
		case fault == answersOtherRequest && !terminated.Load():
			fmt.Fprint(w, "ok r-0")
		case !terminated.Load():
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case fault == hangsAfterSIGTERM:
			select {}
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGTERM {
			continue
		}
		terminated.Store(true)
		if fault != hangsAfterSIGTERM {
			<-time.After(time.Second) // requests arrive in this time
			return
		}
	}
}

// Guards against a soak that tolerates too much and passes whatever its nodes do. It must detect a node that loses requests
// which it read after SIGTERM, one that hangs after SIGTERM and is killed with requests outstanding, and one that responds to
// a client with the response to another request.
func TestSoakDetectsFaultyNodes(t *testing.T) {
	const seed, nodes, length = 1, 4, 16 * time.Second // its plan has three restarts
	for fault, violation := range map[string]string{closesAfterSIGTERM: "has no answer", hangsAfterSIGTERM: "has no answer", answersOtherRequest: "no server wrote for it"} {
		t.Run(fault, func(t *testing.T) {
			result, err := soak.Run(t.Context(), soak.DrawPlan(seed, nodes, length), func(config string) *exec.Cmd {
				c := exec.Command(os.Args[0])
				c.Env = append(os.Environ(), faultyNodeEnv+"="+fault, "ROUTER_CONFIG="+config)
				return c
			}, "")
			if err != nil {
				t.Fatal(err)
			}
			lost := 0
			for _, found := range result.Violations() {
				if strings.HasPrefix(found, "lost: ") && strings.Contains(found, violation) {
					lost++
				}
			}
			t.Log(result.Totals())
			if lost == 0 {
				t.Error("the soak detected no lost request")
			}
			if killed := result.Totals().Kills; (killed > 0) != (fault == hangsAfterSIGTERM) {
				t.Errorf("%d nodes were killed", killed)
			}
		})
	}
}
