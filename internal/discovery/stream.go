package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/discoveryapi"
	"hookwalk.example/hookwalk/internal/endpointlease"
)

// subscription is a call to discovery, and the watch that it becomes.
type subscription struct {
	d          *Source
	name       int
	generation int // of its address
	addr       string
	began      time.Duration
	whole      bool // it asks for the whole list, and no more
	lists      int
	cancel     context.CancelCauseFunc
}

// reading is what a stream has read: a list, or its end.
type reading struct {
	*subscription
	list  discoveryapi.List
	err   error // its end
	taken chan struct{}
}

// read makes the call and hands on each list of its answer, until that ends or can't be read.
func (s *subscription) read(ctx context.Context, query string) {
	defer s.cancel(nil)
	body, err := s.d.get(ctx, s.name, s.addr, query)
	if err == nil {
		defer body.Close()
		s.Part()
		err = s.follow(ctx, discoveryapi.NewReader(body, s))
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	s.hand(ctx, reading{subscription: s, err: err})
}

func (s *subscription) follow(ctx context.Context, in *discoveryapi.Reader) error {
	for {
		l, err := in.Next()
		if err != nil {
			return err
		}
		taken := make(chan struct{})
		if err := s.hand(ctx, reading{subscription: s, list: l, taken: taken}); err != nil {
			return err
		}
		<-taken
	}
}

// hand hands on what was read, unless nobody wants it any more.
func (s *subscription) hand(ctx context.Context, r reading) error {
	select {
	case s.d.reads <- r:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Blank, Begun and Part feed the clock with what comes.
func (s *subscription) Blank() {
	s.d.clocked(func(c *endpointlease.Tracker) { c.Activity(s.name, s.d.now()) })
}
func (s *subscription) Begun() {
	s.d.clocked(func(c *endpointlease.Tracker) { c.ListBegan(s.name, s.d.now()) })
}
func (s *subscription) Part() { s.Blank() }

func (d *Source) get(ctx context.Context, name int, addr, query string) (io.ReadCloser, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { d.clocked(func(c *endpointlease.Tracker) { c.Connected(name) }) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{resp.Status}
	}
	return resp.Body, nil
}

// StatusError is an answer to a call that has no list.
type StatusError struct{ Status string }

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered %s: if it goes on, it is down or has more callers than it can serve", e.Status)
}

// neverReached says that a call failed because discovery can't be reached: its machine refuses connections, or says
// nothing to those who want one. What this machine lacks for a connection says nothing of discovery.
func neverReached(err error) bool {
	var dial *net.OpError
	if !errors.As(err, &dial) || dial.Op != "dial" {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if dial.Timeout() {
		return true
	}
	for _, e := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
