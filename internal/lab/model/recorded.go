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

// maxRecordedWork is the upper bound of a recorded arrival's work factor. A larger one is a mistake in the file.
const maxRecordedWork = 1e6

// recordedArrival is one line of a file of recorded arrivals.
type recordedArrival struct {
	AtMS   float64 `json:"at_ms"`
	Class  string  `json:"class"`
	Tenant string  `json:"tenant"`
	Work   float64 `json:"work"`
	Honour bool    `json:"honour"`
}

// readRecorded reads the scenario's file of recorded arrivals: one JSON object a line, ordered by time.
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
			return nil, fmt.Errorf("%s:%d: class or tenant is unknown, work is out of range, or the time is before that of the previous line", path, n)
		}
		last = a.At
		list = append(list, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// arrival converts a line into an Arrival. Class or Tenant is -1 if the scenario has none of that name.
func (r recordedArrival) arrival(s *scenario.Scenario) Arrival {
	return Arrival{
		At:                time.Duration(r.AtMS * float64(time.Millisecond)),
		Class:             slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == r.Class }),
		Tenant:            slices.IndexFunc(s.Tenants, func(t scenario.Tenant) bool { return t.Name == r.Tenant }),
		Work:              r.Work,
		HonoursRetryAfter: r.Honour,
	}
}
