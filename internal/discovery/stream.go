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

// Why a stream was ended from this side, as the cause of its context.
var (
	errSuperseded = errors.New("a list of a later address of discovery is held")
	errNotNeeded  = errors.New("the stream is not needed: another one serves, or its one list has come")
)

// errStalled ends a stream whose list has begun and is not complete in time.
var errStalled = &discoveryapi.UnreadableError{Err: discoveryapi.ErrIncomplete}

// stream is a poll of discovery and the watch that it becomes. Its states, and the rules for them, are the tracker's.
type stream struct {
	source        *Source
	id            int // the tracker's
	generation    int // of its address
	addr          string
	openedAt      time.Duration
	pollOnly      bool // it asks for the complete list and for no watch
	listsReceived int
	cancel        context.CancelCauseFunc
}

// streamEvent is what a stream has read: a list, or its end.
type streamEvent struct {
	stream  *stream
	list    discoveryapi.List
	err     error         // not nil: its end
	handled chan struct{} // closed once a list is handled: the next one is read after it
}

// newStream has the tracker note a poll. The caller holds the lock.
func (s *Source) newStream(now time.Duration) *stream {
	return &stream{
		source:     s,
		id:         s.tracker.StreamOpened(now, rand.Float64()),
		generation: s.tracker.Generation(),
		addr:       s.addr,
		openedAt:   now,
	}
}

// openStream begins a poll. After an address change it asks for all changes from the first version on: polling the complete
// list and then the watch would double the queue at a discovery to which all nodes turn at once.
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

// endStream ends the reading of a stream. What it still brings is ignored.
func (s *Source) endStream(id int, cause error) {
	s.streams[id].cancel(cause)
	delete(s.streams, id)
}

// read polls, and hands on each list of the answer, until that ends or can't be read.
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

// emit hands an event to Run, unless the stream has been ended.
func (st *stream) emit(ctx context.Context, event streamEvent) error {
	select {
	case st.source.events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Heartbeat notes a heartbeat.
func (st *stream) Heartbeat() {
	st.source.track(func(t *endpointlease.Tracker) { t.Activity(st.id, st.source.now()) })
}

// ObjectBegan notes the first bytes of a list.
func (st *stream) ObjectBegan() {
	st.source.track(func(t *endpointlease.Tracker) { t.ListBegan(st.id, st.source.now()) })
}

// Progress notes the head of an answer, or a part of a list.
func (st *stream) Progress() { st.Heartbeat() }
