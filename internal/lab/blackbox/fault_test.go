package blackbox

import (
	"slices"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/checker"
)

func nodeEvent(t time.Duration, kind EventKind) Event { return Event{At: t, Kind: kind} }
func serverEvent(t time.Duration, kind EventKind) Event {
	return Event{At: t, Kind: kind, Server: "s1"}
}
func notified(t time.Duration, ready bool) Event {
	return Event{At: t, Kind: EndpointNotified, Server: "s1", Ready: ready}
}
func unmuted(t time.Duration, sameConnection bool) Event {
	return Event{At: t, Kind: WatchUnmuted, Ready: sameConnection}
}
func watchMuted(t time.Duration) Event { return Event{At: t, Kind: WatchMuted, Ready: true} }
func watchAbandoned(t, ago time.Duration) Event {
	return Event{At: t, Kind: WatchUnmuted, Duration: ago}
}
func connectionCut(t time.Duration, reused bool) Event {
	return Event{At: t, Kind: ConnectionCut, ID: "1", Ready: reused}
}
func served(t time.Duration) []Event {
	return []Event{attemptAnswered(t, "s1", 200), answerReceived(t, 200)}
}
func concat(parts ...[]Event) []Event { return slices.Concat(parts...) }

// A fault must not hide a broken rule, nor be taken for one: a rule that is broken during a fault is reported all the same,
// and what the fault alone explains is not.
func TestRulesDuringFaults(t *testing.T) {
	forwarded := []Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1")}
	for name, tc := range map[string]struct {
		rule                  checker.Rule
		violating, conforming []Event
	}{
		"late though it ran": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(1300*ms, ProcessResumed)}, served(2200*ms)),
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2190*ms, ProcessResumed)}, served(2200*ms))},
		"never answered after a stop": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2190*ms, ProcessResumed), attemptAnswered(2200*ms, "s1", 200)}),
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2190*ms, ProcessResumed), attemptAnswered(2200*ms, "s1", 200), {At: 2210 * ms, Kind: ClientLeft, ID: "1"}})},
		"stopped for longer than its client listens": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2499*ms, ProcessResumed)}),
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2500*ms, ProcessResumed)})},
		"sent before a stop, not during it": {checker.InTime,
			[]Event{requestSent(1000*ms, idempotent), nodeEvent(1001*ms, ProcessStopped), nodeEvent(1500*ms, ProcessResumed)},
			[]Event{nodeEvent(999*ms, ProcessStopped), requestSent(1000*ms, idempotent), nodeEvent(1500*ms, ProcessResumed)}},
		"an answer to a connection that was reset": {checker.OneAnswer,
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsReset)}, served(1200*ms), []Event{answerReceived(1250*ms, 200)}),
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsReset)}, served(1200*ms))},
		"sent after a drain that it was notified of during a stop": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, ProcessStopped), notified(600*ms, false), nodeEvent(1000*ms, ProcessResumed), requestSent(1200*ms, idempotent), attemptArrived(1301*ms, "s1")}, served(1310*ms)),
			concat([]Event{nodeEvent(500*ms, ProcessStopped), notified(600*ms, false), nodeEvent(1000*ms, ProcessResumed), requestSent(1200*ms, idempotent), attemptArrived(1300*ms, "s1")}, served(1310*ms))},
		"sent after a drain whose notification was held up": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, true), requestSent(1200*ms, idempotent), attemptArrived(1301*ms, "s1")}, served(1310*ms)),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, true), requestSent(1200*ms, idempotent), attemptArrived(1300*ms, "s1")}, served(1310*ms))},
		"sent over 6 s after a watch was muted that it still has": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6801*ms, "s1")}, served(6810*ms), []Event{unmuted(9000*ms, true)}),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6800*ms, "s1")}, served(6810*ms), []Event{unmuted(9000*ms, true)})},
		"sent long after a drain on a watch that it gave up, and did not poll": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(9000*ms, false), requestSent(15200*ms, idempotent), attemptArrived(15301*ms, "s1")}, served(15310*ms)),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(9000*ms, false), requestSent(15200*ms, idempotent), attemptArrived(15300*ms, "s1")}, served(15310*ms))},
		"sent long after a drain on a watch that it gave up in time, with a discovery that answered polls only later": {checker.DrainGrace,
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), watchAbandoned(9000*ms, 6000*ms), requestSent(15200*ms, idempotent), attemptArrived(15301*ms, "s1")}, served(15310*ms)),
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), watchAbandoned(9000*ms, 6000*ms), requestSent(15200*ms, idempotent), attemptArrived(15300*ms, "s1")}, served(15310*ms))},
		"sent after a drain on a watch that it gave up too late, with the same": {checker.DrainGrace,
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6801*ms, "s1")}, served(6810*ms), []Event{watchAbandoned(9000*ms, 2000*ms)}),
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6800*ms, "s1")}, served(6810*ms), []Event{watchAbandoned(9000*ms, 2000*ms)})},
		"sent after the next watch notified it of what the one before had not": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, false), notified(2000*ms, false), requestSent(2200*ms, idempotent), attemptArrived(2301*ms, "s1")}, served(2310*ms)),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, false), notified(2000*ms, false), requestSent(2200*ms, idempotent), attemptArrived(2300*ms, "s1")}, served(2310*ms))},
		"sent again though a dead server may have run it": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ServerDied), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ServerDied), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)}},
		"sent again though a stopped server may run it yet": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ProcessStopped), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ProcessStopped), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200),
				serverEvent(1500*ms, ProcessResumed)}},
		"sent to two, and one is stopped": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), attemptArrived(1010*ms, "s2"), answerReceived(1100*ms, 502), attemptAnswered(1105*ms, "s2", 500), serverEvent(1150*ms, ProcessResumed), attemptArrived(1160*ms, "s1")},
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), attemptArrived(1010*ms, "s2"), attemptAnswered(1050*ms, "s2", 503), serverEvent(1100*ms, ProcessResumed), attemptArrived(1110*ms, "s1"), answerReceived(1150*ms, 502)}},
		"rejected after a server that was stopped had it": {checker.SafeRejection,
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), serverEvent(1100*ms, ProcessResumed), attemptArrived(1110*ms, "s1"), attemptAnswered(1120*ms, "s1", 500), answerReceived(1150*ms, 503)},
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), serverEvent(1100*ms, ProcessResumed), attemptArrived(1110*ms, "s1"), attemptAnswered(1120*ms, "s1", 503), answerReceived(1150*ms, 503)}},
		"sent after the answer, and nothing was held up by then": {checker.OneAnswer,
			[]Event{requestSent(1000*ms, idempotent), serverEvent(1010*ms, LinkHeld), answerReceived(1100*ms, 503), serverEvent(1200*ms, LinkReleased), attemptArrived(1501*ms, "s1"), attemptCanceled(1510*ms, "s1")},
			[]Event{requestSent(1000*ms, idempotent), serverEvent(1010*ms, LinkHeld), answerReceived(1100*ms, 503), serverEvent(1200*ms, LinkReleased), attemptArrived(1499*ms, "s1"), attemptCanceled(1500*ms, "s1")}},
		"four attempts, one of them held up": {checker.AttemptLimit,
			concat(attempts(3)[:7], []Event{serverEvent(1100*ms, LinkHeld), attemptArrived(1110*ms, "s1"), answerReceived(1200*ms, 502)}),
			concat(attempts(2)[:5], []Event{serverEvent(1100*ms, LinkHeld), attemptArrived(1110*ms, "s1"), answerReceived(1200*ms, 502)})},
		"held up on the way to the client, and late by more": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsMuted), nodeEvent(2000*ms, ClientsUnmuted)}, served(3151*ms)),
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsMuted), nodeEvent(2000*ms, ClientsUnmuted)}, served(3150*ms))},
		"cut after a server had it": {checker.NothingLost,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1"), connectionCut(1100*ms, true), attemptCanceled(1110*ms, "s1")},
			[]Event{requestSent(1000*ms, idempotent), connectionCut(1100*ms, true)}},
		"cut on a fresh connection": {checker.NothingLost,
			[]Event{requestSent(1000*ms, idempotent), connectionCut(1100*ms, false)},
			[]Event{requestSent(1000*ms, idempotent), nodeEvent(1099*ms, ClientsReset), connectionCut(1100*ms, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			h := testHeader()
			h.Classes[idempotent].Deadline, h.Classes[nonIdempotent].Deadline = time.Second, time.Second
			found := Check(h, history(tc.violating...))
			for _, v := range found {
				if v.Rule != tc.rule {
					t.Errorf("also rejected by %v", v)
				}
			}
			if len(found) == 0 {
				t.Error("not rejected")
			}
			for _, v := range Check(h, history(tc.conforming...)) {
				t.Errorf("what the fault explains: %v", v)
			}
		})
	}
}

// Histories of several processes become one, by time. A killed process leaves half a line behind, which must not cost the
// rest of its history.
func TestMerge(t *testing.T) {
	events, err := Merge(strings.NewReader(`{"at":5,"what":"start"}`+"\n"+`{"at":9,"what":"kill"}`+"\n"),
		strings.NewReader(`{"at":5,"what":"told"}`+"\n"+`{"at":7,"what":"ask"}`+"\n"+`{"at":8,"wha`))
	if err != nil {
		t.Fatal(err)
	}
	var order []string
	for _, e := range events {
		order = append(order, string(e.Kind))
	}
	if got := strings.Join(order, " "); got != "start told ask kill" {
		t.Errorf("merged: %s", got)
	}
	if _, err := Merge(strings.NewReader("{}\nx\n{}\n")); err == nil || !strings.Contains(err.Error(), "history 0, line 2") {
		t.Errorf("a broken line within: %v", err)
	}
}
