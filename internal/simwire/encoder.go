package simwire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// writeBufferBytes is enough for most replies, so that each is written at once.
const writeBufferBytes = 1 << 16

// Names of the actions on the wire, and their values in order.
const (
	nameActionInstance = "instance"       // instance of the actions that follow
	nameSend           = "forward"        // ID, server, time-out
	nameReject         = "turn_away"      // ID, Retry-After
	nameFail           = "report_failure" // ID
	nameSetTimer       = "remind"         // clock time, token
	nameSubscribe      = "subscribe"      // subscribeOn
	nameReplyEnd       = "yield"          // ends the reply

	// subscribeOn is the value that starts a subscription.
	subscribeOn = "1"
)

// Encoder writes replies.
type Encoder struct {
	writer   *bufio.Writer
	instance int // instance of the last action
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{writer: bufio.NewWriterSize(w, writeBufferBytes), instance: noInstance}
}

// Action adds an action of an instance to the reply. It omits Deny, Abort and FaultInjected: the simulator configures
// neither access lists nor fault injections, and its wire format has no such actions.
func (e *Encoder) Action(instance int, action balancer.Action) {
	if instance != e.instance {
		e.write(nameActionInstance, strconv.Itoa(instance))
		e.instance = instance
	}
	switch a := action.(type) {
	case balancer.Send:
		e.write(nameSend, a.ID, a.Server, milliseconds(a.Timeout))
	case balancer.Reject:
		e.write(nameReject, a.ID, milliseconds(a.RetryAfter))
	case balancer.Fail:
		e.write(nameFail, a.ID)
	case balancer.SetTimer:
		e.write(nameSetTimer, milliseconds(a.At), a.Token)
	case balancer.Subscribe:
		e.write(nameSubscribe, subscribeOn)
	}
}

// Flush ends the reply and sends it. It returns the first error of the underlying writer for any part of the reply.
func (e *Encoder) Flush() error {
	e.instance = noInstance
	e.write(nameReplyEnd)
	return e.writer.Flush()
}

// write writes one line. Flush returns the first error of the bufio.Writer.
func (e *Encoder) write(name string, values ...string) {
	e.writer.WriteString(name)
	for _, value := range values {
		e.writer.WriteByte('\t')
		e.writer.WriteString(value)
	}
	e.writer.WriteByte('\n')
}

// milliseconds formats a time in milliseconds, with all of its decimal places.
func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
