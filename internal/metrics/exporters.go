package metrics

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	sendTime = 100 * time.Millisecond // for a datagram to go, or a pipe to take a batch
	fileMode = 0o644
)

var errLong = errors.New("a line is longer than max_batch_bytes")

// out is where batches go. Each ends with a line end.
type out interface {
	write(batch []byte) error
	flushed() // no more comes for a while
	close()
}

// lineOut writes every line with a Write of its own, for others write there too.
type lineOut struct{ w io.Writer }

func (o lineOut) write(batch []byte) error {
	for line := range bytes.Lines(batch) {
		if _, err := o.w.Write(line); err != nil {
			return err
		}
	}
	return nil
}

func (lineOut) flushed() {}
func (lineOut) close()   {}

// fileOut appends to a file, which it opens anew for each flush: it may have been moved away.
type fileOut struct {
	path string
	f    *os.File
	torn bool // the last line is not whole
}

func (o *fileOut) write(batch []byte) error {
	if o.f == nil {
		// A pipe that nobody reads must not hold the writer up.
		f, err := os.OpenFile(o.path, os.O_WRONLY|os.O_APPEND|os.O_CREATE|syscall.O_NONBLOCK, fileMode)
		if err != nil {
			return err
		}
		o.f = f
	}
	o.f.SetWriteDeadline(time.Now().Add(sendTime)) // only pipes have one, and need it
	if o.torn {
		if _, err := o.f.Write([]byte("\n")); err != nil {
			return err
		}
		o.torn = false
	}
	n, err := o.f.Write(batch)
	if err != nil && n > 0 {
		o.torn = !o.cut(n)
	}
	if err != nil {
		o.flushed()
	}
	return err
}

// cut takes back the end of a file: what comes next must not go on in the middle of a line.
func (o *fileOut) cut(n int) bool {
	end, err := o.f.Seek(0, io.SeekEnd)
	return err == nil && o.f.Truncate(end-int64(n)) == nil
}

func (o *fileOut) flushed() {
	if o.f != nil {
		o.f.Close()
		o.f = nil
	}
}

func (o *fileOut) close() { o.flushed() }

// udpOut sends each batch as one datagram.
type udpOut struct {
	addr string
	conn net.Conn
}

func (o *udpOut) write(batch []byte) error {
	if o.conn == nil {
		c, err := net.DialTimeout("udp", o.addr, sendTime)
		if err != nil {
			return err
		}
		o.conn = c
	}
	o.conn.SetWriteDeadline(time.Now().Add(sendTime))
	if _, err := o.conn.Write(bytes.TrimSuffix(batch, []byte("\n"))); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

func (*udpOut) flushed() {}

func (o *udpOut) close() {
	if o.conn != nil {
		o.conn.Close()
	}
}
