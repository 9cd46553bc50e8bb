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
	// ringBytes is the size of the ring buffer for Dump. The queue of asyncwriter.Stderr can hold all of it as base64.
	ringBytes = 768 << 10
	// headInterval is the number of record bytes between two heads. It is small enough that the ring always contains
	// several heads, so that a dump can be replayed, but each head requires a checkpoint of the balancer.
	headInterval = 128 << 10
	// warnInterval is the minimum time between two warnings about records that could not be written.
	warnInterval = 10 * time.Second
)

// Writer records the events of one Balancer. Its methods must be called from the goroutine that calls the Balancer. They
// block only for writes to standard error and to the folder.
type Writer struct {
	bal    *balancer.Balancer
	head   head
	stderr io.Writer
	log    *slog.Logger
	ring   *ring
	folder *folder // nil: no files are written

	seq         uint64 // number of the last event
	sinceHead   int    // bytes of records since the last head
	buf         bytes.Buffer
	headBuf     bytes.Buffer
	line        []byte
	nextWarning time.Time
}

// New starts a capture of a Balancer that has not handled any event yet and was created with balancerSettings and seed.
// Errors are logged, at most one every ten seconds, and do not stop the capture.
func New(set settings.Capture, node string, bal *balancer.Balancer, balancerSettings balancer.Settings, seed uint64,
	stderr io.Writer, log *slog.Logger) *Writer {
	w := &Writer{bal: bal, stderr: stderr, log: log, ring: newRing(ringBytes),
		head: head{Version: Version, Node: node, StartedAt: time.Now().UnixNano(), Seed: seed, Settings: balancerSettings}}
	if set.Folder != "" {
		w.folder = openFolder(set.Folder, set.FileBytes)
	}
	w.writeHead(time.Duration(w.head.StartedAt))
	return w
}

// LimitRing reduces the ring buffer to a number of bytes. Like Event, it must not be called concurrently.
func (w *Writer) LimitRing(bytes int) {
	limited := newRing(min(bytes, ringBytes))
	w.ring.each(limited.push)
	w.ring = limited
}

// Event records an event and the resulting actions. It must be called before the Balancer handles the next event, because
// it may write a head with the current state of the Balancer.
func (w *Writer) Event(at time.Duration, event balancer.Event, actions []balancer.Action, context EventContext) {
	r, err := newRecord(event, context)
	if err != nil {
		w.warn(err)
		return
	}
	if changed, ok := event.(balancer.SettingsChanged); ok {
		w.head.Settings = changed.Settings // for the heads from here on
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

// writeHead writes a head, at which a replay can start without the earlier records.
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

// write writes a frame to standard error, the ring and the folder. It returns false if it does not fit into the folder's
// open file.
func (w *Writer) write(frame []byte, isHead bool) (fits bool) {
	w.sinceHead += len(frame)
	w.writeLine(frame)
	w.ring.push(frame)
	return w.appendToFolder(frame, isHead)
}

// writeLine writes a frame to standard error as one line, with a single Write.
func (w *Writer) writeLine(frame []byte) {
	w.line = append(w.line[:0], linePrefix...)
	w.line = base64.StdEncoding.AppendEncode(w.line, frame)
	w.line = append(w.line, '\n')
	if _, err := w.stderr.Write(w.line); err != nil {
		w.warn(err) // the log may have another destination
	}
}

// appendToFolder writes a frame to the folder, if there is one. It returns false if it does not fit into the open file.
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

// Dump writes the records in the ring to standard error again.
func (w *Writer) Dump() {
	w.ring.each(w.writeLine)
}

// Close ends the capture. On a nil Writer it does nothing.
func (w *Writer) Close() {
	if w != nil && w.folder != nil {
		w.folder.close()
	}
}

// warn logs why a record was not written to all destinations, at most once per warnInterval.
func (w *Writer) warn(err error) {
	if now := time.Now(); now.After(w.nextWarning) {
		w.nextWarning = now.Add(warnInterval)
		w.log.Warn("capture incomplete", "err", err)
	}
}
