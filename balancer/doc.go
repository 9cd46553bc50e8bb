// Package balancer decides where a load balancer sends each request, when it retries a request and when it
// gives up.
//
// It does no I/O. The host passes events to Balancer.Handle (events.go) and carries out the actions that it
// returns (actions.go). settings.go defines the settings. Each rule has a file of its own:
//
//	serverchoice.go    the choice of a server: of two drawn at random, the one with fewer attempts in flight
//	zonepreference.go  preference for servers of the same zone, and the cross-zone share
//	subset.go          the subset of servers that this replica draws from
//	eligibility.go     which servers may be chosen for a request: deduplication scope, concurrency cap
//	slowstart.go       servers that are warming up
//	capacity.go        capacity limits learned from rejections
//	outlier.go         outlier detection, ejection and probation
//	adminoverride.go   servers disabled and enabled by operators
//	queue.go           queue discipline: how long a request waits, and which is sent first
//	shedding.go        which request is worth most when not all can be served
//	keyorder.go        requests with the same key run in order of arrival
//	admission.go       the admission window
//	clientretry.go     which requests are retries by their clients
//	attempttimeout.go  how long an attempt may take
//	retry.go           which requests may be retried
//	retrybudget.go     how many retries are allowed in proportion to successes
//	retryafter.go      when a rejected client is asked to try again
//	lease.go           what happens when the lease on the endpoint list has expired
//	discoverypoll.go   sends of Subscribe; in a node, the first one allows internal/endpointlease to poll
//	accesslist.go      which clients are admitted
//	faultinjection.go  faults that operators inject, and their end when the node shuts down
//
// The state that the rules share is in balancer.go, pool.go, class.go, server.go and request.go, which also
// describe the states of their objects. endpoints.go applies endpoint updates, outcome.go learns from the
// end of attempts, settingschange.go applies new settings, and the files whose names begin with checkpoint
// write and restore the whole state.
//
// A Balancer is not safe for concurrent use. Its only clock is the time passed to Handle, which must never
// decrease, and its only source of randomness is the seed passed to New: the same events always lead to the
// same actions. Balancers share no state. Memory is held for each request until it is answered and its
// attempts have ended, and for each server until it has left the endpoint list and its attempts have ended.
package balancer
