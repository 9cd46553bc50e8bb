package invariants

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each limit is tested at its last allowed value and just beyond it.
func TestChecksAtLimits(t *testing.T) {
	allowed := Send{Began: 1000 * ms, ListExpires: 2000 * ms, Deadline: 3000 * ms, AnnouncedTimeout: 2000 * ms}
	send := func(change func(*Send)) *Violation {
		s := allowed
		change(&s)
		return s.Check()
	}
	for name, c := range map[string]struct {
		got  *Violation
		want string // the name of the broken rule; "": no violation
	}{
		"send that breaks no rule":               {send(func(*Send) {}), ""},
		"send at the end of the drain grace":     {send(func(s *Send) { s.Stopped = 750 * ms }), ""},
		"send after the drain grace":             {send(func(s *Send) { s.Stopped = 749 * ms }), "drain"},
		"send at the end of the expiry grace":    {send(func(s *Send) { s.ListExpires = 750 * ms }), ""},
		"send after the expiry grace":            {send(func(s *Send) { s.ListExpires = 749 * ms }), "drain"},
		"send at the end of client-gone grace":   {send(func(s *Send) { s.ClientGone = 900 * ms }), ""},
		"send after the client-gone grace":       {send(func(s *Send) { s.ClientGone = 899 * ms }), "lost"},
		"repeat at the end of the dedup slack":   {send(func(s *Send) { s.SendBy = 950 * ms }), ""},
		"repeat after the dedup slack":           {send(func(s *Send) { s.SendBy = 949 * ms }), "duplicate"},
		"timeout over the budget, within slack":  {send(func(s *Send) { s.AnnouncedTimeout = 2150 * ms }), ""},
		"timeout over the budget and slack":      {send(func(s *Send) { s.AnnouncedTimeout = 2151 * ms }), "budget"},
		"retry that the class allows":            {Retry{Attempts: 1, MaxAttempts: 3, MayHaveRun: true, Retryable: true}.Check(), ""},
		"retry of a request that never ran":      {Retry{Attempts: 2, MaxAttempts: 3}.Check(), ""},
		"retry of a request that may have run":   {Retry{Attempts: 1, MaxAttempts: 3, MayHaveRun: true}.Check(), "duplicate"},
		"retry during an outstanding attempt":    {Retry{Attempts: 1, MaxAttempts: 3, Outstanding: 1, Retryable: true}.Check(), "duplicate"},
		"fourth attempt of at most three":        {Retry{Attempts: 3, MaxAttempts: 3, Retryable: true}.Check(), "duplicate"},
		"answer at the end of the slack":         {RequestEnd{At: 1500 * ms, Deadline: 1000 * ms, Answered: true}.Check(), ""},
		"answer after the slack":                 {RequestEnd{At: 1501 * ms, Deadline: 1000 * ms, Answered: true}.Check(), "lost"},
		"answer just before the kill":            {RequestEnd{At: 1150 * ms, Deadline: 1000 * ms, AnswerBy: 1000 * ms, Answered: true}.Check(), ""},
		"answer after the kill":                  {RequestEnd{At: 1151 * ms, Deadline: 1200 * ms, AnswerBy: 1000 * ms, Answered: true}.Check(), "lost"},
		"no answer":                              {RequestEnd{}.Check(), "lost"},
		"no answer, client gone":                 {RequestEnd{ClientGone: true}.Check(), ""},
		"rejection of a request that never ran":  {RequestEnd{Answered: true, Rejected: true}.Check(), ""},
		"rejection of request that may have run": {RequestEnd{Answered: true, Rejected: true, MayHaveRun: true}.Check(), "duplicate"},
		"attempt at a warm server":               {SlowStartSend{Outstanding: 3}.Check(), ""},
		"first attempt at a server warming up":   {SlowStartSend{WarmingUp: true}.Check(), ""},
		"second attempt at a server warming up":  {SlowStartSend{WarmingUp: true, Outstanding: 1}.Check(), "slow-start"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if c.got != nil {
				got = c.got.Rule.String()
			}
			if got != c.want {
				t.Errorf("got violation %v, want rule %q", c.got, c.want)
			}
		})
	}
}
