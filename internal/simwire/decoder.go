package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"hookwalk.example/hookwalk/balancer"
)

const (
	readBufferBytes  = 1 << 20 // holds most batches, which the simulator writes at once
	maxEndpointLists = 16      // endpoint lists that a batch may define, numbered from 0
	maxQuotedBytes   = 40      // how much of an unknown name an error quotes
	noInstance       = -1      // no message has named an instance yet
)

// Names of the messages on the wire, and their values in order, which type fields numbers from 0. Values in parentheses
// are not read.
const (
	nameBatchStart      = "sync"             // clock time
	nameBatchEnd        = "eob"              // no values; a reply is due
	nameSelectInstance  = "about"            // instance of the messages that follow
	nameEndpointList    = "list"             // number of the endpoint list, count of the entries that follow
	nameEndpoint        = "item"             // ID, zone, kind, cell, state, (size), start time
	nameInstanceStarted = "hello"            // seed and settings of a new instance
	nameInstanceKilled  = "crash_now"        // no values; the instance is killed
	nameEndpointUpdate  = "announce"         // mode, number of an endpoint list, (version)
	nameRequest         = "job_in"           // ID, deadline, key, class, flags, (tenant), (expected work)
	nameTimerFired      = "ring"             // token of a timer that fired
	nameAttemptEnded    = "outcome"          // ID, server, latency, request done, attempt, outcome, (load report)
	nameClientGone      = "timed_out_client" // ID of a request whose client has given up
	nameResponseStarted = "flowing"          // ID, (server), (latency), attempt
	nameHealthChecked   = "checked"          // ignored: result of a health check
	namePeerMessage     = "mail"             // ignored: message of another instance
)

// Modes of an endpoint update.
const (
	endpointsChanged  = 0 // only changed entries
	endpointsComplete = 1 // the whole list
	endpointsCached   = 2 // the whole list, from before a restart
	watchFailed       = 3 // no list: the watch failed
)

// States of an endpoint.
const (
	stateDraining = 0 // finishes what it has
	stateRemoved  = 1 // has left the list
	stateReady    = 2 // takes requests
)

// clientRetryFlag is the bit in the flags of a request that marks it as a retry by its client.
const clientRetryFlag = 2

// Reasons why a line can't be read.
var (
	errEndsInBatch    = errors.New("input ends inside a batch")
	errNestedBatch    = errors.New("sync message inside a batch")
	errNoSettings     = errors.New("hello message has no settings")
	errListOutOfRange = errors.New("list number or length out of range")
)

// Decoder reads messages one at a time.
type Decoder struct {
	reader   *bufio.Reader
	line     int // number of lines read so far
	inBatch  bool
	instance int // instance that the following messages are for
	lists    [maxEndpointLists][]balancer.Server
}

// NewDecoder returns a Decoder that reads r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferBytes), instance: noInstance}
}

// Next returns the next message. It returns io.EOF if the input ends outside a batch, and a *LineError if it ends
// inside a batch or can't be read.
func (d *Decoder) Next() (Message, error) {
	for {
		text, err := d.readLine()
		if err == io.EOF && !d.inBatch {
			return Message{}, io.EOF
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return Message{}, &LineError{d.line + 1, errEndsInBatch}
		}
		if err != nil {
			return Message{}, &LineError{d.line + 1, err}
		}
		if text == "" {
			continue
		}
		message, complete, err := d.decode(text)
		if err != nil {
			return Message{}, &LineError{d.line, err}
		}
		if complete {
			return message, nil
		}
	}
}

// readLine returns the next line without its line ending. It returns io.EOF if the input ends before the line, and
// io.ErrUnexpectedEOF if it ends inside the line.
func (d *Decoder) readLine() (string, error) {
	text, err := d.reader.ReadString('\n')
	if err == io.EOF {
		if text == "" {
			return "", io.EOF
		}
		return "", io.ErrUnexpectedEOF
	}
	d.line++
	return strings.TrimRight(text, "\r\n"), err
}

// decode decodes one line. complete is false if the line is no message by itself, but applies to later lines of the
// batch.
func (d *Decoder) decode(text string) (message Message, complete bool, err error) {
	name, values, _ := strings.Cut(text, "\t")
	if name == nameBatchStart && d.inBatch {
		return message, false, errNestedBatch
	}
	if name != nameBatchStart && !d.inBatch {
		return message, false, fmt.Errorf("%s outside a batch", quote(name))
	}
	f := newFields(name, values)
	switch name {
	case nameBatchStart:
		d.inBatch, d.instance = true, noInstance
		return Message{Kind: BatchStarted, Instance: noInstance, Now: f.milliseconds(0)}, true, f.err
	case nameBatchEnd:
		d.inBatch = false
		return Message{Kind: BatchEnded, Instance: d.instance}, true, nil
	case nameSelectInstance:
		return message, false, d.selectInstance(f)
	case nameEndpointList:
		return message, false, d.readEndpointList(f)
	}
	if d.instance < 0 {
		return message, false, fmt.Errorf("%s before the first about message", quote(name))
	}
	message, err = d.decodeForInstance(f, values)
	return message, true, err
}

// decodeForInstance decodes a line that is for the selected instance.
func (d *Decoder) decodeForInstance(f *fields, values string) (Message, error) {
	message := Message{Kind: EventReceived, Instance: d.instance}
	switch f.message {
	case nameInstanceStarted:
		return d.decodeInstanceStarted(values)
	case nameInstanceKilled:
		message.Kind = InstanceKilled
	case nameHealthChecked, namePeerMessage:
		message.Kind = Ignored
	case nameEndpointUpdate:
		message.Event = d.decodeEndpointUpdate(f)
	case nameRequest:
		message.Event = balancer.Request{
			ID:          f.text(0),
			Deadline:    f.milliseconds(1),
			Class:       f.text(3),
			ClientRetry: f.optionalInteger(4)&clientRetryFlag != 0,
			Key:         f.optionalUint64(2),
			HasKey:      f.optionalText(2) != "",
		}
	case nameTimerFired:
		message.Event = balancer.TimerFired{Token: f.text(0)}
	case nameAttemptEnded:
		message.Event = balancer.AttemptEnded{
			ID:          f.text(0),
			Server:      f.text(1),
			Latency:     f.milliseconds(2),
			RequestDone: f.text(3) == "1",
			Attempt:     f.integer(4),
			Outcome:     f.outcome(5),
		}
	case nameClientGone:
		message.Event = balancer.ClientGone{ID: f.text(0)}
	case nameResponseStarted:
		message.Event = balancer.ResponseStarted{ID: f.text(0), Attempt: f.integer(3)}
	default:
		return message, fmt.Errorf("unknown message %s", quote(f.message))
	}
	return message, f.err
}

// decodeInstanceStarted decodes the start of an instance: a seed and the settings object, which may contain tabs.
func (d *Decoder) decodeInstanceStarted(values string) (Message, error) {
	seed, settings, ok := strings.Cut(values, "\t")
	if !ok {
		return Message{}, errNoSettings
	}
	f := newFields(nameInstanceStarted, seed)
	message := Message{Kind: InstanceStarted, Instance: d.instance, Seed: f.uint64(0)}
	if f.err != nil {
		return message, f.err
	}
	var err error
	message.Settings, err = ParseSettings([]byte(settings))
	return message, err
}

// decodeEndpointUpdate decodes an endpoint update, which refers to one of the endpoint lists of the batch.
func (d *Decoder) decodeEndpointUpdate(f *fields) balancer.Event {
	mode := f.integer(0)
	switch mode {
	case watchFailed:
		return balancer.WatchFailed{}
	case endpointsChanged, endpointsComplete, endpointsCached:
		list := f.integer(1)
		if f.err == nil && (list < 0 || list >= len(d.lists)) {
			f.fail(1, "is not a list number")
		}
		if f.err != nil {
			return nil
		}
		return balancer.EndpointUpdate{
			Complete: mode != endpointsChanged,
			Cached:   mode == endpointsCached,
			Servers:  d.lists[list],
		}
	default:
		f.fail(0, "is not a mode")
		return nil
	}
}

// selectInstance reads which instance the following messages are for.
func (d *Decoder) selectInstance(f *fields) error {
	instance := f.integer(0)
	if f.err == nil && instance < 0 {
		f.fail(0, "is negative")
	}
	d.instance = instance
	return f.err
}

// readEndpointList reads an endpoint list, whose entries are the lines that follow.
func (d *Decoder) readEndpointList(f *fields) error {
	number, length := f.integer(0), f.integer(1)
	if f.err != nil {
		return f.err
	}
	if number < 0 || number >= len(d.lists) || length < 0 {
		return errListOutOfRange
	}
	var servers []balancer.Server
	for i := range length {
		text, err := d.readLine()
		if err != nil {
			return fmt.Errorf("list ends after %d of %d items", i, length)
		}
		name, values, _ := strings.Cut(text, "\t")
		if name != nameEndpoint {
			return fmt.Errorf("want item %d of %d, got %s", i+1, length, quote(name))
		}
		item := newFields(name, values)
		servers = append(servers, item.server())
		if item.err != nil {
			return item.err
		}
	}
	d.lists[number] = servers
	return nil
}

// quote quotes a text of the input, and shortens it to maxQuotedBytes.
func quote(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}
