package fleet

import (
	"math"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/sweep"
)

// newTimeline returns a timeline of 20 s that offers 1 in each slice, 10 a second, and in which each slice of a second
// earns got(second).
func newTimeline(got func(second int) float64) (c Timeline) {
	for i := range 201 {
		c.Offered, c.Earned = append(c.Offered, 1), append(c.Earned, got(i/10))
	}
	return c
}

// Full service counts only when it lasts: a dip soon after the first one belongs to the same outage, a much later one does
// not.
func TestTimeToFullService(t *testing.T) {
	baseline := newTimeline(func(int) float64 { return 1 })
	for name, tc := range map[string]struct {
		got  func(int) float64
		took time.Duration
		lost float64
		ok   bool
	}{
		"nothing lost":     {func(int) float64 { return 1 }, 0, 0, true},
		"two seconds lost": {func(s int) float64 { return map[bool]float64{true: 0.5, false: 1}[s == 5 || s == 6] }, 2 * time.Second, 1, true},
		"a dip later":      {func(s int) float64 { return map[bool]float64{true: 0.8, false: 1}[s == 5 || s == 9] }, 5 * time.Second, 0.4, true},
		"a dip much later": {func(s int) float64 { return map[bool]float64{true: 0.8, false: 1}[s == 5 || s == 12] }, time.Second, 0.2, true},
		"1% less is full":  {func(s int) float64 { return 0.9901 }, 0, 0, true},
		"2% less is not":   {func(s int) float64 { return 0.98 }, 0, 0, false},
		"no full service":  {func(s int) float64 { return map[bool]float64{true: 0.5, false: 1}[s >= 5] }, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			took, lost, ok := FullService(newTimeline(tc.got), baseline, 5*time.Second)
			if ok != tc.ok || ok && (took != tc.took || lost < tc.lost-0.03 || lost > tc.lost+0.03) {
				t.Errorf("got %v, %.2f lost, %v", took, lost, ok)
			}
		})
	}
	// Where the baseline itself serves only half in a second, no more is required of the play.
	half := func(s int) float64 { return map[bool]float64{true: 0.5, false: 1}[s == 5] }
	if took, _, ok := FullService(newTimeline(half), newTimeline(half), 5*time.Second); !ok || took != 0 {
		t.Errorf("same as the baseline: got %v, %v, want 0 and true", took, ok)
	}
}

// Weight is assigned to the slice of the first try. The ratio of a peak is the maximum after the fault divided by the mean
// before it.
func TestTimelineAndPeaks(t *testing.T) {
	s := &scenario.Scenario{Length: 10 * time.Second, Classes: []scenario.Class{{PriorityWeight: 4, LateCredit: 0.5, LatencyObjective: time.Second, Deadline: 2 * time.Second}}}
	begun := func(at time.Duration) blackbox.Event { return blackbox.Event{At: at, Kind: blackbox.RequestBegun} }
	ended := func(at, took time.Duration, served bool) blackbox.Event {
		return blackbox.Event{At: at + took, Kind: blackbox.RequestEnded, Duration: took, Ready: served}
	}
	c := TimelineOf(s, []blackbox.Event{begun(time.Second), ended(time.Second, 900*time.Millisecond, true),
		begun(time.Second), ended(time.Second, 1500*time.Millisecond, true),
		begun(2 * time.Second), ended(2*time.Second, 100*time.Millisecond, false), begun(3 * time.Second)})
	offered, earned := c.Between(time.Second, 2*time.Second)
	if offered != 8 || earned != 6 || c.Share() != 6.0/16 {
		t.Errorf("offered %v, earned %v, share %v", offered, earned, c.Share())
	}
	var events []blackbox.Event
	for i := range 100 { // one per slice, and seven in the slice at 7 s, after the fault at 5 s
		events = append(events, blackbox.Event{At: time.Duration(i) * sliceLength, Kind: blackbox.AttemptArrived, Server: "s"})
	}
	for range 6 {
		events = append(events, blackbox.Event{At: 7 * time.Second, Kind: blackbox.AttemptArrived, Server: "s"})
	}
	for _, p := range Peaks(events, 5*time.Second, s.Length) {
		switch p.Name {
		case "requests at one box", "requests at all boxes":
			if p.Max != 7 || p.Ratio != 7 {
				t.Errorf("%+v", p)
			}
		default:
			if p.Max != 0 {
				t.Errorf("%+v", p)
			}
		}
	}
}

// A cell must contain the share earned in each second, the faults, and the time to full service or that it was not reached.
func TestCells(t *testing.T) {
	s := &scenario.Scenario{Length: 20 * time.Second, Classes: []scenario.Class{{PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second}},
		Faults: []scenario.Fault{{Kind: "kill", At: 4 * time.Second, Duration: 2 * time.Second, Spread: time.Second}}}
	played := func(from, to int) *Result { // requests fail from slice from until before slice to
		p := &Result{Faults: []FaultRecord{{At: 4 * time.Second}}}
		for i := range 200 {
			at := time.Duration(i) * sliceLength
			p.Events = append(p.Events, blackbox.Event{At: at, Kind: blackbox.RequestBegun}, blackbox.Event{At: at, Kind: blackbox.RequestEnded, Ready: i < from || i >= to})
		}
		return p
	}
	baseline := played(0, 0)
	cells := Cells(s, []*Result{played(40, 60), played(40, 200)}, baseline)
	for i, want := range [][4]float64{{2, 0, 0.9, 0}, {16, 1, 0.2, 0}, {0, 0, 1, 1}} {
		c := cells[i]
		if got := [4]float64{c.Metrics["full_service_s"], c.Metrics["never_whole"], math.Round(c.Metrics["worth"]*10) / 10, c.ValueShares[5]}; got != want {
			t.Errorf("cell %d: full_service_s, never_whole, worth, share of second 5: got %v, want %v", i, got, want)
		}
		if c.Faults[0] != (sweep.FaultInterval{Kind: "kill", From: 4, To: 7}) || (c.Policy == cells[0].Policy) != (i < 2) {
			t.Errorf("cell %d: %+v", i, c)
		}
	}
}
