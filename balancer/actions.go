package balancer

import "time"

// Action is an instruction to the host. Handle returns actions in the order in which they must be carried
// out. An Action has one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Attempts are numbered from 0. The attempt times out after
	// Timeout.
	Send struct {
		ID, Server string
		Timeout    time.Duration
		// SendBy is the clock time until which the request may be written, 0 for no limit. Later it may run a
		// second time.
		SendBy time.Duration
	}
	// Reject is a final answer which guarantees that a retry does no harm. Balancer.giveUp lists the reasons.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice to the client; 0: none
	}
	// Fail is a final answer without that guarantee: the request may have run.
	Fail struct{ ID string }
	// Deny is the final answer to a request whose client the access list does not admit. It does not refer to
	// any other request with the same ID.
	Deny struct{ ID string }
	// SetTimer asks for a TimerFired event with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the endpoint list and its changes (discoverypoll.go).
	Subscribe struct{}
	// FaultInjected reports that a fault is injected into a request, and by which fault injection.
	FaultInjected struct{ ID, FaultInjection string }
	// Abort is the final answer to a request that a fault injection aborts before its first attempt.
	Abort struct {
		ID         string
		Status     int           // 503, which guarantees that a retry does no harm, or 500
		RetryAfter time.Duration // advice to the client; 0: none
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
