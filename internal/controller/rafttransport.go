package controller

import (
	"time"

	"github.com/hashicorp/raft"
)

// appendRetryInterval is the pause between two attempts to send log entries to a server that can't be reached. A
// version has to be in force everywhere within 3 s, also right after a partition has ended.
const appendRetryInterval = 200 * time.Millisecond

// retryingTransport is raft's TCP transport with a fixed pause between attempts to send log entries. Raft itself backs
// off exponentially, up to 10 s, before it tries a follower again: after a partition has ended, a region would get its
// versions that much later. It shows as a follower that stays behind although it answers.
type retryingTransport struct {
	*raft.NetworkTransport
	// shouldRetry reports whether another attempt makes sense: whether this server still leads in a term, and the other
	// one is a member.
	shouldRetry func(server raft.ServerID, term uint64) bool
	closing     <-chan struct{}
}

// AppendEntries sends entries until the server answers or shouldRetry says no. Heartbeats are sent once: raft counts
// their failures for its lease, and its backoff for them is short.
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

// waitForRetry waits for the next attempt. It returns false if the transport is closing.
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

// isHeartbeat tells raft's heartbeats from requests that append entries, or probe for the follower's last one.
func isHeartbeat(request *raft.AppendEntriesRequest) bool {
	return len(request.Entries) == 0 && request.PrevLogEntry == 0 && request.LeaderCommitIndex == 0
}
