// Package policies has what the lab measures the decision module against: small reference policies with the module's own
// interface, events in and actions out. They choose a server by a textbook rule and keep the rules on retries, rejections
// and drains; they know nothing of health, warm-up or crowding.
package policies

import (
	"errors"
	"fmt"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Names of policies, as scenario files and reports have them.
const (
	Module     = "deckrelay"    // the decision module; the name is that of its first version
	Random     = "random"       // any server
	RoundRobin = "round-robin"  // one after another
	LeastOfTwo = "least-of-two" // the one with fewer attempts of two different servers, ties to the first
	TwoRandom  = "two-random"   // the same of two draws, which may be one server; ties are drawn
	TwoLeft    = "two-left"     // the same of one draw from each half of the list, ties to the first half
	Oracle     = "oracle"       // the shortest real queue
)

// Names are the names of all policies.
var Names = []string{Module, Random, RoundRobin, LeastOfTwo, TwoRandom, TwoLeft, Oracle}

// errNoInFlight is an oracle that can't see the servers.
var errNoInFlight = errors.New("policy oracle needs to see the servers")

// Decider is the decision module, or what stands in for it.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// InFlight is the number of requests that a server really holds.
type InFlight func(server string) int

// New returns the policy of a name. Only the oracle uses inFlight; for others it may be nil.
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
