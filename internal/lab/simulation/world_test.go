package simulation

import (
	"bytes"
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/checker"
	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/score"
)

// smallWorld is a scenario with two tiers, short enough for quick tests, in which a node that breaks a rule is
// detected.
const smallWorld = `scenario "small" { seed = 3 length_s = 6 }
tier "log-front" { work = 0.4 calls = 1.5
  kind "front" { count = 4 cores = 1 slots = 8 queue = 4 cold_s = 4 } }
tier "log-store" { work = 0.3
  kind "store" { count = 4 cores = 1 slots = 8 queue = 4 cold_s = 4 error_rate = 0.02 } }
class "block-view"  { effect = "safe" worth = 5 work_ms = 20 aim_ms = 200 deadline_ms = 600 }
class "bin-weighin" { effect = "unsafe" worth = 8 work_ms = 20 aim_ms = 200 deadline_ms = 600 }
clients { rate = 120 retries = 1 backoff_ms = 50 impatient = 0.02 }
front { nodes = 2 notice_s = 0.5 }
discovery { calls_per_s = 100 spread_ms = 20 drain_ms = 20 add_ms = 200 notice_ms = 300 silent_ms = 2000 }
`

func parseScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("small.hcl", []byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func runWorld(t *testing.T, s *scenario.Scenario, newDecider NewDecider) (*score.Score, *checker.Checker) {
	t.Helper()
	w, err := New(s, newDecider)
	if err != nil {
		t.Fatal(err)
	}
	got, checked, err := w.Run(nil)
	if err != nil {
		t.Fatal(err)
	}
	return got, checked
}

func report(t *testing.T, s *scenario.Scenario) string {
	t.Helper()
	got, checked := runWorld(t, s, policies.New)
	var out bytes.Buffer
	if err := got.Write(&out); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(&out, checked.Violations())
	return out.String()
}

const shippedScenarios = "../../../lab/scenarios"

// Engineers run the shipped scenarios by hand and must not see violations that the lab itself causes. Each scenario
// except those of the fleet therefore runs here, shortened and with half the rate, without a violation.
func TestShippedScenariosBreakNoRule(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(shippedScenarios, "*.hcl"))
	if err != nil || len(files) < 13 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".hcl"), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(file, "fleet") {
				return // needs gigabytes of memory; it is run by a command
			}
			s.Length /= 4
			s.Clients.Rate /= 2
			for i := range s.Faults {
				s.Faults[i].At /= 4
				s.Faults[i].Duration /= 4
			}
			got, checked := runWorld(t, s, policies.New)
			for _, v := range checked.Violations() {
				t.Error(v)
			}
			if inTime, _, _, _ := got.Counts(); inTime < 100 {
				t.Errorf("only %d requests were served in time, want at least 100", inTime)
			}
		})
	}
}

// allFaults is smallWorld with every kind of world fault except "kill", many of them at the same time.
const allFaults = smallWorld + `
trouble "crash" { at_s = 1 length_s = 1 tier = "log-front" part = 0.3 }
trouble "cut_off" { at_s = 1.5 length_s = 1 part = 0.3 }
trouble "neighbour" { at_s = 1 length_s = 2 size = 0.5 period_s = 0.3 }
trouble "heavy_tail" { at_s = 1 length_s = 2 size = 8 share = 0.1 }
trouble "shared_slow" { at_s = 2 length_s = 1 size = 2 }
trouble "broken_answers" { at_s = 1 length_s = 3 share = 0.3 }
trouble "kept_resets" { at_s = 2 length_s = 0 part = 1 share = 1 }
trouble "release" { at_s = 3 length_s = 2 tier = "log-front" part = 1 }
trouble "node_restart" { at_s = 2 length_s = 1 part = 0.5 }
trouble "node_kill" { at_s = 4 length_s = 1 part = 0.5 }
trouble "discovery_down" { at_s = 3 length_s = 1 }
trouble "discovery_moved" { at_s = 4.5 length_s = 0 }
trouble "overload" { at_s = 4 length_s = 1 size = 3 }
trouble "retry_storm" { at_s = 4 length_s = 1 size = 2 }
`

// Results can be compared only if other machines reproduce them. The same seed must give the same report, byte for
// byte, for the module and every reference policy, on any number of cores. Another seed must give a different report.
func TestSameSeedGivesIdenticalReport(t *testing.T) {
	for _, policy := range policies.Names {
		s := parseScenario(t, allFaults)
		s.Policy = policy
		first := report(t, s)
		before := runtime.GOMAXPROCS(1)
		again := report(t, s)
		runtime.GOMAXPROCS(before)
		if first != again {
			t.Errorf("%s: two runs with the same seed differ:\n%s\n%s", policy, first, again)
		}
		_, checked := runWorld(t, s, policies.New)
		for _, v := range checked.Violations() {
			if policy == policies.Module || v.Rule != checker.WarmupOverload { // the reference policies ignore warm-up
				t.Errorf("%s: %v", policy, v)
			}
		}
		s.Seed++
		if report(t, s) == first {
			t.Errorf("%s: another seed gave the same report", policy)
		}
	}
}

// Without delays and jitter, many events have the same time, and a client's retry crosses the answer to its first try.
// The report must still be the same in each run, because events with equal times keep the order in which they were
// scheduled.
func TestZeroDelaysAreDeterministic(t *testing.T) {
	s := parseScenario(t, strings.Replace(allFaults, "spread_ms = 20 drain_ms = 20 add_ms = 200 notice_ms = 300", "spread_ms = 0 drain_ms = 0 add_ms = 0 notice_ms = 0", 1)+
		"net { hop_ms = 0 client_ms = 0 jitter = 0 handshake_trips = 0 }\nrules { slack_ms = 0 }")
	s.Clients.Backoff, s.Ingress.FailureDetection = 0, 0
	first := report(t, s)
	for range 3 {
		if again := report(t, s); again != first {
			t.Fatalf("two runs differ:\n%s\n%s", first, again)
		}
	}
	if !strings.HasSuffix(first, "\n[]\n") {
		t.Errorf("the report lists violations: %s", first)
	}
}

// violatingDecider wraps a decider and alters its actions: it changes, adds or removes some.
type violatingDecider struct {
	policies.Decider
	alter func(now time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action
}

func (d *violatingDecider) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	return d.alter(now, e, d.Decider.Handle(now, e))
}

// violators holds for each rule a node that breaks it, and a scenario in which the node does so.
var violators = map[checker.Rule]struct {
	world   string
	violate func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action
}{
	checker.InTime: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if _, ok := e.(balancer.Request); ok {
				return nil // accepted, and never answered
			}
			return out
		}
	}},
	checker.OneAnswer: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if o, ok := e.(balancer.AttemptEnded); ok && o.RequestDone {
				out = append(out, balancer.Fail{ID: o.ID})
			}
			return out
		}
	}},
	checker.NoSecondRun: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if o, ok := e.(balancer.AttemptEnded); ok && o.Outcome == balancer.Failure && len(out) > 0 {
				if _, fails := out[0].(balancer.Fail); fails {
					out[0] = balancer.Send{ID: o.ID, Server: o.Server, Timeout: time.Second}
				}
			}
			return out
		}
	}},
	checker.SafeRejection: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, _ balancer.Event, out []balancer.Action) []balancer.Action {
			for i, a := range out {
				if f, ok := a.(balancer.Fail); ok {
					out[i] = balancer.Reject{ID: f.ID}
				}
			}
			return out
		}
	}},
	checker.OneAttempt: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if _, ok := e.(balancer.Request); ok && len(out) > 0 {
				out = append(out, out[0])
			}
			return out
		}
	}},
	checker.AttemptLimit: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if _, ok := e.(balancer.Request); ok && len(out) > 0 {
				out = append(out, out[0], out[0], out[0])
			}
			return out
		}
	}},
	checker.DrainGrace: {smallWorld + `trouble "release" { at_s = 1 length_s = 4 tier = "log-front" part = 1 }`, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		draining := ""
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if l, ok := e.(balancer.EndpointUpdate); ok {
				for _, s := range l.Servers {
					if s.State == balancer.Draining {
						draining = s.ID
					}
				}
			}
			for i, a := range out {
				if s, ok := a.(balancer.Send); ok && draining != "" {
					s.Server = draining
					out[i] = s
				}
			}
			return out
		}
	}},
	checker.WarmupOverload: {smallWorld + `trouble "crash" { at_s = 1 length_s = 1 tier = "log-front" part = 0.25 }
trouble "overload" { at_s = 2 length_s = 4 size = 4 }`, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		warming := ""
		return func(_ time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if l, ok := e.(balancer.EndpointUpdate); ok {
				for _, s := range l.Servers {
					if s.State == balancer.Ready && s.StartTime > 0 {
						warming = s.ID
					}
				}
			}
			for i, a := range out {
				if s, ok := a.(balancer.Send); ok && warming != "" {
					s.Server = warming
					out[i] = s
				}
			}
			return out
		}
	}},
	checker.KnownServer: {smallWorld, func() func(time.Duration, balancer.Event, []balancer.Action) []balancer.Action {
		return func(_ time.Duration, _ balancer.Event, out []balancer.Action) []balancer.Action {
			for i, a := range out {
				if s, ok := a.(balancer.Send); ok {
					s.Server = "s-nowhere"
					out[i] = s
				}
			}
			return out
		}
	}},
}

// The checker reports each node that breaks a rule for that rule. A violation that it missed would go unnoticed in
// every run of the lab.
func TestCheckerDetectsEachViolation(t *testing.T) {
	for rule, violator := range violators {
		t.Run(string(rule), func(t *testing.T) {
			_, checked := runWorld(t, parseScenario(t, violator.world), func(name string, set balancer.Settings, seed uint64, inFlight policies.InFlight) (policies.Decider, error) {
				d, err := policies.New(name, set, seed, inFlight)
				if set.Tier > 0 {
					return d, err // only ingress nodes violate
				}
				return &violatingDecider{d, violator.violate()}, err
			})
			for _, v := range checked.Violations() {
				if v.Rule == rule {
					if v.Request == "" || v.Node == "" || v.At == 0 {
						t.Errorf("violation without a request, node or time: %v", v)
					}
					return
				}
			}
			t.Errorf("not detected among %d violations", checked.Count())
		})
	}
}

// The checker detects that a node loses accepted requests when it exits on SIGTERM before it has answered them.
func TestCheckerDetectsRequestsLostOnShutdown(t *testing.T) {
	s := parseScenario(t, smallWorld+`trouble "node_restart" { at_s = 2 length_s = 2 part = 1 }`)
	s.Rules.Slack = time.Hour // no answer is late, so missing answers count only as lost requests
	_, checked := runWorld(t, s, func(name string, set balancer.Settings, seed uint64, inFlight policies.InFlight) (policies.Decider, error) {
		d, err := policies.New(name, set, seed, inFlight)
		return &violatingDecider{d, func(now time.Duration, e balancer.Event, out []balancer.Action) []balancer.Action {
			if _, ok := e.(balancer.Request); ok && set.Tier == 0 {
				return nil
			}
			return out
		}}, err
	})
	for _, v := range checked.Violations() {
		if v.Rule == checker.NothingLost {
			return
		}
	}
	t.Errorf("not seen among %d violations", checked.Count())
}

// Without faults, the oracle policy, which sees every queue, must beat the random policies. Otherwise the lab could not
// distinguish good policies from bad ones.
func TestOracleBeatsRandomPolicies(t *testing.T) {
	p95 := map[string]time.Duration{}
	for _, policy := range []string{"random", "two-random", "oracle"} {
		s := parseScenario(t, strings.Replace(smallWorld, "rate = 120", "rate = 170", 1))
		s.Policy, s.Length = policy, 20*time.Second
		got, _ := runWorld(t, s, policies.New)
		p95[policy] = got.Quantile(95)
	}
	if !(p95["oracle"] < p95["two-random"] && p95["two-random"] < p95["random"]) {
		t.Errorf("95th percentiles of latency: %v, want oracle < two-random < random", p95)
	}
}

// runRecorded runs a scenario and returns its history as it is visible from outside.
func runRecorded(t *testing.T, s *scenario.Scenario, newDecider NewDecider) (blackbox.Header, []blackbox.Event) {
	t.Helper()
	w, err := New(s, newDecider)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	w.Record = blackbox.NewRecorder(&text, w.Head())
	if _, _, err := w.Run(nil); err != nil {
		t.Fatal(err)
	}
	if err := w.Record.Err(); err != nil {
		t.Fatal(err)
	}
	h, events, err := blackbox.Read(&text)
	if err != nil {
		t.Fatal(err)
	}
	return h, events
}

// The black-box check, which sees only what is visible from outside, must agree with the checker: it finds no violation
// in scenarios with all faults, and it detects a node that breaks a rule.
func TestSeededHistoriesPassBlackboxCheck(t *testing.T) {
	for seed := range uint64(4) {
		s := parseScenario(t, allFaults)
		s.Seed = 100 + seed
		h, events := runRecorded(t, s, policies.New)
		for _, v := range blackbox.Check(h, events) {
			t.Errorf("seed %d: %v", seed, v)
		}
		if len(events) < 3000 {
			t.Errorf("seed %d: only %d events", seed, len(events))
		}
	}
	for rule, violator := range violators {
		if rule == checker.OneAnswer || rule == checker.KnownServer { // this violation is not visible from outside
			continue
		}
		h, events := runRecorded(t, parseScenario(t, violator.world), func(name string, set balancer.Settings, seed uint64, inFlight policies.InFlight) (policies.Decider, error) {
			d, err := policies.New(name, set, seed, inFlight)
			if set.Tier > 0 {
				return d, err
			}
			return &violatingDecider{d, violator.violate()}, err
		})
		seen := map[checker.Rule]int{}
		for _, v := range blackbox.Check(h, events) {
			seen[v.Rule]++
		}
		if seen[rule] == 0 {
			t.Errorf("violation of %s not detected; violations by rule: %v", rule, seen)
		}
	}
}
