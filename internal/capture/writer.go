package capture

import (
	"bytes"
	"encoding/base64"
	"io"
	"log/slog"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/settings"
)

const (
	ringSize  = 768 << 10
	headEvery = 128 << 10 // bytes of records between two heads: the ring always holds several
	warnEvery = 10 * time.Second
)

// Writer records the events of one Balancer. It belongs to the goroutine that feeds it.
type Writer struct {
	bal    *balancer.Balancer
	head   head
	stderr io.Writer
	log    *slog.Logger
	ring   *ring
	folder *folder // nil: none

	seq      uint64
	since    int // bytes since the last head
	buf      bytes.Buffer
	headBuf  bytes.Buffer
	line     []byte
	nextWarn time.Time
}

// New begins a capture of a Balancer that has seen no event yet.
func New(set settings.Capture, node string, bal *balancer.Balancer, module balancer.Settings, seed uint64, stderr io.Writer, log *slog.Logger) *Writer {
	w := &Writer{bal: bal, stderr: stderr, log: log, ring: newRing(ringSize),
		head: head{Version: Version, Node: node, Began: time.Now().UnixNano(), Seed: seed, Settings: module}}
	if set.Folder != "" {
		w.folder = openFolder(set.Folder, set.FileBytes)
	}
	w.writeHead(time.Duration(w.head.Began))
	return w
}

// Event records what the module was told and what it decided, before anything else is told to it.
func (w *Writer) Event(at time.Duration, e balancer.Event, did []balancer.Action, aside EventContext) {
	r, err := newRecord(e, aside)
	if err != nil {
		w.warn(err)
		return
	}
	if n, ok := e.(balancer.SettingsChanged); ok {
		w.head.Settings = n.Settings // of the checkpoints from here on
	}
	w.seq++
	r.Seq, r.At, r.Decision = w.seq, at, decisions(did)
	for _, d := range r.Decision {
		if d.Status != 0 {
			r.Answer = d.Status
		}
	}
	w.buf.Reset()
	if err := encode(&w.buf, &r); err != nil {
		w.warn(err)
		return
	}
	fits := w.write(w.buf.Bytes(), false)
	if w.since >= headEvery || w.folder != nil && w.folder.wants(time.Now()) {
		w.writeHead(at)
	}
	if !fits {
		w.append(w.buf.Bytes(), false)
	}
}

// writeHead lets a replay begin here: what comes after can be played without what came before.
func (w *Writer) writeHead(at time.Duration) {
	var err error
	if w.head.Checkpoint, err = w.bal.Checkpoint(); err != nil {
		w.warn(err)
		return
	}
	w.headBuf.Reset()
	if err := encode(&w.headBuf, &record{Seq: w.seq, At: at, Kind: kindHead, Head: &w.head}); err != nil {
		w.warn(err)
		return
	}
	w.write(w.headBuf.Bytes(), true)
	w.since = 0
}

// write hands a record to standard error, the ring and the folder.
func (w *Writer) write(frame []byte, isHead bool) (fits bool) {
	w.since += len(frame)
	w.say(frame)
	w.ring.push(frame)
	return w.append(frame, isHead)
}

// say writes a record to standard error, as one line with one Write.
func (w *Writer) say(frame []byte) {
	w.line = append(w.line[:0], linePrefix...)
	w.line = base64.StdEncoding.AppendEncode(w.line, frame)
	w.line = append(w.line, '\n')
	if _, err := w.stderr.Write(w.line); err != nil {
		w.warn(err) // there may be another place for the log
	}
}

func (w *Writer) append(frame []byte, isHead bool) (fits bool) {
	if w.folder == nil {
		return true
	}
	fits, err := w.folder.append(frame, isHead, time.Now())
	if err != nil {
		w.warn(err)
	}
	return fits
}

// Dump writes the records that the ring holds to standard error once more.
func (w *Writer) Dump() {
	w.ring.each(w.say)
}

// Close ends the capture. A Writer that is nil has nothing to end.
func (w *Writer) Close() {
	if w != nil && w.folder != nil {
		w.folder.end()
	}
}

func (w *Writer) warn(err error) {
	if now := time.Now(); now.After(w.nextWarn) {
		w.nextWarn = now.Add(warnEvery)
		w.log.Warn("capture incomplete", "err", err)
	}
}
