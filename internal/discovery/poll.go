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

// StatusError means that a poll was answered with a status other than 200. Either discovery is overloaded, or a proxy
// answers while discovery is down. The tracker distinguishes the two by how long the answer took.
type StatusError struct{ Status string }

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered %s: if this continues, discovery is down or has more pollers than it can serve", e.Status)
}

// get polls discovery and returns the body of a successful response, which the caller closes. The error is a *StatusError
// or an error of the connection.
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

// unreachableErrors are the system errors of a dial that fails at the remote end or on the way there.
var unreachableErrors = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN,
}

// isUnreachable reports whether a poll failed because discovery cannot be reached: its machine refuses connections or
// does not respond to connection attempts. A dial that fails on this machine, for example because it is out of file
// descriptors, says nothing about discovery and must not renew the lease.
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
