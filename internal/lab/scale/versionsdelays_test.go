package scale

import (
	"math"
	"testing"
	"time"
)

func TestSummarize(t *testing.T) {
	var delays []time.Duration
	for i := 200; i > 0; i-- {
		delays = append(delays, time.Duration(i)*time.Millisecond)
	}
	want := Delays{Count: 200, P50: 100 * time.Millisecond, P99: 198 * time.Millisecond, Max: 200 * time.Millisecond}
	if got := Summarize(delays); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := Summarize(nil); got != (Delays{}) {
		t.Errorf("Summarize(nil) = %+v, want zero", got)
	}
	if got := Milliseconds(1500 * time.Microsecond); got != "1.5 ms" {
		t.Errorf("1.5 ms is formatted as %q", got)
	}
}

func TestMaxWithin(t *testing.T) {
	ms := int64(time.Millisecond)
	moments := []int64{0, 50 * ms, 99 * ms, 100 * ms, 149 * ms, 400 * ms}
	if got := MaxWithin(moments, 100*time.Millisecond); got != 4 {
		t.Errorf("%d within 100 ms, want 4", got)
	}
	if got := MaxWithin(nil, time.Second); got != 0 {
		t.Errorf("%d moments within an empty list, want 0", got)
	}
}

func TestUnevenness(t *testing.T) {
	for _, tc := range []struct {
		shares []int
		want   float64
	}{{[]int{10, 10}, 0}, {[]int{9, 11}, 0.1}, {[]int{0, 0}, 0}, {[]int{20, 10, 30}, 0.5}} {
		if got := Unevenness(tc.shares); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("unevenness of %v is %g, want %g", tc.shares, got, tc.want)
		}
	}
}
