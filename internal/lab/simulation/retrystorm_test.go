package simulation

import (
	"fmt"
	"testing"

	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// At a load of 0.6 and without faults, nearly every request must be served. A random burst of requests once made nodes
// cancel attempts early and send them again. After some seconds more than half of the attempts were canceled and a
// tenth of the clients rejected, in a self-sustaining retry storm.
func TestNoRetryStormWithoutAFault(t *testing.T) {
	for _, seed := range []int{21, 1, 2, 3, 11} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse("crowd.hcl", fmt.Appendf(nil, `scenario "crowd" { seed = %d length_s = 22 }
tier "log-front" { work = 0.4 calls = 1 kind "k" { count = 8 cores = 1 slots = 32 queue = 16 thrash_at = 24 } }
tier "log-logic" { work = 0.4 calls = 1 kind "k" { count = 8 cores = 1 slots = 32 queue = 16 thrash_at = 24 } }
tier "log-store" { work = 0.4 kind "k" { count = 8 cores = 1 slots = 32 queue = 16 thrash_at = 24 } }
class "block-view"  { share = 43 effect = "safe" worth = 5 work_ms = 110 aim_ms = 900 deadline_ms = 2500 }
class "brix-update" { share = 32 effect = "safe" worth = 3 work_ms = 90 aim_ms = 900 deadline_ms = 2500 }
class "bin-weighin" { share = 25 worth = 8 work_ms = 95 aim_ms = 900 deadline_ms = 2500 }
clients { rate = 120 backoff_ms = 150 }
front { nodes = 8 }`, seed), nil)
			if err != nil {
				t.Fatal(err)
			}
			w, err := New(s, policies.New)
			if err != nil {
				t.Fatal(err)
			}
			got, checked, err := w.Run(nil)
			if err != nil {
				t.Fatal(err)
			}
			if rejected, _ := got.Rejections(); got.ValueShare() < 0.985 || rejected > 40 || checked.Count() > 0 {
				t.Errorf("value share %.4f, want at least 0.985; %d rejections, want at most 40; %d violations, want none", got.ValueShare(), rejected, checked.Count())
			}
		})
	}
}
