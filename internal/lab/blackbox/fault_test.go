package blackbox

import (
	"slices"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/checker"
)

func at(t time.Duration, what string) Event    { return Event{At: t, What: what} }
func atBox(t time.Duration, what string) Event { return Event{At: t, What: what, Server: "s1"} }
func news(t time.Duration, ready bool) Event {
	return Event{At: t, What: Told, Server: "s1", Ready: ready}
}
func hears(t time.Duration, open bool) Event   { return Event{At: t, What: Hears, Ready: open} }
func hushed(t time.Duration) Event             { return Event{At: t, What: Deaf, Ready: true} }
func gaveUp(t, before time.Duration) Event     { return Event{At: t, What: Hears, Budget: before} }
func keptCut(t time.Duration, kept bool) Event { return Event{At: t, What: Cut, ID: "1", Ready: kept} }
func served(t time.Duration) []Event           { return []Event{reply(t, "s1", 200), got(t, 200)} }
func all(parts ...[]Event) []Event             { return slices.Concat(parts...) }

// A rule that is broken beside a fault is rejected all the same; what the fault alone explains is not.
func TestRulesBesideFaults(t *testing.T) {
	late := []Event{ask(1000*ms, safe), reach(1010*ms, "s1")}
	for name, tc := range map[string]struct {
		rule          checker.Rule
		wrong, inside []Event
	}{
		"late though it ran": {checker.InTime,
			all(late, []Event{at(1100*ms, Stall), at(1300*ms, Resume)}, served(2200*ms)),
			all(late, []Event{at(1100*ms, Stall), at(2190*ms, Resume)}, served(2200*ms))},
		"never answered after a stop": {checker.InTime,
			all(late, []Event{at(1100*ms, Stall), at(2190*ms, Resume), reply(2200*ms, "s1", 200)}),
			all(late, []Event{at(1100*ms, Stall), at(2190*ms, Resume), reply(2200*ms, "s1", 200), {At: 2210 * ms, What: Left, ID: "1"}})},
		"stopped for longer than its client listens": {checker.InTime,
			all(late, []Event{at(1100*ms, Stall), at(2499*ms, Resume)}),
			all(late, []Event{at(1100*ms, Stall), at(2500*ms, Resume)})},
		"asked before a stop, not in it": {checker.InTime,
			[]Event{ask(1000*ms, safe), at(1001*ms, Stall), at(1500*ms, Resume)},
			[]Event{at(999*ms, Stall), ask(1000*ms, safe), at(1500*ms, Resume)}},
		"an answer to a connection that was reset": {checker.OneAnswer,
			all(late, []Event{at(1100*ms, Sever)}, served(1200*ms), []Event{got(1250*ms, 200)}),
			all(late, []Event{at(1100*ms, Sever)}, served(1200*ms))},
		"sent on after a drain that it was told in a stop": {checker.Drain,
			all([]Event{at(500*ms, Stall), news(600*ms, false), at(1000*ms, Resume), ask(1200*ms, safe), reach(1301*ms, "s1")}, served(1310*ms)),
			all([]Event{at(500*ms, Stall), news(600*ms, false), at(1000*ms, Resume), ask(1200*ms, safe), reach(1300*ms, "s1")}, served(1310*ms))},
		"sent on after a drain that reached it at last": {checker.Drain,
			all([]Event{at(500*ms, Deaf), news(600*ms, false), hears(1000*ms, true), ask(1200*ms, safe), reach(1301*ms, "s1")}, served(1310*ms)),
			all([]Event{at(500*ms, Deaf), news(600*ms, false), hears(1000*ms, true), ask(1200*ms, safe), reach(1300*ms, "s1")}, served(1310*ms))},
		"sent on over 6 s after a watch fell silent that it still has": {checker.Drain,
			all([]Event{at(500*ms, Deaf), news(600*ms, false), ask(6700*ms, safe), reach(6801*ms, "s1")}, served(6810*ms), []Event{hears(9000*ms, true)}),
			all([]Event{at(500*ms, Deaf), news(600*ms, false), ask(6700*ms, safe), reach(6800*ms, "s1")}, served(6810*ms), []Event{hears(9000*ms, true)})},
		"sent on long after a drain on a watch that it gave up, and asked nobody": {checker.Drain,
			all([]Event{at(500*ms, Deaf), news(600*ms, false), hears(9000*ms, false), ask(15200*ms, safe), reach(15301*ms, "s1")}, served(15310*ms)),
			all([]Event{at(500*ms, Deaf), news(600*ms, false), hears(9000*ms, false), ask(15200*ms, safe), reach(15300*ms, "s1")}, served(15310*ms))},
		"sent on long after a drain on a watch that it gave up in time, at a discovery that took calls again only later": {checker.Drain,
			all([]Event{hushed(500 * ms), news(600*ms, false), gaveUp(9000*ms, 6000*ms), ask(15200*ms, safe), reach(15301*ms, "s1")}, served(15310*ms)),
			all([]Event{hushed(500 * ms), news(600*ms, false), gaveUp(9000*ms, 6000*ms), ask(15200*ms, safe), reach(15300*ms, "s1")}, served(15310*ms))},
		"sent on after a drain on a watch that it gave up too late, at the same": {checker.Drain,
			all([]Event{hushed(500 * ms), news(600*ms, false), ask(6700*ms, safe), reach(6801*ms, "s1")}, served(6810*ms), []Event{gaveUp(9000*ms, 2000*ms)}),
			all([]Event{hushed(500 * ms), news(600*ms, false), ask(6700*ms, safe), reach(6800*ms, "s1")}, served(6810*ms), []Event{gaveUp(9000*ms, 2000*ms)})},
		"sent on after the next watch told it what the one before had not": {checker.Drain,
			all([]Event{at(500*ms, Deaf), news(600*ms, false), hears(1000*ms, false), news(2000*ms, false), ask(2200*ms, safe), reach(2301*ms, "s1")}, served(2310*ms)),
			all([]Event{at(500*ms, Deaf), news(600*ms, false), hears(1000*ms, false), news(2000*ms, false), ask(2200*ms, safe), reach(2300*ms, "s1")}, served(2310*ms))},
		"sent again though a dead box may have run it": {checker.NoSecondRun,
			[]Event{ask(1000*ms, unsafe), reach(1010*ms, "s1"), atBox(1100*ms, Down), reach(1110*ms, "s2"), reply(1200*ms, "s2", 200), got(1200*ms, 200)},
			[]Event{ask(1000*ms, safe), reach(1010*ms, "s1"), atBox(1100*ms, Down), reach(1110*ms, "s2"), reply(1200*ms, "s2", 200), got(1200*ms, 200)}},
		"sent again though a stopped box may run it yet": {checker.NoSecondRun,
			[]Event{ask(1000*ms, unsafe), reach(1010*ms, "s1"), atBox(1100*ms, Stall), reach(1110*ms, "s2"), reply(1200*ms, "s2", 200), got(1200*ms, 200)},
			[]Event{ask(1000*ms, safe), reach(1010*ms, "s1"), atBox(1100*ms, Stall), reach(1110*ms, "s2"), reply(1200*ms, "s2", 200), got(1200*ms, 200),
				atBox(1500*ms, Resume)}},
		"sent to two, and one is stopped": {checker.NoSecondRun,
			[]Event{ask(1000*ms, unsafe), atBox(1000*ms, Stall), reach(1010*ms, "s2"), got(1100*ms, 502), reply(1105*ms, "s2", 500), atBox(1150*ms, Resume), reach(1160*ms, "s1")},
			[]Event{ask(1000*ms, unsafe), atBox(1000*ms, Stall), reach(1010*ms, "s2"), reply(1050*ms, "s2", 503), atBox(1100*ms, Resume), reach(1110*ms, "s1"), got(1150*ms, 502)}},
		"refused after a box that was stopped had it": {checker.Harmless,
			[]Event{ask(1000*ms, unsafe), atBox(1000*ms, Stall), atBox(1100*ms, Resume), reach(1110*ms, "s1"), reply(1120*ms, "s1", 500), got(1150*ms, 503)},
			[]Event{ask(1000*ms, unsafe), atBox(1000*ms, Stall), atBox(1100*ms, Resume), reach(1110*ms, "s1"), reply(1120*ms, "s1", 503), got(1150*ms, 503)}},
		"sent after the answer, and nothing was held up by then": {checker.OneAnswer,
			[]Event{ask(1000*ms, safe), atBox(1010*ms, Hold), got(1100*ms, 503), atBox(1200*ms, Free), reach(1501*ms, "s1"), given(1510*ms, "s1")},
			[]Event{ask(1000*ms, safe), atBox(1010*ms, Hold), got(1100*ms, 503), atBox(1200*ms, Free), reach(1499*ms, "s1"), given(1500*ms, "s1")}},
		"four attempts, one of them held up": {checker.MostSends,
			all(attempts(3)[:7], []Event{atBox(1100*ms, Hold), reach(1110*ms, "s1"), got(1200*ms, 502)}),
			all(attempts(2)[:5], []Event{atBox(1100*ms, Hold), reach(1110*ms, "s1"), got(1200*ms, 502)})},
		"held up on the way to the client, and late by more": {checker.InTime,
			all(late, []Event{at(1100*ms, Mute), at(2000*ms, Speak)}, served(3151*ms)),
			all(late, []Event{at(1100*ms, Mute), at(2000*ms, Speak)}, served(3150*ms))},
		"cut after a box had it": {checker.Lost,
			[]Event{ask(1000*ms, safe), reach(1010*ms, "s1"), keptCut(1100*ms, true), given(1110*ms, "s1")},
			[]Event{ask(1000*ms, safe), keptCut(1100*ms, true)}},
		"cut on a fresh connection": {checker.Lost,
			[]Event{ask(1000*ms, safe), keptCut(1100*ms, false)},
			[]Event{ask(1000*ms, safe), at(1099*ms, Sever), keptCut(1100*ms, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			h := head()
			h.Classes[safe].Deadline, h.Classes[unsafe].Deadline = time.Second, time.Second
			found := Check(h, story(tc.wrong...))
			for _, v := range found {
				if v.Rule != tc.rule {
					t.Errorf("also rejected by %v", v)
				}
			}
			if len(found) == 0 {
				t.Error("not rejected")
			}
			for _, v := range Check(h, story(tc.inside...)) {
				t.Errorf("what the fault explains: %v", v)
			}
		})
	}
}

// Histories of several processes become one, by time; the last line of a killed process may end anywhere.
func TestMerge(t *testing.T) {
	events, err := Merge(strings.NewReader(`{"at":5,"what":"start"}`+"\n"+`{"at":9,"what":"kill"}`+"\n"),
		strings.NewReader(`{"at":5,"what":"told"}`+"\n"+`{"at":7,"what":"ask"}`+"\n"+`{"at":8,"wha`))
	if err != nil {
		t.Fatal(err)
	}
	var order []string
	for _, e := range events {
		order = append(order, e.What)
	}
	if got := strings.Join(order, " "); got != "start told ask kill" {
		t.Errorf("merged: %s", got)
	}
	if _, err := Merge(strings.NewReader("{}\nx\n{}\n")); err == nil || !strings.Contains(err.Error(), "history 0, line 2") {
		t.Errorf("a broken line within: %v", err)
	}
}
