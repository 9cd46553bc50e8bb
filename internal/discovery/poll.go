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

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// StatusError says that discovery answered a poll with another status than 200: it is down behind a proxy, or overloaded.
// The tracker tells the two apart by how long the answer took.
type StatusError struct{ Status string }

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered %s: if it goes on, it is down or has more pollers than it can serve", e.Status)
}

// get polls discovery and returns the body of a good answer, which the caller closes. The error is a *StatusError, or that
// of the connection.
func (s *Source) get(ctx context.Context, id int, addr, query string) (io.ReadCloser, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.track(func(t *endpointlease.Tracker) { t.Connected(id) }) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{resp.Status}
	}
	return resp.Body, nil
}

// unreachableErrors are what the system says of a dial that fails at the other end or on the way there.
var unreachableErrors = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN,
}

// isUnreachable says whether a poll failed because discovery can't be reached: its machine refuses connections, or answers
// nothing to those who want one. A dial that fails on this machine, as for want of descriptors, says nothing about
// discovery, and must not renew the lease.
func isUnreachable(err error) bool {
	var dial *net.OpError
	if !errors.As(err, &dial) || dial.Op != "dial" {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if dial.Timeout() {
		return true
	}
	for _, errno := range unreachableErrors {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
