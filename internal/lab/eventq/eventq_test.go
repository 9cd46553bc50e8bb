package eventq

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A simulation is only repeatable if events of one time keep their order: what comes out is what a stable sort by time
// gives, however pushes and pops mix.
func TestOrder(t *testing.T) {
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
					t.Fatalf("got %v %d, want %v", got, v, want[0])
				}
				want = want[1:]
			}
		}
		if q.Len() != len(want) {
			t.Fatalf("%d are left, want %d", q.Len(), len(want))
		}
	})
}
