package balancer

import (
	"fmt"
	"testing"
	"time"
)

// During a hot restart two processes of a node serve side by side, and both know which servers are disabled, warming up
// and draining. Together they must send a server that is warming up no more than one process would, except for chance.
func TestSuccessorKeepsSlowStart(t *testing.T) {
	list := completeList(4)
	list.Servers[1].StartTime = 100 * time.Second
	list.Servers[2].State = Draining
	begin := func(seed uint64) *Balancer {
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(99*time.Second, list)
		b.Handle(99*time.Second, AdminOverride{Server: "s03", Disabled: true})
		return b
	}
	count := func(bs ...*Balancer) (n int) {
		for i := range 2000 {
			now, id, b := 100*time.Second+time.Duration(i)*millisecond, fmt.Sprint(i), bs[i%len(bs)]
			for _, s := range sends(b.Handle(now, newRequest(id, "pay", now, time.Second))) {
				switch s.Server {
				case "s01":
					n++
				case "s02", "s03":
					t.Fatalf("a request was sent to %s, which is draining or disabled", s.Server)
				}
				endAttempt(b, now, id, s, Success)
			}
		}
		return n
	}
	alone, together := 0, 0
	for seed := range uint64(10) {
		alone += count(begin(seed))
		b := begin(seed)
		text, err := b.SuccessorState()
		if err != nil {
			t.Fatal(err)
		}
		successor, err := RestoreSuccessor(testSettings(), text, seed+100)
		if err != nil {
			t.Fatal(err)
		}
		together += count(b, successor)
	}
	if alone == 0 || float64(together) > 1.1*float64(alone) {
		t.Errorf("two processes sent %d requests, one process sent %d; want at most 1.1 times as many", together, alone)
	}
}
