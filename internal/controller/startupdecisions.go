package controller

import "time"

// bootstrapWait is how long an empty controller waits for all others to answer before it begins a cluster with a
// majority of them: controllers that are started together are all up by then, and the cluster begins complete.
const bootstrapWait = 3 * time.Second

// emptyDiskStart is how a controller with an empty disk starts.
type emptyDiskStart int

const (
	startUndecided emptyDiskStart = iota // it can't be told yet
	startBootstrap                       // begin a new cluster, together with the others that are empty
	startJoin                            // join the existing cluster as a new raft server
)

// decideEmptyDiskStart decides how a controller with an empty disk starts. Input are the other controllers' valid
// reports by name; waitForAll says that the controller still waits for all of them to answer.
//
// It begins a cluster only where a majority is empty, and joins where another controller has a log. It guards against
// two clusters on the same addresses, and against a vote cast twice: the disk may have been emptied after it voted, so
// that it must not take part under its old server ID. Both show as nodes that reject versions as "foreign", or as
// versions that are lost.
//
// Of three controllers, for example: two empty ones begin a cluster once waitForAll is over while the third is down; an
// empty one joins when another reports phaseMember; one that is alone waits.
//
// The exception: a member that found this very process empty before it began a cluster counts it as a founder. Such a
// process has never voted, and begins the same cluster.
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

// foundingProcesses are the processes that found each other empty, by the controller's name.
func foundingProcesses(config Config, processID string, reports map[string]memberReport) map[string]string {
	founders := map[string]string{config.Self.Name: processID}
	for name, report := range reports {
		if report.Phase == phaseEmpty {
			founders[name] = report.ProcessID
		}
	}
	return founders
}

// diskFreshness is whether a controller may take part with the log on its disk.
type diskFreshness int

const (
	diskFreshnessUnknown diskFreshness = iota // fewer than a majority have answered
	diskFresh                                 // no one knows of a later start
	diskStale                                 // another one knows of a later start: the disk is an old copy
)

// checkDiskFreshness compares the start that a disk counts with the starts that the other controllers have recorded for its
// server ID. It waits for a majority, which includes one that has the newest start: it was committed by a quorum.
//
// It guards against a disk that was restored from a backup or a snapshot of its volume: votes and log entries that were
// acknowledged since are missing, and a second leader of one term, or a lost version, could follow. It shows in the log
// as "the folder is an old copy".
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

// isMajority reports whether a number of controllers is more than half of the cluster's.
func isMajority(controllers int, config Config) bool { return controllers > len(config.Members)/2 }
