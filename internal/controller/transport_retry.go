package controller

import (
	"time"

	"github.com/hashicorp/raft"
)

// appendRetryInterval is the time between two attempts to send log entries to a server that can't be reached.
const appendRetryInterval = 200 * time.Millisecond

// retryingTransport is raft's TCP transport with a bounded wait between attempts to send log entries. Raft itself waits
// twice as long after each failure, up to 10 s, before it tries a follower again: a region that is reachable again after
// a partition would get its versions that much later, though a version has to be in force everywhere within 3 s.
type retryingTransport struct {
	*raft.NetworkTransport
	// shouldRetry says whether entries of a leader's term are still to be sent to a server.
	shouldRetry func(server raft.ServerID, term uint64) bool
	closing     <-chan struct{}
}

// AppendEntries sends entries until the server answers, as long as they are wanted. Heartbeats are sent once: raft
// counts their failures, and its wait after them is bounded.
func (t *retryingTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse) error {
	for {
		err := t.NetworkTransport.AppendEntries(id, target, request, response)
		if err == nil || isHeartbeat(request) {
			return err
		}
		if !t.waitForRetry() || !t.shouldRetry(id, request.Term) {
			return err
		}
	}
}

// waitForRetry waits for the next attempt. False: the transport is closing.
func (t *retryingTransport) waitForRetry() bool {
	timer := time.NewTimer(appendRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.closing:
		return false
	}
}

// isHeartbeat tells raft's heartbeats from requests that place entries, or look for the place of the next one.
func isHeartbeat(request *raft.AppendEntriesRequest) bool {
	return len(request.Entries) == 0 && request.PrevLogEntry == 0 && request.LeaderCommitIndex == 0
}
