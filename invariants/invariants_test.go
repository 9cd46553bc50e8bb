package invariants

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestChecks(t *testing.T) {
	sound := Send{Began: 1000 * ms, ListExpires: 2000 * ms, Deadline: 3000 * ms, AnnouncedTimeout: 2000 * ms}
	send := func(change func(*Send)) *Violation {
		s := sound
		change(&s)
		return s.Check()
	}
	for name, c := range map[string]struct {
		got  *Violation
		want string // the rule; "": none
	}{
		"sound":                          {send(func(*Send) {}), ""},
		"in the grace of a drain":        {send(func(s *Send) { s.Stopped = 750 * ms }), ""},
		"after a drain":                  {send(func(s *Send) { s.Stopped = 749 * ms }), "drain"},
		"in the grace of an expiry":      {send(func(s *Send) { s.ListExpires = 750 * ms }), ""},
		"on an expired list":             {send(func(s *Send) { s.ListExpires = 749 * ms }), "drain"},
		"right after a client left":      {send(func(s *Send) { s.ClientGone = 900 * ms }), ""},
		"after a client left":            {send(func(s *Send) { s.ClientGone = 899 * ms }), "lost"},
		"a little over the budget":       {send(func(s *Send) { s.AnnouncedTimeout = 2150 * ms }), ""},
		"over the budget":                {send(func(s *Send) { s.AnnouncedTimeout = 2151 * ms }), "budget"},
		"a repeat":                       {Retry{Attempts: 1, MaxAttempts: 3, MayHaveRun: true, Retryable: true}.Check(), ""},
		"what never ran":                 {Retry{Attempts: 2, MaxAttempts: 3}.Check(), ""},
		"what may have run":              {Retry{Attempts: 1, MaxAttempts: 3, MayHaveRun: true}.Check(), "duplicate"},
		"beside an attempt":              {Retry{Attempts: 1, MaxAttempts: 3, Outstanding: 1, Retryable: true}.Check(), "duplicate"},
		"a fourth attempt":               {Retry{Attempts: 3, MaxAttempts: 3, Retryable: true}.Check(), "duplicate"},
		"an answer":                      {Close{At: 1500 * ms, Deadline: 1000 * ms, Answered: true}.Check(), ""},
		"a late answer":                  {Close{At: 1501 * ms, Deadline: 1000 * ms, Answered: true}.Check(), "lost"},
		"no answer":                      {Close{}.Check(), "lost"},
		"a client that left":             {Close{ClientGone: true}.Check(), ""},
		"a refusal":                      {Close{Answered: true, Rejected: true}.Check(), ""},
		"a refusal of what may have run": {Close{Answered: true, Rejected: true, MayHaveRun: true}.Check(), "duplicate"},
		"a warm server":                  {SlowStartSend{Outstanding: 3}.Check(), ""},
		"a first call at a cold server":  {SlowStartSend{WarmingUp: true}.Check(), ""},
		"a second one":                   {SlowStartSend{WarmingUp: true, Outstanding: 1}.Check(), "slow-start"},
	} {
		got := ""
		if c.got != nil {
			got = c.got.Rule.String()
		}
		if got != c.want {
			t.Errorf("%s: %v, want %q", name, c.got, c.want)
		}
	}
}

func TestGuardCountsAndLogs(t *testing.T) {
	var text bytes.Buffer
	g := NewGuard(slog.New(slog.NewTextHandler(&text, nil)))
	for range 3 {
		g.Note(SlowStartSend{WarmingUp: true, Outstanding: 1}.Check(), "id", "r-1")
	}
	g.Note(Close{}.Check(), "id", "r-2")
	if g.Note(nil) || g.Count(SlowStart) != 3 || g.Count(Lost) != 1 || g.Total() != 4 {
		t.Errorf("counted %d and %d of %d", g.Count(SlowStart), g.Count(Lost), g.Total())
	}
	if n := strings.Count(text.String(), "invariant broken"); n < 2 || !strings.Contains(text.String(), "id=r-1") {
		t.Errorf("logged %s", text.String())
	}
	var none *Guard
	if !none.Note(Close{}.Check()) || none.Total() != 0 {
		t.Error("no guard counts")
	}
}
