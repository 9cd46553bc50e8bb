package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// pollInterval is how often controllers read each other's load.
	pollInterval = 300 * time.Millisecond
	// pollTimeout is how long a reading may take. A controller that does not answer in time gets no node until it does:
	// nodes notice that theirs is stalled 0.7 s after the fact at the earliest, and must not be sent to it.
	pollTimeout = 250 * time.Millisecond
	// reportValidity is how long a reading counts for who is a member.
	reportValidity = 2 * time.Second
	maxReportBytes = 64 << 10 // bytes of one answer
)

// phase says what a controller's disk has.
type phase string

const (
	phaseEmpty   phase = "empty"   // nothing, and it is not decided yet how the controller takes part
	phaseJoining phase = "joining" // it waits for the leader to add it
	phaseMember  phase = "member"  // a log
)

// memberReport is one controller's answer to GET /v1/load: what nodes need to know, and what the other controllers need.
type memberReport struct {
	configapi.Load
	Phase        phase  `json:"phase"`
	ServerID     string `json:"server,omitempty"` // its raft server ID
	Start        uint64 `json:"start"`
	ProcessID    string `json:"process"` // drawn at random by each process
	AppliedIndex uint64 `json:"applied"` // index of the newest log entry in its state
	// Founders are the processes that this one found empty before it began a new cluster. One of those has never voted
	// in it, and may begin it, too.
	Founders map[string]string `json:"founders,omitempty"`
	// RecordedStart is the last recorded start of the server that the request names.
	RecordedStart *memberStart `json:"known,omitempty"`
}

// peerReports reads the other controllers' reports.
type peerReports struct {
	config Config
	client *http.Client

	lock    sync.Mutex
	reports map[string]timedReport // by the controller's name
}

type timedReport struct {
	memberReport
	receivedAt      time.Time
	lastFetchFailed bool // a later reading failed
}

func newPeerReports(config Config) *peerReports {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &peerReports{config: config, client: &http.Client{Transport: transport}, reports: map[string]timedReport{}}
}

// poll reads all others' reports, side by side.
func (p *peerReports) poll(ctx context.Context, server string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var readings sync.WaitGroup
	for _, member := range p.config.Members {
		if member.Name == p.config.Self.Name {
			continue
		}
		readings.Go(func() {
			report, err := p.fetch(ctx, member, server)
			p.record(member.Name, report, err)
		})
	}
	readings.Wait()
}

// record notes a reading. Of one that failed, what the controller said last is kept until it is too old.
func (p *peerReports) record(name string, report memberReport, err error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if err == nil {
		p.reports[name] = timedReport{memberReport: report, receivedAt: time.Now()}
		return
	}
	last := p.reports[name]
	last.lastFetchFailed = true
	p.reports[name] = last
}

func (p *peerReports) fetch(ctx context.Context, member Member, server string) (memberReport, error) {
	address := "http://" + member.Dial + configapi.PathLoad + "?server=" + url.QueryEscape(server)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return memberReport{}, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return memberReport{}, err
	}
	defer response.Body.Close()
	var report memberReport
	if response.StatusCode != http.StatusOK {
		return memberReport{}, fmt.Errorf("answered %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return memberReport{}, err
	}
	if report.Name != member.Name {
		return memberReport{}, fmt.Errorf("%s is controller %q", member.Dial, report.Name)
	}
	return report, nil
}

// valid returns the reports that are not too old.
func (p *peerReports) valid(now time.Time) map[string]memberReport {
	p.lock.Lock()
	defer p.lock.Unlock()
	fresh := map[string]memberReport{}
	for name, report := range p.reports {
		if now.Sub(report.receivedAt) < reportValidity {
			fresh[name] = report.memberReport
		}
	}
	return fresh
}

// loads is what the rules of placement need to know of the others.
func (p *peerReports) loads(now time.Time, current bool) []configversion.PeerLoad {
	p.lock.Lock()
	defer p.lock.Unlock()
	var loads []configversion.PeerLoad
	for _, member := range p.config.Members {
		if member.Name == p.config.Self.Name {
			continue
		}
		report := p.reports[member.Name]
		answers := !report.lastFetchFailed && now.Sub(report.receivedAt) < reportValidity
		available := answers && report.Cluster != "" && (report.Current || !current)
		loads = append(loads, configversion.PeerLoad{Endpoint: member.Endpoint(), Sessions: report.Sessions, Available: available})
	}
	return loads
}

// emptyDiskStart is how an empty disk takes part.
type emptyDiskStart int

const (
	startUndecided emptyDiskStart = iota // it can't be told yet
	startBootstrap                       // begin a new cluster, with the others that are empty
	startJoin                            // as a new server of the cluster that there is
)

// decideEmptyDiskStart decides how a controller with an empty disk takes part. It must not begin a cluster, nor vote under its
// old server ID, where another controller has a log: the disk may have been emptied after it voted. It begins one where
// a majority is empty; patient: it waits for all to answer first.
func decideEmptyDiskStart(config Config, process string, reports map[string]memberReport, patient bool) emptyDiskStart {
	empty := 1
	for _, report := range reports {
		if report.Phase == phaseMember && report.Founders[config.Self.Name] == process {
			return startBootstrap
		}
	}
	for _, report := range reports {
		switch report.Phase {
		case phaseMember:
			return startJoin
		case phaseEmpty:
			empty++
		}
	}
	switch {
	case empty == len(config.Members):
		return startBootstrap
	case patient || empty <= len(config.Members)/2:
		return startUndecided
	}
	return startBootstrap
}

// emptyMembers are the processes that are empty.
func emptyMembers(config Config, process string, reports map[string]memberReport) map[string]string {
	found := map[string]string{config.Self.Name: process}
	for name, report := range reports {
		if report.Phase == phaseEmpty {
			found[name] = report.ProcessID
		}
	}
	return found
}

// diskVerdict says whether a disk with a log may take part.
type diskVerdict int

const (
	diskUndecided diskVerdict = iota // fewer than a majority have answered
	diskValid
	diskStale // the others know of a later start on it: it is an old copy
)

// judgeDisk compares a disk's start with what the others have recorded.
func judgeDisk(config Config, self identity, process string, reports map[string]memberReport) diskVerdict {
	answers := 1
	for _, report := range reports {
		if known := report.RecordedStart; known != nil {
			if known.Start > self.Start || known.Start == self.Start && known.ProcessID != process {
				return diskStale
			}
		}
		answers++
	}
	if answers <= len(config.Members)/2 {
		return diskUndecided
	}
	return diskValid
}
