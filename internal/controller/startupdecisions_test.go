package controller

import (
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

func configOf(names ...string) Config {
	var config Config
	for _, name := range names {
		config.Members = append(config.Members, Member{Name: name})
	}
	config.Self = config.Members[0]
	return config
}

// A controller with an empty disk must neither begin a second cluster nor vote under its old server ID.
func TestDecideEmptyDiskStart(t *testing.T) {
	empty, member, joining := memberReport{Phase: phaseEmpty}, memberReport{Phase: phaseMember}, memberReport{Phase: phaseJoining}
	founder := memberReport{Phase: phaseMember, Founders: map[string]string{"c1": "me"}}
	founderOfEarlierProcess := memberReport{Phase: phaseMember, Founders: map[string]string{"c1": "an earlier process"}}
	for name, c := range map[string]struct {
		reports    map[string]memberReport
		waitForAll bool
		want       emptyDiskStart
	}{
		"nobody answers": {nil, false, startUndecided},
		"all are empty":  {map[string]memberReport{"c2": empty, "c3": empty}, true, startBootstrap},
		"a majority is empty, and one may still answer": {map[string]memberReport{"c2": empty}, true, startUndecided},
		"a majority is empty, and the wait is over":     {map[string]memberReport{"c2": empty}, false, startBootstrap},
		"one has a log":                                     {map[string]memberReport{"c2": empty, "c3": member}, false, startJoin},
		"all others have a log":                             {map[string]memberReport{"c2": member, "c3": member}, true, startJoin},
		"one has a log and this process as a founder":       {map[string]memberReport{"c2": empty, "c3": founder}, false, startBootstrap},
		"one has a log and an earlier process as a founder": {map[string]memberReport{"c2": empty, "c3": founderOfEarlierProcess}, false, startJoin},
		"another one is joining":                            {map[string]memberReport{"c2": joining}, false, startUndecided},
	} {
		t.Run(name, func(t *testing.T) {
			if got := decideEmptyDiskStart(configOf("c1", "c2", "c3"), "me", c.reports, c.waitForAll); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
	if got := decideEmptyDiskStart(configOf("c1"), "me", nil, true); got != startBootstrap {
		t.Errorf("a single controller: %d, want startBootstrap", got)
	}
}

// A controller's disk may be an old copy. Another controller has then recorded a later start, or the same start by
// another process.
func TestCheckDiskFreshness(t *testing.T) {
	self := identity{Name: "c1", ServerID: "c1", Start: 5}
	recorded := func(start uint64, process string) memberReport {
		return memberReport{Phase: phaseMember, RecordedStart: &memberStart{start, process}}
	}
	noRecord := memberReport{Phase: phaseMember}
	for name, c := range map[string]struct {
		reports map[string]memberReport
		want    diskFreshness
	}{
		"nobody answers":                        {nil, diskFreshnessUnknown},
		"the previous start is recorded":        {map[string]memberReport{"c2": recorded(4, "before")}, diskFresh},
		"a later start is recorded":             {map[string]memberReport{"c2": recorded(6, "other")}, diskStale},
		"the same start by another process":     {map[string]memberReport{"c2": recorded(5, "other")}, diskStale},
		"the same start by this process":        {map[string]memberReport{"c2": recorded(5, "me")}, diskFresh},
		"no start is recorded":                  {map[string]memberReport{"c2": noRecord}, diskFresh},
		"one of two has recorded a later start": {map[string]memberReport{"c2": noRecord, "c3": recorded(6, "other")}, diskStale},
	} {
		t.Run(name, func(t *testing.T) {
			if got := checkDiskFreshness(configOf("c1", "c2", "c3"), self, "me", c.reports); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// The founders of a cluster are this process and those that report an empty disk, and no others.
func TestFoundingProcesses(t *testing.T) {
	got := foundingProcesses(configOf("c1", "c2", "c3"), "me", map[string]memberReport{
		"c2": {Phase: phaseEmpty, ProcessID: "p2"}, "c3": {Phase: phaseJoining, ProcessID: "p3", Load: configapi.Load{}}})
	if len(got) != 2 || got["c1"] != "me" || got["c2"] != "p2" {
		t.Errorf("founders %v", got)
	}
}
