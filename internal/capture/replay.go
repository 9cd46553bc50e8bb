package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Result counts what a replay did.
type Result struct {
	Compared    int // events
	Differences int // of them, decided otherwise
	Skipped     int // events that could not be compared
}

// Replay plays a capture into the module and writes a line for each request that is decided otherwise now. Warnings
// tell of what could not be compared. An error says why the capture can't be used.
func Replay(name string, in io.Reader, out io.Writer, warn func(format string, args ...any)) (Result, error) {
	p := &player{out: out, warn: func(format string, args ...any) { warn(name+": "+format, args...) }}
	records := open(name, in)
	cut, seen := "", false // where a record is cut short, of which nothing else was found wrong yet
	for {
		frame, where, err := records.next()
		if err == io.EOF {
			break
		}
		var r record
		if err == nil {
			r, err = decode(frame)
		}
		if cut != "" && (err != nil || r.Kind != kindHead || !p.begins(r.Head)) {
			return p.result, fmt.Errorf("%s, %s: corrupt: a truncated record is not the last of its run", name, cut)
		}
		if cut != "" {
			p.warn("%s: truncated record skipped", cut)
			cut = ""
		}
		switch {
		case errors.Is(err, errTruncated):
			cut = where
			continue
		case err != nil:
			return p.result, fmt.Errorf("%s, %s: %w", name, where, err)
		}
		seen = true
		if err := p.play(&r); err != nil {
			return p.result, fmt.Errorf("%s, %s: %w", name, where, err)
		}
	}
	if cut != "" {
		p.warn("%s: truncated record skipped", cut)
	}
	if !seen {
		return p.result, fmt.Errorf("%s: no records", name)
	}
	p.tellSkipped()
	return p.result, nil
}

// decode reads a record. Of another version no more than that is read.
func decode(frame []byte) (r record, err error) {
	var v struct {
		Head *struct {
			Version string `json:"version"`
		} `json:"head"`
	}
	if err := json.Unmarshal(frame, &v); err != nil {
		return r, fmt.Errorf("corrupt: %w", err)
	}
	if v.Head != nil && v.Head.Version != Version {
		return r, fmt.Errorf("a capture of version %q; this hookwalk replays version %q", v.Head.Version, Version)
	}
	if err := json.Unmarshal(frame, &r); err != nil {
		return r, fmt.Errorf("corrupt: %w", err)
	}
	if (r.Kind == kindHead) != (r.Head != nil) {
		return r, errors.New("corrupt: a head without its content, or content without a head")
	}
	return r, nil
}

// player holds a module at one point of a capture.
type player struct {
	bal    *balancer.Balancer // nil: nothing to compare with before the next head
	node   string
	began  int64
	seq    uint64
	out    io.Writer
	warn   func(format string, args ...any)
	missed int // events skipped and not yet told
	result Result
}

// begins says that a head is of another run than the one that is played.
func (p *player) begins(h *head) bool { return h != nil && (h.Node != p.node || h.Began != p.began) }

func (p *player) play(r *record) (err error) {
	defer func() { // what no module would record, or a fault of this one
		if failure := recover(); failure != nil {
			err = fmt.Errorf("the module failed: %v", failure)
		}
	}()
	if r.Kind == kindHead {
		return p.takeHead(r)
	}
	e, err := r.event()
	if err != nil {
		return fmt.Errorf("corrupt: %w", err)
	}
	switch {
	case p.began != 0 && r.Seq <= p.seq:
		return nil // seen: the ring was written out, or the head that was taken holds it
	case p.bal != nil && r.Seq != p.seq+1:
		p.warn("%d records are missing before record %d", r.Seq-p.seq-1, r.Seq)
		p.bal = nil
	}
	p.seq = r.Seq
	if p.bal == nil {
		p.missed++
		p.result.Skipped++
		return nil
	}
	p.result.Compared++
	if now := decisions(p.bal.Handle(r.At, e)); !slices.Equal(now, r.Decision) {
		p.result.Differences++
		p.tell(r, now)
	}
	return nil
}

// takeHead goes on from a checkpoint where the module played so far does not lead there by itself.
func (p *player) takeHead(r *record) error {
	if !p.begins(r.Head) && (r.Seq < p.seq || r.Seq == p.seq && p.bal != nil) {
		return nil
	}
	bal, err := balancer.Restore(r.Head.Settings, r.Head.Checkpoint)
	if err != nil {
		return fmt.Errorf("corrupt: %w", err)
	}
	p.tellSkipped()
	if !p.begins(r.Head) && p.bal != nil {
		p.warn("%d records are missing before the head of record %d", r.Seq-p.seq, r.Seq)
	}
	p.bal, p.node, p.began, p.seq = bal, r.Head.Node, r.Head.Began, r.Seq
	return nil
}

func (p *player) tellSkipped() {
	if p.missed > 0 {
		p.warn("%d records could not be compared: no head stands before them", p.missed)
		p.missed = 0
	}
}

// tell writes a line for each request of an event that is decided otherwise now.
func (p *player) tell(r *record, now []decision) {
	told := false
	for _, id := range subjects(r.Decision, now) {
		was, is := about(r.Decision, id), about(now, id)
		if slices.Equal(was, is) {
			continue
		}
		told = true
		a, b := words(was, false), words(is, false)
		if a == b {
			a, b = words(was, true), words(is, true)
		}
		fmt.Fprintf(p.out, "%s was %s now %s\n", id, a, b)
	}
	if !told {
		fmt.Fprintf(p.out, "record %d was %s now in another order\n", r.Seq, words(r.Decision, true))
	}
}

// subject is the request that a decision is about; what is about none stands under its timer or what it does.
func (d decision) subject() string {
	if d.Do != doWake {
		if d.ID == "" {
			return d.Do
		}
		return d.ID
	}
	if kind, id, ok := strings.Cut(d.Name, ":"); ok && (kind == "r" || kind == "d") {
		return id
	}
	return d.Name
}

func subjects(lists ...[]decision) (ids []string) {
	for _, list := range lists {
		for _, d := range list {
			if id := d.subject(); !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func about(list []decision, id string) (found []decision) {
	for _, d := range list {
		if d.subject() == id {
			found = append(found, d)
		}
	}
	return found
}

// words tells what became of a request: the server that it was sent to, or the status of its answer.
func words(list []decision, whole bool) string {
	var parts []string
	for _, d := range list {
		text := ""
		switch {
		case d.Do == doSend:
			text = d.Server
		case d.Status != 0:
			text = strconv.Itoa(d.Status)
		case d.Do == doDrill:
			text = "drill " + d.Name
		case d.Do == doWake && !whole && len(list) > 1:
			continue
		case d.Do == doWake && whole:
			text = "held to " + strconv.FormatInt(int64(d.At), 10)
		case d.Do == doWake:
			text = "held"
		default:
			text = d.Do
		}
		if whole && d.For != 0 {
			text += " for " + d.For.Round(time.Nanosecond).String()
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, " then ")
}
