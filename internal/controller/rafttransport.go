package controller

import (
	"time"

	"github.com/hashicorp/raft"
)

// appendRetryInterval is the pause between two attempts to send log entries to an unreachable server. A version has to
// be in force everywhere within 3 s, even if a partition has just ended.
const appendRetryInterval = 200 * time.Millisecond

// retryingTransport is raft's TCP transport with a fixed pause between attempts to send log entries. Raft itself backs
// off exponentially, up to 10 s, before it tries a follower again. After a partition has ended, a region would receive
// its versions that much later. The symptom is a follower that lags although it is reachable.
type retryingTransport struct {
	*raft.NetworkTransport
	// shouldRetry reports whether another attempt is useful: whether this server still leads in a term, and the other
	// server is a member.
	shouldRetry func(server raft.ServerID, term uint64) bool
	closing     <-chan struct{}
}

// AppendEntries sends entries until the server answers, shouldRetry returns false, or the transport is closing.
// Heartbeats are sent once: raft counts their failures for its lease, and its backoff for them is short.
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

// waitForRetry waits until the next attempt is due. It returns false if the transport is closing.
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

// isHeartbeat reports whether a request is one of raft's heartbeats. Other requests append entries, or probe for the
// follower's last entry.
func isHeartbeat(request *raft.AppendEntriesRequest) bool {
	return len(request.Entries) == 0 && request.PrevLogEntry == 0 && request.LeaderCommitIndex == 0
}
