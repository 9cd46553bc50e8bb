package eventq

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A simulation is repeatable only if events with equal times keep their order. However pushes and pops are interleaved,
// events must be popped in the order of a stable sort by time.
func TestEqualTimesKeepPushOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var want [][2]int
		for n := range rapid.IntRange(0, 200).Draw(t, "n") {
			at := rapid.IntRange(0, 5).Draw(t, "at")
			q.Push(time.Duration(at), n)
			want = append(want, [2]int{at, n})
			if rapid.Bool().Draw(t, "pop") {
				slices.SortStableFunc(want, func(a, b [2]int) int { return a[0] - b[0] })
				if got, v := q.Pop(); int(got) != want[0][0] || v != want[0][1] {
					t.Fatalf("popped time %v, value %d, want %v", got, v, want[0])
				}
				want = want[1:]
			}
		}
		if q.Len() != len(want) {
			t.Fatalf("the queue has %d events, want %d", q.Len(), len(want))
		}
	})
}
