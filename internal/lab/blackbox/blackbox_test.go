package blackbox

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

const ms = time.Millisecond

// Indexes of the classes in testHeader.
const (
	idempotent = iota
	nonIdempotent
)

func testHeader() Header {
	return Header{ObservationLag: 100 * ms,
		Rules:   scenario.Rules{MaxAttempts: 3, DrainGrace: 250 * ms, OverloadMultiple: 3, OverloadWindow: time.Second, Slack: 50 * ms},
		Classes: []scenario.Class{{Name: "block-view", Effect: balancer.Idempotent}, {Name: "bin-weighin", Effect: balancer.NonIdempotent}},
		Kinds:   map[string]scenario.ServerKind{"s1": {Cores: 1, Speed: 1, WarmupStartShare: 0.3, WarmupDuration: 10 * time.Second}},
		Means:   map[string]time.Duration{"s1": 20 * ms}}
}

// initialEvents begin every history of these tests: node n knows two servers.
var initialEvents = []Event{{Kind: NodeStarted, Node: "n"}, {Kind: EndpointNotified, Node: "n", Server: "s1", Ready: true}, {Kind: EndpointNotified, Node: "n", Server: "s2", Ready: true}}

func history(events ...Event) []Event {
	all := append(initialEvents[:len(initialEvents):len(initialEvents)], events...)
	for i := range all {
		if all[i].Node == "" {
			all[i].Node = "n"
		}
	}
	return append(all, Event{At: time.Minute, Kind: HistoryEnded})
}

func requestSent(at time.Duration, class int) Event {
	return Event{At: at, Kind: RequestSent, ID: "1", Class: class, Duration: time.Second}
}
func attemptArrived(at time.Duration, server string) Event {
	return Event{At: at, Kind: AttemptArrived, ID: "1", Server: server}
}
func attemptBroken(at time.Duration, server string) Event {
	return Event{At: at, Kind: AttemptBroken, ID: "1", Server: server}
}
func attemptCanceled(at time.Duration, server string) Event {
	return Event{At: at, Kind: AttemptCanceled, ID: "1", Server: server}
}
func attemptAnswered(at time.Duration, server string, status int) Event {
	return Event{At: at, Kind: AttemptAnswered, ID: "1", Server: server, Status: status, NeverRan: status == 503, Body: body(status)}
}
func answerReceived(at time.Duration, status int) Event {
	return Event{At: at, Kind: AnswerReceived, ID: "1", Status: status, Body: body(status)}
}
func overridden(at time.Duration, ready bool) Event {
	return Event{At: at, Kind: EndpointOverridden, Server: "s1", Ready: ready}
}
func body(status int) string { return map[int]string{200: "picked"}[status] }

// attempts returns n attempts in sequence, each answered with 500, and the answer to the client.
func attempts(n int) (list []Event) {
	list = append(list, requestSent(1000*ms, idempotent))
	for i := range n {
		at := time.Duration(1010+20*i) * ms
		s := []string{"s1", "s2"}[i%2]
		list = append(list, attemptArrived(at, s), attemptAnswered(at+10*ms, s, 500))
	}
	return append(list, answerReceived(1200*ms, 502))
}

// warmupArrivals returns n requests of 20 ms, the mean, to a server that may get 45 of them in the second after its start.
// The first of them, as many as unnotified says, are sent by a node that was not notified of the start.
func warmupArrivals(n, unnotified int) (list []Event) {
	list = append(list, Event{At: 4000 * ms, Kind: NodeStarted, Node: "m"}, Event{At: 4000 * ms, Kind: EndpointNotified, Node: "m", Server: "s1", Ready: true},
		Event{At: 5000 * ms, Kind: ServerStarted, Server: "s1"}, Event{At: 5005 * ms, Kind: EndpointNotified, Server: "s1", Ready: true})
	for i := range n {
		id, at := fmt.Sprint(i), 5010*ms
		for _, e := range []Event{requestSent(at, idempotent), attemptArrived(at, "s1"), attemptAnswered(at, "s1", 200), answerReceived(at, 200)} {
			if e.ID = id; e.Kind == AttemptArrived {
				e.Work = 20 * ms
			}
			if i < unnotified {
				e.Node = "m"
			}
			list = append(list, e)
		}
	}
	return list
}

// A rule that finds no violations, or reports permitted behavior, makes every run of the lab worthless. For each rule, a
// history that breaks it is reported by that rule alone, and a history that just conforms is accepted.
func TestEachRuleRejectsOnlyItsViolation(t *testing.T) {
	for name, tc := range map[string]struct {
		rule                  checker.Rule
		violating, conforming []Event
	}{
		"answered late": {checker.InTime,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(2000*ms, "s1", 200), answerReceived(2051*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(2000*ms, "s1", 200), answerReceived(2050*ms, 200)}},
		"never answered": {checker.InTime, []Event{requestSent(1000*ms, idempotent)}, []Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: ClientLeft, ID: "1"}}},
		"never answered, sent as the node restarts": {checker.InTime,
			[]Event{{At: 500 * ms, Kind: NodeKilled}, {At: 1000 * ms, Kind: NodeStarted}, requestSent(1000*ms, nonIdempotent)},
			[]Event{requestSent(499*ms, nonIdempotent), {At: 500 * ms, Kind: NodeKilled}, {At: 1000 * ms, Kind: NodeStarted}}},
		"answered twice": {checker.OneAnswer,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(1200*ms, "s1", 200), answerReceived(1200*ms, 200), answerReceived(1250*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(1200*ms, "s1", 200), answerReceived(1200*ms, 200)}},
		"sent after the answer": {checker.OneAnswer,
			[]Event{requestSent(1000*ms, idempotent), answerReceived(1100*ms, 503), attemptArrived(1201*ms, "s1"), attemptCanceled(1210*ms, "s1")},
			[]Event{requestSent(1000*ms, idempotent), answerReceived(1100*ms, 503), attemptArrived(1200*ms, "s1"), attemptCanceled(1210*ms, "s1")}},
		"run twice": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), attemptBroken(1110*ms, "s1"), attemptArrived(1120*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)},
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(1110*ms, "s1", 503), attemptArrived(1120*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)}},
		"sent again after a time-out": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), attemptCanceled(1110*ms, "s1"), attemptArrived(1120*ms, "s2"), attemptAnswered(1200*ms, "s2", 503), answerReceived(1200*ms, 502)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptCanceled(1110*ms, "s1"), attemptArrived(1120*ms, "s2"), attemptAnswered(1200*ms, "s2", 503), answerReceived(1200*ms, 503)}},
		"rejected after a run": {checker.SafeRejection,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), attemptBroken(1110*ms, "s1"), answerReceived(1120*ms, 503)},
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(1110*ms, "s1", 503), answerReceived(1120*ms, 429)}},
		"rejected while an attempt is in flight": {checker.SafeRejection,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), answerReceived(1120*ms, 429), attemptCanceled(1130*ms, "s1")},
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1100*ms, "s1"), answerReceived(1120*ms, 502), attemptCanceled(1130*ms, "s1")}},
		"two attempts in flight": {checker.OneAttempt,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptArrived(1200*ms, "s2"), attemptCanceled(1300*ms, "s1"), attemptAnswered(1310*ms, "s2", 200), answerReceived(1310*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptArrived(1200*ms, "s2"), attemptCanceled(1299*ms, "s1"), attemptAnswered(1310*ms, "s2", 200), answerReceived(1310*ms, 200)}},
		"four attempts": {checker.AttemptLimit, attempts(4), attempts(3)},
		"sent after a drain": {checker.DrainGrace,
			[]Event{{At: 2000 * ms, Kind: EndpointNotified, Server: "s1"}, requestSent(2200*ms, idempotent), attemptArrived(2301*ms, "s1"), attemptAnswered(2310*ms, "s1", 200), answerReceived(2310*ms, 200)},
			[]Event{{At: 2000 * ms, Kind: EndpointNotified, Server: "s1"}, requestSent(2200*ms, idempotent), attemptArrived(2300*ms, "s1"), attemptAnswered(2310*ms, "s1", 200), answerReceived(2310*ms, 200)}},
		"sent after a confirmed override": {checker.AdminOverride,
			[]Event{overridden(1000*ms, false), {At: 1900 * ms, Kind: EndpointNotified, Server: "s1", Ready: true}, requestSent(2000*ms, idempotent), attemptArrived(2100*ms, "s1"), attemptAnswered(2110*ms, "s1", 200), answerReceived(2110*ms, 200)},
			[]Event{overridden(1000*ms, false), overridden(1100*ms, false), overridden(1900*ms, true), requestSent(2000*ms, idempotent), attemptArrived(2100*ms, "s1"), attemptAnswered(2110*ms, "s1", 200), answerReceived(2110*ms, 200)}},
		"sent after an override and an upgrade": {checker.AdminOverride,
			[]Event{overridden(1000*ms, false), {At: 1100 * ms, Kind: SuccessorReady}, {At: 1200 * ms, Kind: NodeExited}, requestSent(2000*ms, idempotent), attemptArrived(2100*ms, "s1"), attemptAnswered(2110*ms, "s1", 200), answerReceived(2110*ms, 200)},
			[]Event{overridden(1000*ms, false), {At: 1100 * ms, Kind: SuccessorReady}, {At: 1200 * ms, Kind: NodeExited}, requestSent(2000*ms, idempotent), attemptArrived(2100*ms, "s2"), attemptAnswered(2110*ms, "s2", 200), answerReceived(2110*ms, 200)}},
		"lost in an upgrade": {checker.InTime,
			[]Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: SuccessorReady}, {At: 1200 * ms, Kind: NodeExited}},
			[]Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: SuccessorReady}, {At: 1200 * ms, Kind: NodeExited}, answerReceived(1300*ms, 503)}},
		"overloaded while warming up":  {checker.WarmupOverload, warmupArrivals(69, 0), warmupArrivals(68, 0)}, // 45 + 3 x root of 45 + 3
		"overloaded by notified nodes": {checker.WarmupOverload, warmupArrivals(69, 22), warmupArrivals(69, 23)},
		"lost on SIGTERM": {checker.NothingLost,
			[]Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: NodeTerminating}, {At: 1200 * ms, Kind: NodeExited}},
			[]Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: NodeTerminating}, answerReceived(1150*ms, 502), {At: 1200 * ms, Kind: NodeExited}}},
		"connection cut": {checker.NothingLost,
			[]Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: ConnectionCut, ID: "1"}},
			[]Event{requestSent(1000*ms, idempotent), {At: 1100 * ms, Kind: NodeKilled}}},
		"served without an attempt": {checker.GenuineAnswer, []Event{requestSent(1000*ms, idempotent), answerReceived(1100*ms, 200)}, []Event{requestSent(1000*ms, idempotent), answerReceived(1100*ms, 503)}},
		"served with an answer that no server gave": {checker.GenuineAnswer,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(1110*ms, "s1", 500), answerReceived(1120*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s1"), attemptAnswered(1110*ms, "s1", 200), answerReceived(1120*ms, 200)}},
		"unknown server": {checker.KnownServer,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s9"), attemptAnswered(1110*ms, "s9", 200), answerReceived(1120*ms, 200)},
			[]Event{{At: 900 * ms, Kind: EndpointNotified, Server: "s9", Ready: true}, requestSent(1000*ms, idempotent), attemptArrived(1100*ms, "s9"), attemptAnswered(1110*ms, "s9", 200), answerReceived(1120*ms, 200)}},
	} {
		t.Run(name, func(t *testing.T) {
			found := Check(testHeader(), history(tc.violating...))
			for _, v := range found {
				if v.Rule != tc.rule {
					t.Errorf("another rule reports %v", v)
				}
			}
			if len(found) == 0 {
				t.Errorf("no violation of %q reported", tc.rule)
			}
			for _, v := range Check(testHeader(), history(tc.conforming...)) {
				t.Errorf("conforming history: %v", v)
			}
		})
	}
}

// Histories of real nodes on loopback, recorded by TestRealNodesBlackBox in cmd/hookwalk, conform to the rules. With
// every success turned into a rejection they break them.
func TestRecordedHistories(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d recorded histories: %v", len(files), err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		h, events, err := Read(bytes.NewReader(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for _, v := range Check(h, events) {
			t.Errorf("%s: %v", name, v)
		}
		for i, e := range events {
			if e.Kind == AnswerReceived && e.Status == 200 {
				events[i].Status = 503
			}
		}
		rejected := false
		for _, v := range Check(h, events) {
			rejected = rejected || v.Rule == checker.SafeRejection
		}
		if !rejected {
			t.Errorf("%s: no violation of %q reported after every success was turned into a rejection", name, checker.SafeRejection)
		}
	}
}

// The error for a line that cannot be read names the line.
func TestReadErrorNamesTheLine(t *testing.T) {
	for _, text := range []string{"{}\n{", "{}\n{}\nx", `{}` + "\n" + `{"what":"ask","class":7}`} {
		if _, _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzRead checks that Read and Check do not panic, whatever the input.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"classes":[{}],"kinds":{"s":{"Cores":1}}}` + "\n" + `{"what":"start","node":"n"}` + "\n" + `{"what":"boot","server":"s"}` + "\n" +
		`{"what":"ask","node":"n","id":"1"}` + "\n" + `{"what":"reach","node":"n","id":"1","server":"s"}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		if h, events, err := Read(bytes.NewReader(text)); err == nil {
			Check(h, events)
		}
	})
}
