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
	// ringBytes is what a Writer keeps in memory for Dump. asyncwriter.Stderr takes it at once, as base64.
	ringBytes = 768 << 10
	// headInterval is between two heads, in bytes of records: the ring always holds several, so that a dump can be
	// replayed. A head costs a checkpoint of the balancer.
	headInterval = 128 << 10
	// warnInterval is between two log lines of records that could not be written, at least.
	warnInterval = 10 * time.Second
)

// Writer records the events of one Balancer. Its methods belong to the goroutine that feeds the Balancer: they block no
// longer than writes to standard error and to the folder do.
type Writer struct {
	bal    *balancer.Balancer
	head   head
	stderr io.Writer
	log    *slog.Logger
	ring   *ring
	folder *folder // nil: none

	seq         uint64 // of the last event
	sinceHead   int    // bytes of records
	buf         bytes.Buffer
	headBuf     bytes.Buffer
	line        []byte
	nextWarning time.Time
}

// New begins a capture of a Balancer that has seen no event yet. balancerSettings are the settings and seed the seed
// that it was made with. Errors are logged, at most one every ten seconds, and stop nothing.
func New(set settings.Capture, node string, bal *balancer.Balancer, balancerSettings balancer.Settings, seed uint64,
	stderr io.Writer, log *slog.Logger) *Writer {
	w := &Writer{bal: bal, stderr: stderr, log: log, ring: newRing(ringBytes),
		head: head{Version: Version, Node: node, Began: time.Now().UnixNano(), Seed: seed, Settings: balancerSettings}}
	if set.Folder != "" {
		w.folder = openFolder(set.Folder, set.FileBytes)
	}
	w.writeHead(time.Duration(w.head.Began))
	return w
}

// Event records an event and the actions that answered it. It must be called before the Balancer handles the next event: a
// head that follows has the Balancer's state as it is now.
func (w *Writer) Event(at time.Duration, event balancer.Event, actions []balancer.Action, context EventContext) {
	r, err := newRecord(event, context)
	if err != nil {
		w.warn(err)
		return
	}
	if changed, ok := event.(balancer.SettingsChanged); ok {
		w.head.Settings = changed.Settings // of the checkpoints from here on
	}
	w.seq++
	r.Seq, r.At, r.Actions = w.seq, at, newActions(actions)
	for _, a := range r.Actions {
		if a.Status != 0 {
			r.Answer = a.Status
		}
	}
	w.buf.Reset()
	if err := encode(&w.buf, &r); err != nil {
		w.warn(err)
		return
	}
	fits := w.write(w.buf.Bytes(), false)
	if w.sinceHead >= headInterval || w.folder != nil && w.folder.needsHead(time.Now()) {
		w.writeHead(at)
	}
	if !fits {
		w.appendToFolder(w.buf.Bytes(), false)
	}
}

// writeHead lets a replay begin here: the records that follow can be played without those before.
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
	w.sinceHead = 0
}

// write hands a frame to standard error, the ring and the folder. It returns false if the folder's file is full.
func (w *Writer) write(frame []byte, isHead bool) (fits bool) {
	w.sinceHead += len(frame)
	w.writeLine(frame)
	w.ring.push(frame)
	return w.appendToFolder(frame, isHead)
}

// writeLine writes a frame to standard error, as one line with one Write.
func (w *Writer) writeLine(frame []byte) {
	w.line = append(w.line[:0], linePrefix...)
	w.line = base64.StdEncoding.AppendEncode(w.line, frame)
	w.line = append(w.line, '\n')
	if _, err := w.stderr.Write(w.line); err != nil {
		w.warn(err) // the log may go elsewhere
	}
}

// appendToFolder hands a frame to the folder, if there is one. It returns false if its file is full.
func (w *Writer) appendToFolder(frame []byte, isHead bool) (fits bool) {
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
	w.ring.each(w.writeLine)
}

// Close ends the capture. A nil Writer has nothing to end.
func (w *Writer) Close() {
	if w != nil && w.folder != nil {
		w.folder.close()
	}
}

// warn logs why a record is not everywhere where it should be, at most once in a warnInterval.
func (w *Writer) warn(err error) {
	if now := time.Now(); now.After(w.nextWarning) {
		w.nextWarning = now.Add(warnInterval)
		w.log.Warn("capture incomplete", "err", err)
	}
}
