package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A controller does not answer one poll. No nodes are sent to it, but it still counts as a member until its report is
// too old.
func TestLoadsOfAnUnresponsiveController(t *testing.T) {
	reports := newControllerReports(configOf("c1", "c2", "c3"))
	report := memberReport{Phase: phaseMember, Load: configapi.Load{Cluster: "c", Sessions: 5, HasLeaderContact: true}}
	reports.record("c2", report, nil)
	reports.record("c3", report, nil)
	reports.record("c3", memberReport{}, errors.New("no answer"))
	now := time.Now()
	loads := reports.loads(now, true)
	if len(loads) != 2 || !loads[0].Available || loads[1].Available {
		t.Errorf("loads %+v", loads)
	}
	if len(reports.valid(now)) != 2 {
		t.Errorf("valid reports: %v, want 2", reports.valid(now))
	}
	reports.record("c3", report, nil)
	if loads := reports.loads(now, true); !loads[1].Available {
		t.Errorf("loads after c3 has answered again: %+v", loads)
	}
	if loads := reports.loads(now.Add(reportValidity), true); loads[0].Available {
		t.Errorf("loads after the reports have expired: %+v", loads)
	}
}

// A controller answers a poll twice. The second response must not be used for the next poll.
func TestEachReportIsFetchedOnANewConnection(t *testing.T) {
	connections := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		_ = json.NewEncoder(w).Encode(memberReport{Phase: phaseMember, Load: configapi.Load{Name: "c2"}})
	}))
	defer server.Close()
	reports := newControllerReports(configOf("c1", "c2"))
	other := Member{Name: "c2", Dial: strings.TrimPrefix(server.URL, "http://")}
	const fetches = 3
	for range fetches {
		if _, err := reports.fetch(t.Context(), other, "s1"); err != nil {
			t.Fatal(err)
		}
	}
	if len(connections) != fetches {
		t.Errorf("%d polls used %d connections", fetches, len(connections))
	}
}
