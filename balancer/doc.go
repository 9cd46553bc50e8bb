// Package balancer decides where a load balancer sends each request, when it tries again and when it gives
// up.
//
// It does no I/O. The host gives events to Balancer.Handle (events.go) and carries out the actions that it
// returns (actions.go). What may be configured is in settings.go. Each rule has a file of its own:
//
//	serverchoice.go    the choice of a server: two groups of a shared order, one draw from each
//	zonepreference.go  servers of the same zone first, and the share of requests that cross zones
//	subset.go          the part of the servers that this replica draws from
//	eligibility.go     which servers may be drawn for a request: deduplication scope, concurrency cap
//	slowstart.go       servers that are warming up
//	capacity.go        capacity limits learned from rejections
//	outlier.go         outlier detection, ejection and probation
//	adminoverride.go   servers disabled and enabled by operators
//	queue.go           queue discipline: how long a request waits, and which goes first
//	shedding.go        which request is worth most when not all can be served
//	keyorder.go        requests with one key run in the order of their arrival
//	admission.go       the admission window
//	clientretry.go     which requests are retries by their clients
//	attempttimeout.go  how long an attempt may take
//	retry.go           which requests may be tried again
//	retrybudget.go     how many retries the successes pay for
//	retryafter.go      when a rejected client is asked to come back
//	lease.go           what an expired lease on the endpoint list means
//	discoverypoll.go   when a Subscribe is sent; in service the first one lets internal/endpointlease poll
//	accesslist.go      which clients are admitted
//	faultinjection.go  faults that operators inject on purpose, and their end when the node shuts down
//
// The state that the rules share is in balancer.go, pool.go, class.go, server.go and request.go, each with
// the states that its objects pass through. endpoints.go takes in the endpoint list, outcome.go what the
// end of an attempt teaches, settingschange.go other settings, checkpoint.go and the files beside it write
// and read the whole state.
//
// A Balancer belongs to one goroutine. Its only clock is the time given to Handle, which must never go
// back, and its only randomness is the seed given to New: the same events always give the same actions.
// Balancers share nothing. Memory is held for each request until it is answered and its attempts have
// ended, and for each server until it has left the endpoint list and its attempts have ended.
package balancer
