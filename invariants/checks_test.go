package invariants

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each limit is tried at its last allowed value and right behind it.
func TestChecksAtLimits(t *testing.T) {
	allowed := Send{Began: 1000 * ms, ListExpires: 2000 * ms, Deadline: 3000 * ms, AnnouncedTimeout: 2000 * ms}
	send := func(change func(*Send)) *Violation {
		s := allowed
		change(&s)
		return s.Check()
	}
	for name, c := range map[string]struct {
		got  *Violation
		want string // the rule; "": none
	}{
		"a send within all rules":                {send(func(*Send) {}), ""},
		"in the grace of a drain":                {send(func(s *Send) { s.Stopped = 750 * ms }), ""},
		"after a drain":                          {send(func(s *Send) { s.Stopped = 749 * ms }), "drain"},
		"in the grace of an expiry":              {send(func(s *Send) { s.ListExpires = 750 * ms }), ""},
		"on an expired list":                     {send(func(s *Send) { s.ListExpires = 749 * ms }), "drain"},
		"in the grace of a client that has gone": {send(func(s *Send) { s.ClientGone = 900 * ms }), ""},
		"after a client has gone":                {send(func(s *Send) { s.ClientGone = 899 * ms }), "lost"},
		"a little over the budget":               {send(func(s *Send) { s.AnnouncedTimeout = 2150 * ms }), ""},
		"over the budget":                        {send(func(s *Send) { s.AnnouncedTimeout = 2151 * ms }), "budget"},
		"a retry":                                {Retry{Attempts: 1, MaxAttempts: 3, MayHaveRun: true, Retryable: true}.Check(), ""},
		"a retry of what never ran":              {Retry{Attempts: 2, MaxAttempts: 3}.Check(), ""},
		"a retry of what may have run":           {Retry{Attempts: 1, MaxAttempts: 3, MayHaveRun: true}.Check(), "duplicate"},
		"a retry beside an attempt":              {Retry{Attempts: 1, MaxAttempts: 3, Outstanding: 1, Retryable: true}.Check(), "duplicate"},
		"a fourth attempt":                       {Retry{Attempts: 3, MaxAttempts: 3, Retryable: true}.Check(), "duplicate"},
		"an answer":                              {RequestEnd{At: 1500 * ms, Deadline: 1000 * ms, Answered: true}.Check(), ""},
		"a late answer":                          {RequestEnd{At: 1501 * ms, Deadline: 1000 * ms, Answered: true}.Check(), "lost"},
		"no answer":                              {RequestEnd{}.Check(), "lost"},
		"no answer, client gone":                 {RequestEnd{ClientGone: true}.Check(), ""},
		"a rejection":                            {RequestEnd{Answered: true, Rejected: true}.Check(), ""},
		"a rejection of what may have run":       {RequestEnd{Answered: true, Rejected: true, MayHaveRun: true}.Check(), "duplicate"},
		"a warm server":                          {SlowStartSend{Outstanding: 3}.Check(), ""},
		"a first attempt at a cold server":       {SlowStartSend{WarmingUp: true}.Check(), ""},
		"a second attempt at a cold server":      {SlowStartSend{WarmingUp: true, Outstanding: 1}.Check(), "slow-start"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if c.got != nil {
				got = c.got.Rule.String()
			}
			if got != c.want {
				t.Errorf("%v, want %q", c.got, c.want)
			}
		})
	}
}
