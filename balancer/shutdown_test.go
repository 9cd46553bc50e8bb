package balancer

import (
	"testing"
	"time"
)

// A process that may be killed at a known time answers every open request before that time, whatever the deadline of the
// request: one that may have run fails, and one that waits for a server is rejected.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(2)})
	if sent := sends(b.Handle(0, newRequest("sent", "pay", 0, time.Second))); len(sent) != 1 {
		t.Fatalf("the request was not sent: %v", sent)
	}
	streamed := newRequest("streamed", "pay", 0, time.Second)
	streamed.StreamedBody = true
	b.Handle(0, streamed)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: []Server{}})
	b.Handle(0, newRequest("queued", "pay", 0, time.Second))
	answerBy := 300 * millisecond
	timers := b.Handle(100*millisecond, ShutdownBegun{AnswerBy: answerBy})
	if len(timers) != 1 || timers[0] != (SetTimer{At: answerBy, Token: shutdownTimer}) {
		t.Fatalf("actions at the start of the shutdown: %v", timers)
	}
	if early := b.Handle(200*millisecond, TimerFired{Token: shutdownTimer}); len(early) != 1 || early[0] != timers[0] {
		t.Errorf("actions after a timer that fired early: %v", early)
	}
	answers := map[string]Action{}
	for _, action := range b.Handle(answerBy, TimerFired{Token: shutdownTimer}) {
		switch a := action.(type) {
		case Fail:
			answers[a.ID] = Fail{}
		case Reject:
			answers[a.ID] = Reject{}
		}
	}
	want := map[string]Action{"sent": Fail{}, "streamed": Fail{}, "queued": Reject{}}
	for id, verdict := range want {
		if answers[id] != verdict {
			t.Errorf("%s: answered %#v, want %#v", id, answers[id], verdict)
		}
	}
	late := b.Handle(answerBy+millisecond, newRequest("late", "pay", answerBy, time.Second))
	if len(late) != 1 || len(sends(late)) != 0 {
		t.Errorf("a request after the last answer was due: %v", late)
	}
}

// During a shutdown no attempt, first or further, gets more time than the process has left.
func TestShutdownLimitsAttempts(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	first := sends(b.Handle(0, newRequest("open", "get", 0, time.Second)))
	answerBy := 300 * millisecond
	b.Handle(100*millisecond, ShutdownBegun{AnswerBy: answerBy})
	retry := endAttempt(b, 150*millisecond, "open", first[0], Overloaded)
	next := b.Handle(200*millisecond, newRequest("next", "get", 200*millisecond, time.Second))
	for _, sent := range append(sends(retry), sends(next)...) {
		if sent.Timeout > answerBy-150*millisecond {
			t.Errorf("an attempt of %s may take %v", sent.ID, sent.Timeout)
		}
	}
	if len(sends(retry)) != 1 || len(sends(next)) != 1 {
		t.Errorf("retried %v, sent %v", retry, next)
	}
}
