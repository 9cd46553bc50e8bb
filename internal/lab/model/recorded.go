package model

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// maxRecordedWork is the largest factor on the work that a recorded arrival may have: more is a mistake in the file.
const maxRecordedWork = 1e6

// recordedArrival is a line of a file of recorded arrivals.
type recordedArrival struct {
	AtMS   float64 `json:"at_ms"`
	Class  string  `json:"class"`
	Tenant string  `json:"tenant"`
	Work   float64 `json:"work"`
	Honour bool    `json:"honour"`
}

// readRecorded reads a line of JSON for each arrival, in the order of their times.
func readRecorded(s *scenario.Scenario) (list []Arrival, err error) {
	path := s.Clients.ArrivalsFile
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("recorded arrivals: %w", err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	last := time.Duration(0)
	for n := 1; lines.Scan(); n++ {
		var r recordedArrival
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		a := r.arrival(s)
		if a.Class < 0 || a.Tenant < 0 || a.At < last || !(a.Work > 0 && a.Work < maxRecordedWork) {
			return nil, fmt.Errorf("%s:%d: class, tenant, work or the order of times is wrong", path, n)
		}
		last = a.At
		list = append(list, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// arrival finds the class and the tenant; -1: there is none of the name.
func (r recordedArrival) arrival(s *scenario.Scenario) Arrival {
	return Arrival{
		At:                time.Duration(r.AtMS * float64(time.Millisecond)),
		Class:             slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == r.Class }),
		Tenant:            slices.IndexFunc(s.Tenants, func(t scenario.Tenant) bool { return t.Name == r.Tenant }),
		Work:              r.Work,
		HonoursRetryAfter: r.Honour,
	}
}
