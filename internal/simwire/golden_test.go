package simwire

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/goldentest"
)

// Operators' configuration files and published documents have settings in this form: no build may read them by other
// names. The golden file has the names of the published form, in the order of the fields.
func TestGoldenSettings(t *testing.T) {
	path := filepath.Join("testdata", "settings.json")
	goldentest.Read[profile](t, path)
	got, err := ParseSettings(goldentest.Text(t, path))
	want := balancer.Settings{Balancers: 2, Self: 1, Tier: 4, Zone: "north-a", WholeWeight: 0.25, ClassWeight: 0.75, MarksRepeats: true,
		MaxAttempts: 3, AskDiscovery: true, AskWithin: 11 * time.Millisecond, Tick: 5 * time.Millisecond, ColdFrom: 0.5,
		WarmAfter: 14 * time.Millisecond, FallMultiple: 1.5, OrderSettle: 13 * time.Millisecond, MaxRetryAfter: 12 * time.Millisecond,
		Classes: []balancer.Class{{Name: "quick", Effect: balancer.Keyed, Scope: balancer.ScopeZone, Window: 9 * time.Millisecond,
			Aim: 8 * time.Millisecond, Deadline: 7 * time.Millisecond, LateShare: 0.1, Worth: 6, Stream: true, InOrder: true,
			OnlyZones: []string{"north-a"}, OnlyKinds: []string{"big"}}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v, want %+v", got, err, want)
	}
}
