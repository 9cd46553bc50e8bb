package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"hookwalk.example/hookwalk/balancer"
)

// Why a capture can't be replayed, wrapped in a ReplayError.
var (
	// ErrCorrupt says that a record is damaged. The rest of the capture is not believed; another file of the same folder
	// may be whole.
	ErrCorrupt = errors.New("corrupt")
	// ErrNoRecords says that there are none: the file is empty, or a log of a node whose capture was off.
	ErrNoRecords = errors.New("no records")
)

// VersionError says that a capture was written by a build whose records have another form; a build of that version can
// replay it.
type VersionError struct{ Version string }

func (e *VersionError) Error() string {
	return fmt.Sprintf("a capture of version %q; this hookwalk replays version %q", e.Version, Version)
}

// ReplayError says where in a capture a replay ended and why.
type ReplayError struct {
	Capture  string // its name
	Position string // of the record or line; "": the whole capture
	Err      error
}

func (e *ReplayError) Error() string {
	if e.Position == "" {
		return fmt.Sprintf("%s: %v", e.Capture, e.Err)
	}
	return fmt.Sprintf("%s, %s: %v", e.Capture, e.Position, e.Err)
}

// Unwrap is the reason.
func (e *ReplayError) Unwrap() error { return e.Err }

// corrupt wraps the reason why a record is damaged.
func corrupt(reason error) error { return fmt.Errorf("%w: %w", ErrCorrupt, reason) }

// Result counts what a replay did.
type Result struct {
	Compared    int // events
	Differences int // of them, decided otherwise
	Skipped     int // events that could not be compared
}

// Replay gives the events of a capture to a balancer of this build and writes a line to out for each request that is decided
// otherwise now. warn is called with what could not be compared. A *ReplayError says why the capture can't be used;
// the Result counts what came before.
func Replay(name string, in io.Reader, out io.Writer, warn func(format string, args ...any)) (Result, error) {
	p := &replayer{out: out, warn: func(format string, args ...any) { warn(name+": "+format, args...) }}
	records := openSource(name, in)
	fail := func(position string, err error) (Result, error) {
		return p.result, &ReplayError{Capture: name, Position: position, Err: err}
	}
	// A record may be cut short where a process was killed, or at the end of a file: a head of another run follows, or
	// nothing. truncatedAt is the position of such a record until that is known.
	truncatedAt, found := "", false
	for {
		r, position, err := nextRecord(records)
		if err == io.EOF {
			break
		}
		if truncatedAt != "" {
			if err != nil || !p.startsRun(&r) {
				return fail(truncatedAt, corrupt(errors.New("a truncated record is not the last of its run")))
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

// nextRecord reads the next record of a source, with the errors of source.next and decode.
func nextRecord(records source) (r record, position string, err error) {
	text, position, err := records.next()
	if err == nil {
		r, err = decode(text)
	}
	return r, position, err
}

// decode reads a record's JSON. The error is ErrCorrupt or a *VersionError: of another version no more than that is read.
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

// replayer holds a balancer at one point of a capture.
type replayer struct {
	bal     *balancer.Balancer // nil: nothing to compare with before the next head
	node    string             // of the run that is played
	began   int64              // the same
	seq     uint64             // of the last event
	out     io.Writer
	warn    func(format string, args ...any)
	skipped int // events since the last warning of such
	result  Result
}

// isOtherRun says that a head is of another run of a node than the one that is played.
func (p *replayer) isOtherRun(h *head) bool { return h.Node != p.node || h.Began != p.began }

// startsRun says that a record is the head of another run than the one that is played.
func (p *replayer) startsRun(r *record) bool { return r.Kind == kindHead && p.isOtherRun(r.Head) }

// replayRecord plays one record. A panic of the balancer is an error: a damaged capture can hold what no balancer would record.
func (p *replayer) replayRecord(r *record) (err error) {
	defer func() {
		if failure := recover(); failure != nil {
			err = fmt.Errorf("the balancer failed: %v", failure)
		}
	}()
	if r.Kind == kindHead {
		return p.replayHead(r)
	}
	event, err := r.event()
	if err != nil {
		return corrupt(err)
	}
	if p.began != 0 && r.Seq <= p.seq {
		return nil // known: the ring was dumped, or the head that was played holds it
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

// replayHead goes on from a head's checkpoint, unless the balancer that is played has come to it, or beyond, by itself: then
// its differences would be lost.
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
	p.bal, p.node, p.began, p.seq = bal, r.Head.Node, r.Head.Began, r.Seq
	return nil
}

// warnSkipped warns of events that could not be compared since it was last called.
func (p *replayer) warnSkipped() {
	if p.skipped > 0 {
		p.warn("%d records could not be compared: no head stands before them", p.skipped)
		p.skipped = 0
	}
}
