package controller

import "time"

// bootstrapWait is how long a controller with an empty disk waits for all others to answer before it begins a cluster
// with a majority of them. Controllers that are started together are all running by then, so that the cluster begins
// with all of them.
const bootstrapWait = 3 * time.Second

// emptyDiskStart is how a controller with an empty disk starts.
type emptyDiskStart int

const (
	startUndecided emptyDiskStart = iota // not decided yet
	startBootstrap                       // begin a new cluster, together with the others that are empty
	startJoin                            // join the existing cluster as a new raft server
)

// decideEmptyDiskStart decides how a controller with an empty disk starts. reports are the valid reports of the other
// controllers, by name. waitForAll is set while the controller still waits for all others to answer.
//
// The controller begins a cluster only if a majority of the controllers is empty, and joins if another controller has a
// log. This prevents two clusters on the same addresses. It also prevents a vote from being cast twice: the disk may
// have been emptied after the controller voted, so the controller must not take part under its old server ID. The
// symptom of either failure is that nodes reject versions as "foreign", or that versions are lost.
//
// For example, with three controllers: while the third is down, two empty ones begin a cluster as soon as waitForAll is
// false; an empty one joins if another reports phaseMember; one that gets no answers waits.
//
// There is one exception: a member that found this same process empty before it began a cluster reports it as a
// founder. Such a process has never voted, and begins the same cluster.
func decideEmptyDiskStart(config Config, processID string, reports map[string]memberReport, waitForAll bool) emptyDiskStart {
	emptyCount, anyMember := 1, false // this controller is empty
	for _, report := range reports {
		switch report.Phase {
		case phaseMember:
			if report.Founders[config.Self.Name] == processID {
				return startBootstrap
			}
			anyMember = true
		case phaseEmpty:
			emptyCount++
		}
	}
	switch {
	case anyMember:
		return startJoin
	case emptyCount == len(config.Members):
		return startBootstrap
	case waitForAll || !isMajority(emptyCount, config):
		return startUndecided
	}
	return startBootstrap
}

// foundingProcesses returns the IDs of the processes that may begin a new cluster, by the controller's name: this
// process, and those that report an empty disk.
func foundingProcesses(config Config, processID string, reports map[string]memberReport) map[string]string {
	founders := map[string]string{config.Self.Name: processID}
	for name, report := range reports {
		if report.Phase == phaseEmpty {
			founders[name] = report.ProcessID
		}
	}
	return founders
}

// diskFreshness is whether the log on a disk is current or an old copy. A controller must not take part with an old
// copy.
type diskFreshness int

const (
	diskFreshnessUnknown diskFreshness = iota // fewer than a majority have answered
	diskFresh                                 // no controller has recorded a later start
	diskStale                                 // another controller has recorded a later start: the disk is an old copy
)

// checkDiskFreshness compares the start number on a disk with the starts that the other controllers have recorded for
// the same server ID. It needs answers from a majority: the newest start was committed by a quorum, so at least one
// controller of any majority has recorded it.
//
// This detects a disk that was restored from a backup or from a snapshot of its volume. Such a disk lacks the votes and
// log entries that were acknowledged since the copy, which could lead to a second leader in the same term, or to a lost
// version. The controller then logs "the folder is an old copy".
func checkDiskFreshness(config Config, self identity, processID string, reports map[string]memberReport) diskFreshness {
	responses := 1 // this controller
	for _, report := range reports {
		if recorded := report.RecordedStart; recorded != nil {
			sameStart := recorded.Start == self.Start
			if recorded.Start > self.Start || sameStart && recorded.ProcessID != processID {
				return diskStale
			}
		}
		responses++
	}
	if !isMajority(responses, config) {
		return diskFreshnessUnknown
	}
	return diskFresh
}

// isMajority reports whether a number of controllers is more than half of all controllers of the cluster.
func isMajority(controllers int, config Config) bool { return controllers > len(config.Members)/2 }
