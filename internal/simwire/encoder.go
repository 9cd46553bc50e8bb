package simwire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// writeBufferBytes holds most replies, so that they are written at once.
const writeBufferBytes = 1 << 16

// Encoder writes replies.
type Encoder struct {
	writer   *bufio.Writer
	instance int // that the last action was of
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{writer: bufio.NewWriterSize(w, writeBufferBytes), instance: noInstance}
}

// Action adds one action of an instance to the reply. Actions of which the simulator knows nothing are left out.
func (e *Encoder) Action(instance int, action balancer.Action) {
	if instance != e.instance {
		e.write("instance", strconv.Itoa(instance))
		e.instance = instance
	}
	switch a := action.(type) {
	case balancer.Send:
		e.write("forward", a.ID, a.Server, milliseconds(a.Timeout))
	case balancer.Reject:
		e.write("turn_away", a.ID, milliseconds(a.RetryAfter))
	case balancer.Fail:
		e.write("report_failure", a.ID)
	case balancer.SetTimer:
		e.write("remind", milliseconds(a.At), a.Token)
	case balancer.Subscribe:
		e.write("subscribe", "1")
	}
}

// Flush ends the reply and sends it. The error is that of the writer, for any part of the reply.
func (e *Encoder) Flush() error {
	e.instance = noInstance
	e.write("yield")
	return e.writer.Flush()
}

// write writes one line. The bufio.Writer keeps its first error until Flush.
func (e *Encoder) write(name string, values ...string) {
	e.writer.WriteString(name)
	for _, value := range values {
		e.writer.WriteByte('\t')
		e.writer.WriteString(value)
	}
	e.writer.WriteByte('\n')
}

// milliseconds writes a time with all of its digits.
func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
