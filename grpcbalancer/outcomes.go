package grpcbalancer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hookwalk.example/hookwalk/balancer"
)

// RejectedKey is the trailer by which a server says, with the value 1, that it has not run a call and will not. It goes
// with UNAVAILABLE or RESOURCE_EXHAUSTED.
const RejectedKey = "hookwalk-turned-away"

// Errors of the picker: the server can't be reached, nothing new may be sent to it, the library tried to send once more.
var (
	errUnreachable    = status.Error(codes.Unavailable, "hookwalk: the server can't be reached")
	errSendNotAllowed = status.Error(codes.Unavailable, "hookwalk: nothing new may be sent to the server")
	errStreamRefused  = status.Error(codes.Unavailable, "hookwalk: the server refused the stream unprocessed")
)

// outcomeOf is the outcome of an attempt, from what its picker and the library saw of it. The order of the cases matters:
// what proves that an attempt never ran comes before what only suggests how it ended.
func outcomeOf(a *attempt, err error, trailer metadata.MD) balancer.Outcome {
	code := status.Code(err)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		return balancer.Success
	case a.sendDenied:
		return balancer.NotSent // nothing was sent, and it says nothing of the server
	case a.picks == 0 && errors.Is(a.call.ctx.Err(), context.Canceled):
		return balancer.NotSent // the client canceled before a connection was up
	case a.picks == 0:
		return balancer.Unreachable
	case errors.Is(a.call.ctx.Err(), context.Canceled) && code == codes.Canceled:
		return balancer.Canceled // the client canceled: that says nothing of the server
	case !a.sent && code == codes.DeadlineExceeded:
		return balancer.Overloaded // it waited for one of the concurrent streams that the server allows
	case !a.sent:
		return balancer.Unreachable // the connection ended before its header was written
	case a.picks > 1:
		// The library asks for a connection once more only where the server refused the stream unprocessed: its
		// retries by policy are off.
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

// rejectedByServer reports whether a trailer says that the call has not run.
func rejectedByServer(trailer metadata.MD) bool {
	v := trailer.Get(RejectedKey)
	return len(v) == 1 && v[0] == "1"
}

// applicationCodes are the codes of errors that are an application's answer: clients get them unchanged.
var applicationCodes = map[codes.Code]bool{codes.InvalidArgument: true, codes.NotFound: true, codes.AlreadyExists: true,
	codes.PermissionDenied: true, codes.Unauthenticated: true, codes.FailedPrecondition: true, codes.OutOfRange: true,
	codes.Unimplemented: true}
