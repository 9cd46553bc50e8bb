package metrics

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// exportTimeout limits the time of one write: of a datagram, or of a batch to a pipe that is not read.
	exportTimeout = 100 * time.Millisecond
	// fileMode allows collectors that run as other users to read the file.
	fileMode = 0o644
)

// exporter is a destination for batches. Only Run calls its methods.
type exporter interface {
	// export writes a batch of whole lines, each with its line end. It may block for up to exportTimeout.
	export(batch []byte) error
	// endFlush is called after the last batch of a flush.
	endFlush()
	close()
}

// lineExporter writes each line with a separate Write, so that it does not mix with lines that others write to w.
type lineExporter struct{ w io.Writer }

func (e lineExporter) export(batch []byte) error {
	for line := range bytes.Lines(batch) {
		if _, err := e.w.Write(line); err != nil {
			return err
		}
	}
	return nil
}

func (lineExporter) endFlush() {}
func (lineExporter) close()    {}

// fileExporter appends to a file. It opens the file again for each flush, because the file may have been rotated.
type fileExporter struct {
	path         string
	file         *os.File // nil: not open
	partialWrite bool     // the file's last line is incomplete
}

func (e *fileExporter) export(batch []byte) error {
	if err := e.open(); err != nil {
		return err
	}
	e.file.SetWriteDeadline(time.Now().Add(exportTimeout)) // has an effect only on pipes, which need it
	if e.partialWrite {
		if _, err := e.file.Write([]byte("\n")); err != nil {
			return err
		}
		e.partialWrite = false
	}
	n, err := e.file.Write(batch)
	if err == nil {
		return nil
	}
	if n > 0 { // on a full disk or a pipe: the next batch must not continue a partial line
		e.partialWrite = !e.removeLast(n)
	}
	e.endFlush()
	return err
}

// open opens the file if it is not open.
func (e *fileExporter) open() error {
	if e.file != nil {
		return nil
	}
	// Without O_NONBLOCK, opening a pipe that has no reader would block forever.
	f, err := os.OpenFile(e.path, os.O_WRONLY|os.O_APPEND|os.O_CREATE|syscall.O_NONBLOCK, fileMode)
	if err != nil {
		return err
	}
	e.file = f
	return nil
}

// removeLast removes the last n bytes of the file and reports whether it succeeded.
func (e *fileExporter) removeLast(n int) bool {
	end, err := e.file.Seek(0, io.SeekEnd)
	return err == nil && e.file.Truncate(end-int64(n)) == nil
}

func (e *fileExporter) endFlush() {
	if e.file != nil {
		e.file.Close()
		e.file = nil
	}
}

func (e *fileExporter) close() { e.endFlush() }

// udpExporter sends each batch as one datagram.
type udpExporter struct {
	addr string
	conn net.Conn // nil: not yet dialed
}

func (e *udpExporter) export(batch []byte) error {
	if e.conn == nil {
		conn, err := net.DialTimeout("udp", e.addr, exportTimeout)
		if err != nil {
			return err
		}
		e.conn = conn
	}
	e.conn.SetWriteDeadline(time.Now().Add(exportTimeout))
	if _, err := e.conn.Write(bytes.TrimSuffix(batch, []byte("\n"))); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

func (*udpExporter) endFlush() {}

func (e *udpExporter) close() {
	if e.conn != nil {
		e.conn.Close()
	}
}
