package simwire

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/goldentest"
)

// Operators' configuration files and published documents contain settings in this form, so no build may change the
// names of the keys. The golden file has the published names, in the order of the fields.
func TestGoldenSettings(t *testing.T) {
	path := filepath.Join("testdata", "settings.json")
	goldentest.Read[settingsObject](t, path)
	got, err := ParseSettings(goldentest.Text(t, path))
	want := balancer.Settings{Replicas: 2, ReplicaIndex: 1, Tier: 4, Zone: "north-a", TotalValueWeight: 0.25, WorstClassWeight: 0.75, ClientsMarkRetries: true,
		MaxAttempts: 3, PollDiscovery: true, MaxPollInterval: 11 * time.Millisecond, TimerTolerance: 5 * time.Millisecond, SlowStartMinShare: 0.5,
		SlowStartDuration: 14 * time.Millisecond, OverloadMultiple: 1.5, KeyQuietPeriod: 13 * time.Millisecond, MaxRetryAfter: 12 * time.Millisecond,
		Classes: []balancer.Class{{Name: "quick", Effect: balancer.IdempotentWithKey, DedupScope: balancer.ScopeZone, DedupWindow: 9 * time.Millisecond,
			LatencyObjective: 8 * time.Millisecond, Deadline: 7 * time.Millisecond, LateCredit: 0.1, PriorityWeight: 6, Stream: true, OrderedByKey: true,
			AllowedZones: []string{"north-a"}, AllowedKinds: []string{"big"}}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}
