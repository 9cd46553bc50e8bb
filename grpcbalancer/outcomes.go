package grpcbalancer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hookwalk.example/hookwalk/balancer"
)

// RejectedKey is the trailer with which a server states that it has not run a call and will not run it. The value is 1, and the
// status code is UNAVAILABLE or RESOURCE_EXHAUSTED.
const RejectedKey = "hookwalk-turned-away"

// Errors of the picker. errUnreachable: the connection to the server has failed. errSendNotAllowed: the engine no longer allows
// the attempt to be sent. errStreamRefused: grpc-go tried a transparent retry.
var (
	errUnreachable    = status.Error(codes.Unavailable, "hookwalk: the server can't be reached")
	errSendNotAllowed = status.Error(codes.Unavailable, "hookwalk: nothing new may be sent to the server")
	errStreamRefused  = status.Error(codes.Unavailable, "hookwalk: the server refused the stream unprocessed")
)

// outcomeOf returns the outcome of an attempt, derived from what the picker recorded and what grpc-go returned. The order of
// the cases matters: conditions that prove that the attempt never ran precede those that only suggest how it ended.
func outcomeOf(a *attempt, err error, trailer metadata.MD) balancer.Outcome {
	code := status.Code(err)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		return balancer.Success
	case a.sendDenied:
		return balancer.NotSent // nothing was sent, which tells nothing about the server
	case a.picks == 0 && errors.Is(a.call.ctx.Err(), context.Canceled):
		return balancer.NotSent // the client canceled the call before a connection was ready
	case a.picks == 0:
		return balancer.Unreachable
	case errors.Is(a.call.ctx.Err(), context.Canceled) && code == codes.Canceled:
		return balancer.Canceled // the client canceled the call, which tells nothing about the server
	case !a.sent && code == codes.DeadlineExceeded:
		return balancer.Overloaded // the attempt waited because the server's limit of concurrent streams was reached
	case !a.sent:
		return balancer.Unreachable // the connection ended before the header of the attempt was written
	case a.picks > 1:
		// grpc-go asks for a connection again only if the server refused the stream unprocessed: retries by policy are
		// disabled.
		return balancer.Overloaded
	case (code == codes.Unavailable || code == codes.ResourceExhausted) && rejectedByServer(trailer):
		return balancer.Overloaded
	case applicationCodes[code] && a.received:
		return balancer.Success
	case code == codes.DeadlineExceeded && !a.received:
		return balancer.TimedOut
	case a.received:
		return balancer.Failure
	}
	return balancer.ConnectionLost
}

// rejectedByServer reports whether a trailer states that the call has not run.
func rejectedByServer(trailer metadata.MD) bool {
	v := trailer.Get(RejectedKey)
	return len(v) == 1 && v[0] == "1"
}

// applicationCodes are the status codes that are answers of the application. Clients get them unchanged.
var applicationCodes = map[codes.Code]bool{codes.InvalidArgument: true, codes.NotFound: true, codes.AlreadyExists: true,
	codes.PermissionDenied: true, codes.Unauthenticated: true, codes.FailedPrecondition: true, codes.OutOfRange: true,
	codes.Unimplemented: true}
