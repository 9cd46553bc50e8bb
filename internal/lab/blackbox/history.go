package blackbox

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// maxLineBytes is the length limit of a line of a history.
const maxLineBytes = 1 << 20

// errNoSuchClass is returned for an event whose class the header does not list.
var errNoSuchClass = errors.New("the header does not list the class of the event")

// Header is the first line of a history: the rules, the classes of requests and the servers of the run.
type Header struct {
	Rules          scenario.Rules                 `json:"rules"`
	Classes        []scenario.Class               `json:"classes"`
	Kinds          map[string]scenario.ServerKind `json:"kinds"`   // by server ID
	Means          map[string]time.Duration       `json:"means"`   // mean work of a request, by server ID
	ObservationLag time.Duration                  `json:"overlap"` // see Checker.ObservationLag
}

// NewHeader returns the header of a history of a scenario, without servers.
func NewHeader(s *scenario.Scenario, observationLag time.Duration) Header {
	return Header{Rules: s.Rules, Classes: s.Classes, Kinds: map[string]scenario.ServerKind{}, Means: map[string]time.Duration{},
		ObservationLag: observationLag}
}

// Recorder writes a history. It is safe for concurrent use. A nil Recorder writes nothing.
type Recorder struct {
	mu  sync.Mutex
	out *json.Encoder
	err error
}

// NewRecorder begins a history with a header.
func NewRecorder(w io.Writer, h Header) *Recorder {
	r := &Recorder{out: json.NewEncoder(w)}
	r.err = r.out.Encode(h)
	return r
}

// NewHeadlessRecorder begins a history without a header: one of several histories of a run, which Merge combines.
func NewHeadlessRecorder(w io.Writer) *Recorder { return &Recorder{out: json.NewEncoder(w)} }

// Record adds an event.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.out.Encode(e)
	}
}

// Err returns the error that made the history incomplete, or nil.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Read reads a history. An error names the line.
func Read(in io.Reader) (h Header, events []Event, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if n == 1 {
			err = json.Unmarshal(lines.Bytes(), &h)
		} else {
			var e Event
			e, err = readEvent(lines.Bytes(), h)
			events = append(events, e)
		}
		if err != nil {
			return h, nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return h, events, lines.Err()
}

func readEvent(line []byte, h Header) (e Event, err error) {
	if err := json.Unmarshal(line, &e); err != nil {
		return e, err
	}
	if e.Kind == RequestSent && (e.Class < 0 || e.Class >= len(h.Classes)) {
		return e, errNoSuchClass
	}
	return e, nil
}

// Merge reads histories without headers and returns their events in order of time. Events at the same time keep the order
// of the arguments. A killed process can leave an incomplete last line, which Merge ignores.
func Merge(histories ...io.Reader) (events []Event, err error) {
	for n, in := range histories {
		text := bufio.NewReader(in)
		for line := 1; ; line++ {
			b, err := text.ReadBytes('\n')
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return nil, fmt.Errorf("history %d, line %d: %w", n, line, err)
			}
			var e Event
			if err := json.Unmarshal(b, &e); err != nil {
				return nil, fmt.Errorf("history %d, line %d: %w", n, line, err)
			}
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events, nil
}
