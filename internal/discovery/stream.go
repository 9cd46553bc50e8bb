package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/endpointlease"
)

// Reasons why this process ended a stream, used as the cause of the stream's context.
var (
	errSuperseded = errors.New("the node holds a list from a newer address of discovery")
	errNotNeeded  = errors.New("the stream is no longer needed: another watch is healthy, or the polled list has arrived")
)

// errStalled ends a stream on which a list has begun but was not complete in time.
var errStalled = &discoveryapi.UnreadableError{Err: discoveryapi.ErrIncomplete}

// stream is a poll of discovery and the watch that the poll turns into. The tracker holds the stream's state and applies the
// rules for it.
type stream struct {
	source        *Source
	id            int // assigned by the tracker
	generation    int // the tracker's generation of addr
	addr          string
	openedAt      time.Duration
	pollOnly      bool // it requests the complete list without a watch
	listsReceived int
	cancel        context.CancelCauseFunc
}

// streamEvent is what a stream has read: a list, or the end of the stream.
type streamEvent struct {
	stream  *stream
	list    discoveryapi.List
	err     error         // if not nil, the stream has ended
	handled chan struct{} // closed when the list has been handled; the next one is not read before that
}

// newStream records a poll in the tracker and returns its stream. The caller holds the lock.
func (s *Source) newStream(now time.Duration) *stream {
	return &stream{
		source:     s,
		id:         s.tracker.StreamOpened(now, rand.Float64()),
		generation: s.tracker.Generation(),
		addr:       s.addr,
		openedAt:   now,
	}
}

// openStream begins a poll. After an address change it requests a watch with all changes from version 0 on, instead of
// first the complete list and then a watch: two polls per node would double the queue at the new discovery, which all nodes
// poll at the same time.
func (s *Source) openStream(ctx context.Context, opened *stream, readers *sync.WaitGroup) {
	opened.pollOnly = s.needCompleteList
	query := "?watch=1&from=" + strconv.FormatInt(s.baseVersion(opened), 10)
	if opened.pollOnly {
		query = ""
	}
	var streamCtx context.Context
	streamCtx, opened.cancel = context.WithCancelCause(ctx)
	s.streams[opened.id] = opened
	readers.Go(func() { opened.read(streamCtx, query) })
}

// endStream stops reading a stream. Its later events are ignored.
func (s *Source) endStream(id int, cause error) {
	s.streams[id].cancel(cause)
	delete(s.streams, id)
}

// read polls discovery and emits each list of the response, until the response ends or cannot be read.
func (st *stream) read(ctx context.Context, query string) {
	defer st.cancel(nil)
	body, err := st.source.get(ctx, st.id, st.addr, query)
	if err == nil {
		defer body.Close()
		st.Progress()
		err = st.readLists(ctx, discoveryapi.NewReader(body, st))
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	st.emit(ctx, streamEvent{stream: st, err: err})
}

func (st *stream) readLists(ctx context.Context, lists *discoveryapi.Reader) error {
	for {
		list, err := lists.Next()
		if err != nil {
			return err
		}
		handled := make(chan struct{})
		if err := st.emit(ctx, streamEvent{stream: st, list: list, handled: handled}); err != nil {
			return err
		}
		<-handled
	}
}

// emit sends an event to Run, unless the stream has been ended.
func (st *stream) emit(ctx context.Context, event streamEvent) error {
	select {
	case st.source.events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Heartbeat records a heartbeat.
func (st *stream) Heartbeat() {
	st.source.track(func(t *endpointlease.Tracker) { t.Activity(st.id, st.source.now()) })
}

// ObjectBegan records the first bytes of a list.
func (st *stream) ObjectBegan() {
	st.source.track(func(t *endpointlease.Tracker) { t.ListBegan(st.id, st.source.now()) })
}

// Progress records the head of a response or a part of a list.
func (st *stream) Progress() { st.Heartbeat() }
