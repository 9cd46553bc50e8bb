package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"hookwalk.example/hookwalk/balancer"
)

// Reasons why a capture can't be replayed; a ReplayError wraps them.
var (
	// ErrCorrupt means that a record is damaged. The rest of the capture is not replayed; another file of the same folder
	// may be intact.
	ErrCorrupt = errors.New("corrupt")
	// ErrNoRecords means that the file is empty, or that it is the log of a node without capture.
	ErrNoRecords = errors.New("no records")
)

// VersionError means that a capture was written in another version of the record format. Only a build of that format
// version can replay it.
type VersionError struct{ Version string }

func (e *VersionError) Error() string {
	return fmt.Sprintf("a capture of version %q; this hookwalk replays version %q", e.Version, Version)
}

// ReplayError reports why a replay failed and at which position of the capture.
type ReplayError struct {
	Capture  string // name of the capture
	Position string // record or line; "": the error concerns the whole capture
	Err      error
}

func (e *ReplayError) Error() string {
	if e.Position == "" {
		return fmt.Sprintf("%s: %v", e.Capture, e.Err)
	}
	return fmt.Sprintf("%s, %s: %v", e.Capture, e.Position, e.Err)
}

// Unwrap returns the reason.
func (e *ReplayError) Unwrap() error { return e.Err }

// corrupt wraps an error in ErrCorrupt.
func corrupt(reason error) error { return fmt.Errorf("%w: %w", ErrCorrupt, reason) }

// Result counts the events of a replay.
type Result struct {
	Compared    int // events that were compared
	Differences int // compared events whose actions differ
	Skipped     int // events that could not be compared
}

// Replay feeds the events of a capture to the balancer of this build and writes a line to out for each request whose actions
// differ from the record. It calls warn for events that can't be compared. If the capture can't be replayed further, the error
// is a *ReplayError, and the Result counts the events up to that point.
func Replay(name string, in io.Reader, out io.Writer, warn func(format string, args ...any)) (Result, error) {
	p := &replayer{out: out, warn: func(format string, args ...any) { warn(name+": "+format, args...) }}
	records := openSource(name, in)
	fail := func(position string, err error) (Result, error) {
		return p.result, &ReplayError{Capture: name, Position: position, Err: err}
	}
	// A record may be truncated where a process was killed, or at the end of a file. Then the head of another run follows, or
	// nothing. truncatedAt is the position of a truncated record until the next record is known.
	truncatedAt, found := "", false
	for {
		r, position, err := nextRecord(records)
		if err == io.EOF {
			break
		}
		if truncatedAt != "" {
			if err != nil || !p.startsRun(&r) {
				return fail(truncatedAt, corrupt(errors.New("a truncated record is followed by records of the same run")))
			}
			p.warn("%s: truncated record skipped", truncatedAt)
			truncatedAt = ""
		}
		if errors.Is(err, errTruncated) {
			truncatedAt = position
			continue
		}
		if err != nil {
			return fail(position, err)
		}
		found = true
		if err := p.replayRecord(&r); err != nil {
			return fail(position, err)
		}
	}
	if truncatedAt != "" {
		p.warn("%s: truncated record skipped", truncatedAt)
	}
	if !found {
		return fail("", ErrNoRecords)
	}
	p.warnSkipped()
	return p.result, nil
}

// nextRecord reads the next record of a source. It returns the errors of source.next and decode.
func nextRecord(records source) (r record, position string, err error) {
	text, position, err := records.next()
	if err == nil {
		r, err = decode(text)
	}
	return r, position, err
}

// decode parses the JSON of a record. The error wraps ErrCorrupt or is a *VersionError; for another format version, only the
// version is parsed.
func decode(text []byte) (r record, err error) {
	var versioned struct {
		Head *struct {
			Version string `json:"version"`
		} `json:"head"`
	}
	if err := json.Unmarshal(text, &versioned); err != nil {
		return r, corrupt(err)
	}
	if versioned.Head != nil && versioned.Head.Version != Version {
		return r, &VersionError{Version: versioned.Head.Version}
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, corrupt(err)
	}
	if (r.Kind == kindHead) != (r.Head != nil) {
		return r, corrupt(errors.New("a head without its content, or content without a head"))
	}
	return r, nil
}

// replayer is the state of a replay at one point of a capture.
type replayer struct {
	bal       *balancer.Balancer // nil: events can't be compared before the next head
	node      string             // name of the node whose run is replayed
	startedAt int64              // start of that run, Unix time in ns; 0: no head was replayed yet
	seq       uint64             // number of the last event
	out       io.Writer
	warn      func(format string, args ...any)
	skipped   int // skipped events since the last warning about them
	result    Result
}

// isOtherRun reports whether a head belongs to a run other than the one that is replayed.
func (p *replayer) isOtherRun(h *head) bool { return h.Node != p.node || h.StartedAt != p.startedAt }

// startsRun reports whether a record is the head of another run.
func (p *replayer) startsRun(r *record) bool { return r.Kind == kindHead && p.isOtherRun(r.Head) }

// replayRecord replays one record. It turns a panic of the balancer into an error, because a damaged capture can contain
// events that no node would record.
func (p *replayer) replayRecord(r *record) (err error) {
	defer func() {
		if failure := recover(); failure != nil {
			err = fmt.Errorf("the balancer panicked: %v", failure)
		}
	}()
	if r.Kind == kindHead {
		return p.replayHead(r)
	}
	event, err := r.event()
	if err != nil {
		return corrupt(err)
	}
	if p.startedAt != 0 && r.Seq <= p.seq {
		return nil // already replayed: the ring was dumped, or the checkpoint of the last head includes this event
	}
	if p.bal != nil && r.Seq != p.seq+1 {
		p.warn("%d records are missing before record %d", r.Seq-p.seq-1, r.Seq)
		p.bal = nil
	}
	p.seq = r.Seq
	if p.bal == nil {
		p.skipped++
		p.result.Skipped++
		return nil
	}
	p.result.Compared++
	if now := newActions(p.bal.Handle(r.At, event)); !slices.Equal(now, r.Actions) {
		p.result.Differences++
		writeDifference(p.out, r, now)
	}
	return nil
}

// replayHead restores the balancer from the checkpoint of a head. It ignores the head if the replayed balancer has already
// reached that point or passed it, because the checkpoint would undo the effects of its different decisions.
func (p *replayer) replayHead(r *record) error {
	sameRun := !p.isOtherRun(r.Head)
	if sameRun && (r.Seq < p.seq || r.Seq == p.seq && p.bal != nil) {
		return nil
	}
	bal, err := balancer.Restore(r.Head.Settings, r.Head.Checkpoint)
	if err != nil {
		return corrupt(err)
	}
	p.warnSkipped()
	if sameRun && p.bal != nil {
		p.warn("%d records are missing before the head of record %d", r.Seq-p.seq, r.Seq)
	}
	p.bal, p.node, p.startedAt, p.seq = bal, r.Head.Node, r.Head.StartedAt, r.Seq
	return nil
}

// warnSkipped warns about the events that were skipped since its last call.
func (p *replayer) warnSkipped() {
	if p.skipped > 0 {
		p.warn("%d records could not be compared: no head precedes them", p.skipped)
		p.skipped = 0
	}
}
