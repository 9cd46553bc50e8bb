package grpcbalancer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"hookwalk.example/hookwalk/balancer"
)

// RejectedKey is the trailer, with the value 1, by which a box says that it has not run a call and will not. It goes
// with UNAVAILABLE or RESOURCE_EXHAUSTED.
const RejectedKey = "hookwalk-turned-away"

// What the picker says of an attempt whose box can't be reached, or that the library wanted to send once more.
var (
	errUnreachable = status.Error(codes.Unavailable, "hookwalk: the box can't be reached")
	errStopped     = status.Error(codes.Unavailable, "hookwalk: nothing new may go to the box")
	errAgain       = status.Error(codes.Unavailable, "hookwalk: the box refused the stream unprocessed")
)

// ending says how an attempt ended, from what its picker and the library saw of it.
func ending(a *attempt, err error, trailer metadata.MD) balancer.Outcome {
	code := status.Code(err)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		return balancer.Success
	case a.stopped:
		return balancer.NotSent // nothing was sent, and it says nothing of the box
	case a.picks == 0 && errors.Is(a.call.ctx.Err(), context.Canceled):
		return balancer.NotSent // its client left before a connection was up
	case a.picks == 0:
		return balancer.Unreachable
	case errors.Is(a.call.ctx.Err(), context.Canceled) && code == codes.Canceled:
		return balancer.Canceled // its client left: that says nothing of the box
	case !a.sent && code == codes.DeadlineExceeded:
		return balancer.Overloaded // it waited for one of the streams that the box allows
	case !a.sent:
		return balancer.Unreachable // the connection ended before its header was written
	case a.picks > 1:
		// The library asks for a connection once more only where the server refused the stream unprocessed: its
		// retries by policy are off.
		return balancer.Overloaded
	case (code == codes.Unavailable || code == codes.ResourceExhausted) && one(trailer):
		return balancer.Overloaded
	case answers[code] && a.got:
		return balancer.Success
	case code == codes.DeadlineExceeded && !a.got:
		return balancer.TimedOut
	case a.got:
		return balancer.Failure
	}
	return balancer.ConnectionLost
}

func one(trailer metadata.MD) bool {
	v := trailer.Get(RejectedKey)
	return len(v) == 1 && v[0] == "1"
}

// answers are the codes with which a box tells what it has found out: its client gets them as they are.
var answers = map[codes.Code]bool{codes.InvalidArgument: true, codes.NotFound: true, codes.AlreadyExists: true,
	codes.PermissionDenied: true, codes.Unauthenticated: true, codes.FailedPrecondition: true, codes.OutOfRange: true,
	codes.Unimplemented: true}
