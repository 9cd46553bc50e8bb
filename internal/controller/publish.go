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
	// enqueueTimeout is how long a command waits until raft accepts it. A command that raft has not accepted is not
	// written.
	enqueueTimeout = time.Second
	// commitTimeout is how long a command waits for a quorum before its outcome counts as unknown.
	commitTimeout = 5 * time.Second
	// maxPublishIDBytes is the maximum length of a publish request's ID.
	maxPublishIDBytes = 128
)

// proposeVersion proposes a version, and returns the reply once a quorum has the version on disk. After an error of
// kind ErrorOutcomeUnknown the version may still come into force; after any other error, nothing was written. canceled
// is closed when the client has disconnected.
//
// Only one publish request is proposed at a time, so that each one is checked against all versions before it.
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

// checkPublishRequest checks all fields of a publish request except its document.
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

// checkLeadership returns an error if publish requests can't be proposed at this controller. The error has the address
// of the leader if it is known.
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

// publishError distinguishes proposals that were certainly not written from those that may have been. If the leadership
// is lost after the entry was written, the outcome is unknown: the next leader may or may not have the entry.
func publishError(err error, id string) *configapi.Error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return &configapi.Error{Kind: configapi.ErrorNoQuorum, Message: fmt.Sprintf("%v: nothing was taken, repeat it", err)}
	}
	return &configapi.Error{Kind: configapi.ErrorOutcomeUnknown,
		Message: fmt.Sprintf("%v: the version may or may not come into force: repeat the request with the same ID, %s", err, id)}
}

// errCommitTimeout reports that no quorum has written the entry within commitTimeout.
var errCommitTimeout = errors.New("no quorum has written it yet")

// propose writes a command to the log, and returns its result once a quorum has written it and this controller has
// applied it. It returns the errors of raft, or errCommitTimeout.
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
