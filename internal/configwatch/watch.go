package configwatch

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/watchstream"
)

// watch opens a watch and posts its events until the watch or ctx ends. It returns the last event, which the caller
// posts.
func (s *Session) watch(ctx context.Context, open configversion.OpenWatch) configversion.SessionEvent {
	ended := configversion.WatchEnded{Watch: open.Watch}
	s.options.Counters.Watches.Add(1)
	c, err := connect(ctx, open.Address, &s.options)
	if err != nil {
		return ended
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.timeout = headTimeout
	text := fmt.Appendf(nil, "GET %s?%s HTTP/1.1\r\nHost: %s\r\n\r\n", configapi.PathWatch, open.Request.Query(), open.Address)
	response, err := c.exchangeHead(text, nil)
	if err != nil {
		return ended
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		apiError, err := readError(response)
		if err != nil {
			return ended
		}
		s.options.Log.Debug("watch rejected", "controller", open.Address, "err", apiError)
		return configversion.WatchRejected{Watch: open.Watch, Err: *apiError}
	}
	c.timeout = readTimeout
	err = s.readUpdates(ctx, open.Watch, response.Body)
	if ctx.Err() == nil {
		s.options.Log.Debug("watch ended", "controller", open.Address, "err", err)
	}
	return ended
}

// readUpdates posts the updates and the activity of a watch until the watch or ctx ends.
func (s *Session) readUpdates(ctx context.Context, watch uint64, body io.Reader) error {
	reporter := &activityReporter{session: s, ctx: ctx, watch: watch}
	reader := watchstream.NewReader[configapi.Update](body, maxUpdateBytes, reporter)
	for {
		update, err := reader.Next()
		if err != nil {
			return err
		}
		s.options.Counters.Updates.Add(1)
		s.post(ctx, configversion.WatchUpdated{Watch: watch, Update: update})
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// activityReporter posts the activity that watchstream reports for a watch.
type activityReporter struct {
	session *Session
	ctx     context.Context
	watch   uint64
}

// Heartbeat reports a heartbeat.
func (r *activityReporter) Heartbeat() {
	r.session.options.Counters.Heartbeats.Add(1)
	r.session.post(r.ctx, configversion.WatchActivity{Watch: r.watch})
}

// ObjectBegan reports that an update has begun to arrive.
func (r *activityReporter) ObjectBegan() { r.Progress() }

// Progress reports a fragment of an update.
func (r *activityReporter) Progress() {
	r.session.post(r.ctx, configversion.WatchActivity{Watch: r.watch, UpdateInProgress: true})
}
