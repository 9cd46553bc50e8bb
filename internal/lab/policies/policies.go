// Package policies implements reference policies that the lab compares with the decision module. They have the
// interface of the module: they take events and return actions. They choose a server by a textbook rule and follow the
// rules for retries, rejections and draining servers, but ignore health, warm-up and contention.
package policies

import (
	"errors"
	"fmt"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Names of policies in scenario files and reports.
const (
	Module     = "deckrelay"    // the decision module, by the name of its first version
	Random     = "random"       // a random server
	RoundRobin = "round-robin"  // the servers in turn
	LeastOfTwo = "least-of-two" // of two different servers, the one with fewer attempts in flight; ties go to the first
	TwoRandom  = "two-random"   // as LeastOfTwo, but drawn with replacement; ties are broken at random
	TwoLeft    = "two-left"     // as LeastOfTwo, but one from each half of the list; ties go to the first half
	Oracle     = "oracle"       // the server that actually holds the fewest requests
)

// Names are the names of all policies.
var Names = []string{Module, Random, RoundRobin, LeastOfTwo, TwoRandom, TwoLeft, Oracle}

// errNoInFlight is returned for an oracle without the servers' numbers of requests.
var errNoInFlight = errors.New("policy oracle requires the number of requests that each server holds")

// Decider is the decision module or a reference policy.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// InFlight returns the number of requests that a server actually holds.
type InFlight func(server string) int

// New returns a policy by its name. Only Oracle uses inFlight; for other policies it may be nil.
func New(name string, settings balancer.Settings, seed uint64, inFlight InFlight) (Decider, error) {
	if name == Module {
		return balancer.New(settings, seed)
	}
	r := newReference(settings, seed)
	switch name {
	case Random:
		r.choose = r.random
	case RoundRobin:
		r.choose = r.roundRobin()
	case LeastOfTwo:
		r.choose = r.leastOfTwo
	case TwoRandom:
		r.choose = r.twoRandom
	case TwoLeft:
		r.choose = r.twoLeft
	case Oracle:
		if inFlight == nil {
			return nil, errNoInFlight
		}
		r.choose = r.shortestQueue(inFlight)
	default:
		return nil, fmt.Errorf("unknown policy %q", name)
	}
	return r, nil
}
