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

// A fault must neither hide a violation nor be reported as one: a rule that is broken during a fault is still reported, and
// effects that the fault alone explains are not.
func TestRulesDuringFaults(t *testing.T) {
	forwarded := []Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1")}
	for name, tc := range map[string]struct {
		rule                  checker.Rule
		violating, conforming []Event
	}{
		"answered late although the node was running": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(1300*ms, ProcessResumed)}, served(2200*ms)),
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2190*ms, ProcessResumed)}, served(2200*ms))},
		"never answered after a stop": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2190*ms, ProcessResumed), attemptAnswered(2200*ms, "s1", 200)}),
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2190*ms, ProcessResumed), attemptAnswered(2200*ms, "s1", 200), {At: 2210 * ms, Kind: ClientLeft, ID: "1"}})},
		"stopped until its client no longer listens": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2499*ms, ProcessResumed)}),
			concat(forwarded, []Event{nodeEvent(1100*ms, ProcessStopped), nodeEvent(2500*ms, ProcessResumed)})},
		"sent before a stop, not during it": {checker.InTime,
			[]Event{requestSent(1000*ms, idempotent), nodeEvent(1001*ms, ProcessStopped), nodeEvent(1500*ms, ProcessResumed)},
			[]Event{nodeEvent(999*ms, ProcessStopped), requestSent(1000*ms, idempotent), nodeEvent(1500*ms, ProcessResumed)}},
		"second answer after a reset": {checker.OneAnswer,
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsReset)}, served(1200*ms), []Event{answerReceived(1250*ms, 200)}),
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsReset)}, served(1200*ms))},
		"sent after a drain notified during a stop": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, ProcessStopped), notified(600*ms, false), nodeEvent(1000*ms, ProcessResumed), requestSent(1200*ms, idempotent), attemptArrived(1301*ms, "s1")}, served(1310*ms)),
			concat([]Event{nodeEvent(500*ms, ProcessStopped), notified(600*ms, false), nodeEvent(1000*ms, ProcessResumed), requestSent(1200*ms, idempotent), attemptArrived(1300*ms, "s1")}, served(1310*ms))},
		"sent after a drain whose notification was held up": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, true), requestSent(1200*ms, idempotent), attemptArrived(1301*ms, "s1")}, served(1310*ms)),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, true), requestSent(1200*ms, idempotent), attemptArrived(1300*ms, "s1")}, served(1310*ms))},
		"sent more than 6 s after an open watch was muted": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6801*ms, "s1")}, served(6810*ms), []Event{unmuted(9000*ms, true)}),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6800*ms, "s1")}, served(6810*ms), []Event{unmuted(9000*ms, true)})},
		"sent after a drain on an abandoned watch, without a poll": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(9000*ms, false), requestSent(15200*ms, idempotent), attemptArrived(15301*ms, "s1")}, served(15310*ms)),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(9000*ms, false), requestSent(15200*ms, idempotent), attemptArrived(15300*ms, "s1")}, served(15310*ms))},
		"sent after a drain on a watch abandoned in time, polls answered later": {checker.DrainGrace,
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), watchAbandoned(9000*ms, 6000*ms), requestSent(15200*ms, idempotent), attemptArrived(15301*ms, "s1")}, served(15310*ms)),
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), watchAbandoned(9000*ms, 6000*ms), requestSent(15200*ms, idempotent), attemptArrived(15300*ms, "s1")}, served(15310*ms))},
		"sent after a drain on a watch abandoned too late, polls answered later": {checker.DrainGrace,
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6801*ms, "s1")}, served(6810*ms), []Event{watchAbandoned(9000*ms, 2000*ms)}),
			concat([]Event{watchMuted(500 * ms), notified(600*ms, false), requestSent(6700*ms, idempotent), attemptArrived(6800*ms, "s1")}, served(6810*ms), []Event{watchAbandoned(9000*ms, 2000*ms)})},
		"sent after the next watch delivered the missed notification": {checker.DrainGrace,
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, false), notified(2000*ms, false), requestSent(2200*ms, idempotent), attemptArrived(2301*ms, "s1")}, served(2310*ms)),
			concat([]Event{nodeEvent(500*ms, WatchMuted), notified(600*ms, false), unmuted(1000*ms, false), notified(2000*ms, false), requestSent(2200*ms, idempotent), attemptArrived(2300*ms, "s1")}, served(2310*ms))},
		"sent again although a dead server may have run it": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ServerDied), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ServerDied), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)}},
		"sent again although a stopped server may still run it": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ProcessStopped), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200)},
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1"), serverEvent(1100*ms, ProcessStopped), attemptArrived(1110*ms, "s2"), attemptAnswered(1200*ms, "s2", 200), answerReceived(1200*ms, 200),
				serverEvent(1500*ms, ProcessResumed)}},
		"sent to two servers, one of them stopped": {checker.NoSecondRun,
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), attemptArrived(1010*ms, "s2"), answerReceived(1100*ms, 502), attemptAnswered(1105*ms, "s2", 500), serverEvent(1150*ms, ProcessResumed), attemptArrived(1160*ms, "s1")},
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), attemptArrived(1010*ms, "s2"), attemptAnswered(1050*ms, "s2", 503), serverEvent(1100*ms, ProcessResumed), attemptArrived(1110*ms, "s1"), answerReceived(1150*ms, 502)}},
		"rejected after a stopped server received it": {checker.SafeRejection,
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), serverEvent(1100*ms, ProcessResumed), attemptArrived(1110*ms, "s1"), attemptAnswered(1120*ms, "s1", 500), answerReceived(1150*ms, 503)},
			[]Event{requestSent(1000*ms, nonIdempotent), serverEvent(1000*ms, ProcessStopped), serverEvent(1100*ms, ProcessResumed), attemptArrived(1110*ms, "s1"), attemptAnswered(1120*ms, "s1", 503), answerReceived(1150*ms, 503)}},
		"sent after the answer, when the link no longer held data": {checker.OneAnswer,
			[]Event{requestSent(1000*ms, idempotent), serverEvent(1010*ms, LinkHeld), answerReceived(1100*ms, 503), serverEvent(1200*ms, LinkReleased), attemptArrived(1501*ms, "s1"), attemptCanceled(1510*ms, "s1")},
			[]Event{requestSent(1000*ms, idempotent), serverEvent(1010*ms, LinkHeld), answerReceived(1100*ms, 503), serverEvent(1200*ms, LinkReleased), attemptArrived(1499*ms, "s1"), attemptCanceled(1500*ms, "s1")}},
		"four attempts, one of them held up": {checker.AttemptLimit,
			concat(attempts(3)[:7], []Event{serverEvent(1100*ms, LinkHeld), attemptArrived(1110*ms, "s1"), answerReceived(1200*ms, 502)}),
			concat(attempts(2)[:5], []Event{serverEvent(1100*ms, LinkHeld), attemptArrived(1110*ms, "s1"), answerReceived(1200*ms, 502)})},
		"answered later than the held link to the client explains": {checker.InTime,
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsMuted), nodeEvent(2000*ms, ClientsUnmuted)}, served(3151*ms)),
			concat(forwarded, []Event{nodeEvent(1100*ms, ClientsMuted), nodeEvent(2000*ms, ClientsUnmuted)}, served(3150*ms))},
		"connection cut after a server received the request": {checker.NothingLost,
			[]Event{requestSent(1000*ms, idempotent), attemptArrived(1010*ms, "s1"), connectionCut(1100*ms, true), attemptCanceled(1110*ms, "s1")},
			[]Event{requestSent(1000*ms, idempotent), connectionCut(1100*ms, true)}},
		"new connection cut": {checker.NothingLost,
			[]Event{requestSent(1000*ms, idempotent), connectionCut(1100*ms, false)},
			[]Event{requestSent(1000*ms, idempotent), nodeEvent(1099*ms, ClientsReset), connectionCut(1100*ms, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			h := testHeader()
			h.Classes[idempotent].Deadline, h.Classes[nonIdempotent].Deadline = time.Second, time.Second
			found := Check(h, history(tc.violating...))
			for _, v := range found {
				if v.Rule != tc.rule {
					t.Errorf("another rule reports %v", v)
				}
			}
			if len(found) == 0 {
				t.Errorf("no violation of %q reported", tc.rule)
			}
			for _, v := range Check(h, history(tc.conforming...)) {
				t.Errorf("reported although the fault explains it: %v", v)
			}
		})
	}
}

// Merge sorts the histories of several processes by time. A killed process leaves an incomplete last line, which must not
// make the rest of its history unreadable.
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
		t.Errorf("merged events: %s", got)
	}
	if _, err := Merge(strings.NewReader("{}\nx\n{}\n")); err == nil || !strings.Contains(err.Error(), "history 0, line 2") {
		t.Errorf("error for an unreadable line: %v", err)
	}
}
