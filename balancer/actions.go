package balancer

import "time"

// Action is something that the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0), which times out after Timeout.
	Send struct {
		ID, Server string
		Timeout    time.Duration
	}
	// Reject is a final answer that promises that a retry does no harm. Balancer.giveUp lists the reasons.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// Deny is the final answer to a request that the access list keeps out, whatever else has its ID.
	Deny struct{ ID string }
	// SetTimer asks for a TimerFired with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the endpoint list and its changes (discoverypoll.go).
	Subscribe struct{}
	// FaultInjected says that a fault is injected into a request, and by which fault injection.
	FaultInjected struct{ ID, FaultInjection string }
	// Abort is the final answer of an injected fault, before any attempt.
	Abort struct {
		ID         string
		Status     int           // 503, which promises that a retry does no harm, or 500
		RetryAfter time.Duration // advice; 0: none
	}
)

func (Send) action()          {}
func (Reject) action()        {}
func (Fail) action()          {}
func (Deny) action()          {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}
func (FaultInjected) action() {}
func (Abort) action()         {}
