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

// Every attempt fails for a while. The log has one line of a failed attempt for each second with some, with the history of its
// connection, and all outcomes in the next line of counters; a line of counters without anything counted is left out.
func TestCountersLogOutcomesAtLimitedRate(t *testing.T) {
	var out bytes.Buffer
	log, c := slog.New(slog.NewTextHandler(&out, nil)), &counters{}
	attempt := &Attempt{Call: &Call{attempts: 1}, Target: &Target{ID: "s-1"}, Started: failureInterval / 2}
	for i := range 10 { // ten in one interval
		c.addResult(log, failureInterval+failureInterval/10*time.Duration(i), Result{Attempt: attempt, Outcome: balancer.ConnectionLost, Err: errors.New("reset"), ConnectionUses: 3,
			Reason: ReasonNoResponse, Connection: 7, Written: true, ClosedBy: "server"})
	}
	c.addResult(log, 3*failureInterval, Result{Attempt: attempt, Outcome: balancer.Unreachable, Err: errors.New("refused")})
	c.addResult(log, 9*failureInterval, Result{Attempt: attempt, Outcome: balancer.Success})
	if n := strings.Count(out.String(), "attempt without an answer"); n != 2 {
		t.Errorf("%d lines of failed attempts, want one for each interval with some, 2:\n%s", n, out.String())
	}
	if !strings.Contains(out.String(), "server=s-1 err=reset elapsed=500ms connection_uses=3") {
		t.Errorf("the connection is not described:\n%s", out.String())
	}
	if !strings.Contains(out.String(), `outcome=connection_lost ground="ended without response" connection=7 written=true closed_by=server`) {
		t.Errorf("the outcome is not explained:\n%s", out.String())
	}
	out.Reset()
	c.rejected[attempt.Call.attemptStage()]++
	c.rejected[(&Call{}).attemptStage()]++
	c.log(log, 4)
	for _, want := range []string{"rejected_unsent=1", "rejected_sent=1", "open=4", "success=1", "unreachable=1", "connection_lost=10"} {
		if !strings.Contains(out.String(), want+" ") && !strings.Contains(out.String(), want+"\n") {
			t.Errorf("want %s in %s", want, out.String())
		}
	}
	out.Reset()
	if c.log(log, 4); out.Len() > 0 {
		t.Errorf("nothing was counted, but logged: %s", out.String())
	}
}
