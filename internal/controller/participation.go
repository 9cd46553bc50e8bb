package controller

import (
	"context"
	"net"
	"time"
)

// phase is how a controller takes part in the cluster. Only this file changes it. A controller that starts without a
// log is empty. It is joining once its disk has a new server ID, and a member once the leader has made that server a
// voter. If its disk has a log or begins a new cluster, it is a member at once.
type phase string

const (
	phaseEmpty   phase = "empty"   // the disk has no log, and how the controller starts is not decided yet
	phaseJoining phase = "joining" // the controller waits for the leader to make it a voter
	phaseMember  phase = "member"  // the disk has a log
)

// participation is a controller's phase and the identity of its disk, as the controller reports them.
type participation struct {
	phase    phase
	serverID string            // raft server ID; empty: not decided yet
	start    uint64            // start number of the disk, see identity
	founders map[string]string // see memberReport
}

const (
	// monitorInterval is how often a controller checks its contact with the leader, and the conditions that it waits
	// for.
	monitorInterval = 50 * time.Millisecond
	// waitLogInterval is how often a controller that waits logs what it waits for.
	waitLogInterval = 10 * time.Second
)

// initParticipation sets the initial phase from the content of the disk.
func (c *Controller) initParticipation() error {
	hasState, err := c.disk.hasState()
	if err != nil {
		return &FolderError{c.config.Folder, emptyFolderAdvice, err}
	}
	switch server := c.disk.identity.ServerID; {
	case hasState:
		c.setParticipation(phaseMember, nil)
	case server != "" && server != c.config.Self.Name:
		c.setParticipation(phaseJoining, nil)
	default:
		c.setParticipation(phaseEmpty, nil)
	}
	return nil
}

func (c *Controller) setParticipation(newPhase phase, founders map[string]string) {
	c.participation.Store(&participation{
		phase:    newPhase,
		serverID: c.disk.identity.ServerID,
		start:    c.disk.identity.Start,
		founders: founders,
	})
}

// runConsensus starts raft, and runs the tasks that need it until ctx ends.
func (c *Controller) runConsensus(ctx context.Context) error {
	running, err := c.startRaft(ctx)
	if err != nil || running == nil {
		return err
	}
	c.tasks.Go(func() { running.snapshotOnChange(ctx.Done()) })
	c.tasks.Go(func() { c.runLeaderTasks(ctx, running) })
	c.monitor(ctx, running)
	return nil
}

// startRaft starts raft in the way that the phase requires. It returns nil and no error if ctx ends first.
func (c *Controller) startRaft(ctx context.Context) (*consensus, error) {
	switch c.participation.Load().phase {
	case phaseMember:
		return c.resumeFromDisk(ctx)
	case phaseJoining:
		return c.startJoining()
	}
	return c.startWithEmptyDisk(ctx)
}

// startWithEmptyDisk waits for a decision of decideEmptyDiskStart, and starts raft accordingly.
func (c *Controller) startWithEmptyDisk(ctx context.Context) (*consensus, error) {
	startedAt := time.Now()
	decision := startUndecided
	var reports map[string]memberReport
	err := c.waitUntil(ctx, "the folder is empty; a majority of the controllers must answer before a cluster can be created", func() bool {
		reports = c.reports.valid(time.Now())
		waitForAll := time.Since(startedAt) < bootstrapWait
		decision = decideEmptyDiskStart(c.config, c.processID, reports, waitForAll)
		return decision != startUndecided
	})
	if err != nil {
		return nil, nil
	}
	if decision == startJoin {
		c.log.Info("the folder is empty and another controller has a log: joining with a new server ID and copying the log")
		return c.joinAsReplacement()
	}
	founders := foundingProcesses(c.config, c.processID, reports)
	c.log.Info("creating a new cluster", "members", len(c.config.Members), "empty", len(founders))
	if err := c.disk.setServerID(c.config.Self.Name); err != nil {
		return nil, err
	}
	return c.startEnabledConsensus(phaseMember, bootstrapNew, founders)
}

// joinAsReplacement gives the disk a new server ID, and starts raft with it.
func (c *Controller) joinAsReplacement() (*consensus, error) {
	if err := c.disk.setServerID(replacementServerID(c.config.Self.Name)); err != nil {
		return nil, err
	}
	return c.startJoining()
}

func (c *Controller) startJoining() (*consensus, error) {
	return c.startEnabledConsensus(phaseJoining, bootstrapNone, nil)
}

// startEnabledConsensus starts raft, and enables its connections with the other controllers at once.
func (c *Controller) startEnabledConsensus(initialPhase phase, bootstrap bootstrapMode, founders map[string]string) (*consensus, error) {
	running, err := startConsensus(c.config, c.disk, c.raftListener, c.views, c.log, bootstrap)
	if err != nil {
		return nil, err
	}
	running.stream.enabled.Store(true)
	c.consensus.Store(running)
	c.setParticipation(initialPhase, founders)
	return running, nil
}

// resumeFromDisk starts raft on a disk that has a log. The controller serves its state to nodes at once, and takes part
// in the cluster after checkDiskFreshness has found that the disk is not an old copy.
func (c *Controller) resumeFromDisk(ctx context.Context) (*consensus, error) {
	running, err := startConsensus(c.config, c.disk, c.raftListener, c.views, c.log, bootstrapNone)
	if err != nil {
		return nil, err
	}
	c.consensus.Store(running)
	freshness := diskFreshnessUnknown
	err = c.waitUntil(ctx, "a majority of the controllers must answer before this one takes part in the cluster; meanwhile it serves its nodes the state on its disk", func() bool {
		freshness = checkDiskFreshness(c.config, c.disk.identity, c.processID, c.reports.valid(time.Now()))
		return freshness != diskFreshnessUnknown
	})
	switch {
	case err != nil:
		return nil, nil
	case freshness == diskStale:
		return c.replaceStaleDisk(running)
	}
	running.stream.enabled.Store(true)
	return running, nil
}

// replaceStaleDisk empties a disk that is an old copy, because the votes that this controller has cast since the copy
// are not on it, and joins the cluster with a new server ID.
func (c *Controller) replaceStaleDisk(running *consensus) (*consensus, error) {
	c.log.Warn("the folder is an old copy of this controller's disk: another controller has recorded a later start; emptying the folder and copying the log from the other controllers")
	c.consensus.Store(nil)
	running.close()
	if err := c.disk.reset(); err != nil {
		return nil, err
	}
	raftListener, err := net.Listen("tcp", c.config.Self.Raft)
	if err != nil {
		return nil, &ListenError{c.config.Self.Raft, err}
	}
	c.raftListener = raftListener
	return c.joinAsReplacement()
}

// waitUntil waits until a condition holds, and logs every waitLogInterval what it waits for. Its error is that of ctx.
func (c *Controller) waitUntil(ctx context.Context, what string, condition func() bool) error {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for untilNextLog := time.Duration(0); !condition(); untilNextLog -= monitorInterval {
		if untilNextLog <= 0 {
			c.log.Info("waiting: " + what)
			untilNextLog = waitLogInterval
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// monitor tracks the contact with the leader, and whether a joining controller has become a voter, until ctx ends.
func (c *Controller) monitor(ctx context.Context, running *consensus) {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		if c.views.setLeaderContact(running.hasLeaderContact(time.Now())) {
			view := c.views.load()
			c.log.Info("leader contact changed", "current", view.hasLeaderContact, "version", view.state.Version)
		}
		if current := c.participation.Load(); current.phase == phaseJoining && running.isVoter() {
			c.setParticipation(phaseMember, nil)
			c.log.Info("this controller has become a voter of the cluster", "server", current.serverID)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
