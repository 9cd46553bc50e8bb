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

// Faults of a stand-in for a node, which TestSoakFindsFaults plays. It answers every request with a rejection, but for
// answersOtherRequest.
const (
	answersOtherRequest = "other" // it answers with what a server would answer to another request, and ends as closesAfterTerm does

	closesAfterSIGTERM = "close" // after SIGTERM it reads a request, closes its connection, and exits
	hangsAfterSIGTERM  = "hang"  // after SIGTERM it answers nothing more, and goes on until it is killed
)

// faultyNodeEnv names the fault.
const faultyNodeEnv = "HOOKWALK_AS_FAULTY_NODE"

// runFaultyNode is the stand-in's main function.
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
			<-time.After(time.Second) // in which requests come
			return
		}
	}
}

// A soak that excuses too much passes whatever its nodes do: one that loses what it has read after SIGTERM, one that does
// not end and is killed on what it has read, and one that gives a caller another one's answer are found.
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
				t.Error("no lost request was found")
			}
			if killed := result.Totals().Kills; (killed > 0) != (fault == hangsAfterSIGTERM) {
				t.Errorf("%d were killed", killed)
			}
		})
	}
}
