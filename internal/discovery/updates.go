package discovery

import (
	"context"
	"errors"
	"io"
	"time"

	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/endpointlease"
	"hookwalk.example/hookwalk/internal/engine"
)

const (
	// olderListsUntilAccepted is the number of complete lists in a row, all older than the held list, of which the last is
	// applied. A single older list may be a delayed answer, and would bring back endpoints that have drained. A discovery
	// that has lost its state restarts its version numbers, so that all of its lists are older.
	olderListsUntilAccepted = 3
	// endLogInterval is the minimum interval between log lines about polls that ended without a list: while discovery is
	// down, a node's polls end several times a second.
	endLogInterval = time.Second
)

// handle processes what a stream has read, unless the stream has already been ended.
func (s *Source) handle(ctx context.Context, event streamEvent) {
	if event.handled != nil {
		defer close(event.handled)
	}
	st := event.stream
	switch {
	case s.streams[st.id] != st: // the stream has been ended meanwhile
	case event.err != nil:
		s.streamFailed(ctx, st, event.err)
	case st.generation < s.heldGeneration:
		s.track(func(t *endpointlease.Tracker) { t.StreamEnded(st.id, s.now()) })
		s.endStream(st.id, errSuperseded)
	default:
		s.handleList(ctx, st, event.list)
	}
}

// handleList applies a list if it is valid.
func (s *Source) handleList(ctx context.Context, st *stream, list discoveryapi.List) {
	if st.pollOnly {
		list.Complete = true
	}
	if err := s.checkList(st, list); err != nil {
		s.streamFailed(ctx, st, err)
		return
	}
	// The lease is renewed before the update is applied. Otherwise requests that waited for the list would be rejected.
	s.track(func(t *endpointlease.Tracker) {
		if st.pollOnly {
			t.PollAnswered(st.id, s.now())
		} else {
			t.ListComplete(st.id, s.now())
		}
	})
	if s.ApplyUpdate(ctx, ToUpdate(list)) != nil {
		return // ctx has ended
	}
	st.listsReceived++
	s.heldGeneration, s.consecutiveOlderLists = st.generation, 0
	s.version.Store(list.Version)
	s.needCompleteList = s.needCompleteList && !list.Complete
	if st.pollOnly {
		s.endStream(st.id, errNotNeeded)
	}
}

// baseVersion returns the version to which a stream's changes apply. It is 0 after an address change, because each
// discovery may number its versions independently.
func (s *Source) baseVersion(st *stream) int64 {
	if st.generation != s.heldGeneration {
		return 0
	}
	return s.Version()
}

// checkList returns nil if a list can be applied, and otherwise a *discoveryapi.UnreadableError that contains the reason.
func (s *Source) checkList(st *stream, list discoveryapi.List) error {
	base := s.baseVersion(st)
	switch {
	case list.Complete && list.Endpoints == nil:
		return &discoveryapi.UnreadableError{Err: discoveryapi.ErrNoEndpoints}
	case !list.Complete && list.Version < base:
		return &discoveryapi.UnreadableError{Err: discoveryapi.ErrVersionGap}
	case list.Complete && list.Version < base && s.consecutiveOlderLists < olderListsUntilAccepted-1:
		s.consecutiveOlderLists++
		return &discoveryapi.UnreadableError{Err: discoveryapi.ErrOlderVersion}
	}
	return nil
}

// streamFailed ends a stream that has failed. If the stream sent something that cannot be read or applied, all other
// streams end as well, because their changes build on the change that is now missing, and the complete list is polled
// next. If Config.Polled is set, the decision module is notified when no stream is left. It responds by requesting a poll,
// which has no effect here: the tracker schedules the next poll.
func (s *Source) streamFailed(ctx context.Context, st *stream, err error) {
	s.endStream(st.id, err)
	unreadable := errors.As(err, new(*discoveryapi.UnreadableError))
	s.needCompleteList = s.needCompleteList || unreadable
	s.track(func(t *endpointlease.Tracker) { noteFailure(t, st.id, s.now(), err) })
	if unreadable {
		for id := range s.streams {
			s.endStream(id, err)
			s.track(func(t *endpointlease.Tracker) { t.StreamEnded(id, s.now()) })
		}
	}
	s.logEnd(st, err, unreadable)
	if s.polled && len(s.streams) == 0 {
		s.ApplyUpdate(ctx, engine.Update{WatchFailed: true}) // returns an error only if ctx ends
	}
}

// noteFailure records in the tracker that a stream has ended, and what its error says about discovery.
func noteFailure(t *endpointlease.Tracker, id int, now time.Duration, err error) {
	switch {
	case errors.As(err, new(*discoveryapi.UnreadableError)):
		t.MalformedList(id, now)
	case errors.As(err, new(*StatusError)):
		t.PollRejected(id, now)
	case isUnreachable(err):
		t.Unreachable(id, now)
	case errors.Is(err, io.EOF):
		t.StreamClosed(id)
	default:
		t.StreamFailed(id)
	}
	t.StreamEnded(id, now)
}

// logEnd logs the end of a stream. The end of a stream that sent a list or something unreadable is always logged. The end of
// any other stream is logged only if the last line is older than endLogInterval. Each line has the number of streams that
// ended since the previous line.
func (s *Source) logEnd(st *stream, err error, unreadable bool) {
	s.streamsEndedSinceLog++
	if st.listsReceived == 0 && !unreadable && time.Since(s.lastEndLogged) <= endLogInterval {
		return
	}
	s.log.Warn("discovery stream ended", "addr", st.addr, "lists_received", st.listsReceived, "list_state", s.State(), "err", err,
		"ended_since_last_line", s.streamsEndedSinceLog, "open_for", s.now()-st.openedAt)
	s.streamsEndedSinceLog, s.lastEndLogged = 0, time.Now()
}
