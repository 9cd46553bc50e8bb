package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// enqueueTimeout is how long a command waits for the leader's loop to take it; nothing is written before.
	enqueueTimeout = time.Second
	// commitTimeout is how long a command waits for a quorum before its outcome is called unknown.
	commitTimeout = 5 * time.Second
	// maxPublishIDBytes is the length of a publish request's ID.
	maxPublishIDBytes = 128
)

// proposeVersion proposes a version, and returns the reply once a quorum has it on disk, or why there is none. With an error
// of kind ErrorOutcomeUnknown the version may still come into force; with any other, nothing was written. canceled is
// closed when the requester has gone.
//
// One publish is proposed at a time: each sees the versions and the rate of those before it.
func (c *consensus) proposeVersion(publish publishCommand, canceled <-chan struct{}) (configapi.PublishReply, *configapi.Error) {
	select {
	case c.publishSlot <- struct{}{}:
		defer func() { <-c.publishSlot }()
	case <-canceled:
		return configapi.PublishReply{}, &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: "other publish requests take too long: nothing was taken, repeat it"}
	}
	if err := c.checkLeadership(); err != nil {
		return configapi.PublishReply{}, err
	}
	publish.TimeMS = time.Now().UnixMilli()
	current := c.views.load().state
	if reply, err := current.earlierReply(publish); reply.Version != 0 || err != nil {
		return reply, err
	}
	if err := current.checkPublishRate(publish.TimeMS); err != nil {
		return configapi.PublishReply{}, err
	}
	result, err := c.propose(command{Kind: commandPublish, Publish: &publish})
	if err != nil {
		return configapi.PublishReply{}, publishError(err, publish.ID)
	}
	return result.Reply, result.Err
}

// checkPublishRequest checks all of a publish request but its document.
func checkPublishRequest(request configapi.PublishRequest) *configapi.Error {
	if request.ID == "" || len(request.ID) > maxPublishIDBytes || !validName(request.ID) {
		return invalidError("a publish request needs an ID of 1 to %d visible ASCII characters", maxPublishIDBytes)
	}
	for _, cluster := range request.Replaces {
		if !validName(string(cluster)) {
			return invalidError("%q is not a cluster's identity", truncateQuoted(string(cluster)))
		}
	}
	return nil
}

// checkLeadership says why a publish request can't be proposed here, and where to if that is known.
func (c *consensus) checkLeadership() *configapi.Error {
	switch leader, known := c.leader(); {
	case c.isReadyLeader():
		return nil
	case c.isLeader():
		return &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: "this controller was just elected and reads its log: nothing was taken, repeat it"}
	case known && leader.Name != c.config.Self.Name && time.Since(c.raft.LastContact()) < leaderContactTimeout:
		return &configapi.Error{Kind: configapi.ErrorNotLeader, Message: "the leader is controller " + leader.Name, Leader: leader.Listen}
	}
	return &configapi.Error{Kind: configapi.ErrorNoQuorum,
		Message: "no leader is known here: a majority of the controllers must run and reach each other; nothing was taken"}
}

// publishError tells a proposal that certainly was not written from one that may have been. Leadership that is lost
// after the entry was written leaves the outcome open: the next leader may or may not have it.
func publishError(err error, id string) *configapi.Error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: fmt.Sprintf("%v: nothing was taken, repeat it", err)}
	}
	return &configapi.Error{Kind: configapi.ErrorOutcomeUnknown,
		Message: fmt.Sprintf("%v: the version may or may not come into force: repeat the request with the same ID, %s", err, id)}
}

// errCommitTimeout reports that no quorum has answered within commitTimeout.
var errCommitTimeout = errors.New("no quorum has written it yet")

// propose writes a command to the log, and returns its result once a quorum has it and it is applied here. Its errors
// are those of raft, and errCommitTimeout.
func (c *consensus) propose(proposal command) (commandResult, error) {
	text, err := json.Marshal(proposal)
	if err != nil {
		return commandResult{}, err
	}
	future := c.raft.Apply(text, enqueueTimeout)
	done := make(chan error, 1)
	go func() { done <- future.Error() }() // ends when raft commits the entry, loses the leadership or shuts down
	timer := time.NewTimer(commitTimeout)
	defer timer.Stop()
	select {
	case err = <-done:
	case <-timer.C:
		return commandResult{}, errCommitTimeout
	}
	if err != nil {
		return commandResult{}, err
	}
	result, ok := future.Response().(commandResult)
	if !ok {
		return commandResult{}, fmt.Errorf("controller: the state machine returned a %T", future.Response())
	}
	return result, nil
}
