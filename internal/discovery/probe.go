package discovery

import (
	"context"
	"math/rand/v2"
	"net/http"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// probe connects to an address of discovery, closes the connection, and records in the tracker whether it succeeded.
func (s *Source) probe(ctx context.Context, addr string) {
	conn, err := s.Client.Transport.(*http.Transport).DialContext(ctx, "tcp", addr)
	result := endpointlease.ProbeConnected
	switch {
	case err == nil:
		conn.Close() // nothing was sent
	case isUnreachable(err):
		result = endpointlease.ProbeUnreachable
	default:
		result = endpointlease.ProbeInconclusive
	}
	s.track(func(t *endpointlease.Tracker) { t.ProbeEnded(s.now(), result, rand.Float64()) })
	signal(s.probeEnds)
}
