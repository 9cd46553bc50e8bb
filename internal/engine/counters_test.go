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

// All attempts fail for a while. The log must have one line about a failed attempt for each second in which some failed,
// with the history of its connection, and the next line of counters must have all outcomes. If nothing was counted, there
// is no line of counters.
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
		t.Errorf("%d lines about failed attempts, want 2, one for each interval with failures:\n%s", n, out.String())
	}
	if !strings.Contains(out.String(), "server=s-1 err=reset elapsed=500ms connection_uses=3") {
		t.Errorf("the log does not describe the connection:\n%s", out.String())
	}
	if !strings.Contains(out.String(), `outcome=connection_lost ground="ended without response" connection=7 written=true closed_by=server`) {
		t.Errorf("the log does not explain the outcome:\n%s", out.String())
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
		t.Errorf("nothing was counted, but the log has %s", out.String())
	}
}
