package engine

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

func TestTallyTellsEndingsAndBoundsItsLines(t *testing.T) {
	var out bytes.Buffer
	log, tl := slog.New(slog.NewTextHandler(&out, nil)), &tally{}
	att := &Attempt{Call: &Call{attempts: 1}, Target: &Target{ID: "s-1"}, Started: breakEvery / 2}
	for i := range 10 { // ten in one interval
		tl.note(log, breakEvery+breakEvery/10*time.Duration(i), Result{Attempt: att, Outcome: balancer.ConnectionLost, Err: errors.New("reset"), ConnectionUses: 3})
	}
	tl.note(log, 3*breakEvery, Result{Attempt: att, Outcome: balancer.Unreachable, Err: errors.New("refused")})
	tl.note(log, 9*breakEvery, Result{Attempt: att, Outcome: balancer.Success})
	if n := strings.Count(out.String(), "attempt without an answer"); n != 2 {
		t.Errorf("%d lines of broken attempts, want one for each interval with some, 2:\n%s", n, out.String())
	}
	if !strings.Contains(out.String(), "server=s-1 err=reset after=500ms uses=3") {
		t.Errorf("no word of the connection:\n%s", out.String())
	}
	out.Reset()
	tl.refused[tried(att.Call)]++
	tl.refused[tried(&Call{})]++
	tl.write(log, 4)
	for _, want := range []string{"refused_unsent=1", "refused_sent=1", "open=4", "ok=1", "connect=1", "reset=10"} {
		if !strings.Contains(out.String(), want+" ") && !strings.Contains(out.String(), want+"\n") {
			t.Errorf("want %s in %s", want, out.String())
		}
	}
	out.Reset()
	if tl.write(log, 4); out.Len() > 0 {
		t.Errorf("nothing happened, and yet: %s", out.String())
	}
}
