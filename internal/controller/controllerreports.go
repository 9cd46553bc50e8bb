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
	// reportPollInterval is how often controllers read each other's reports.
	reportPollInterval = 300 * time.Millisecond
	// reportPollTimeout is how long a reading may take. A controller that does not answer in time gets no node until it does:
	// nodes that leave a stalled controller must not be redirected to it. The first of them leave it 0.5 s after the stall:
	// SilenceTimeout without its jitter of 0.2 s, less a heartbeat interval. That is 0.05 s before a reading that began
	// pollInterval after the last one has timed out (docs/open-items.md).
	reportPollTimeout = 250 * time.Millisecond
	// reportValidity is how long a report counts in the rules about membership. It is longer than several readings, so
	// that a single lost one changes nothing.
	reportValidity = 2 * time.Second
	// maxReportBytes bounds one report.
	maxReportBytes = 64 << 10

	// maxReportConnections is how many connections are open to each: polls may overlap after a time-out.
	maxReportConnections = 4
)

// memberReport is a controller's response to GET /v1/load: what nodes need to know, and what the other controllers
// need.
type memberReport struct {
	configapi.Load
	Phase        phase  `json:"phase"`
	ServerID     string `json:"server,omitempty"` // its raft server ID
	Start        uint64 `json:"start"`            // of its disk, see identity
	ProcessID    string `json:"process"`          // drawn at random by each process
	AppliedIndex uint64 `json:"applied"`          // index of the newest log entry in its state
	// Founders are the processes that this one found empty before it began a new cluster, by the controller's name.
	// Each of them has never voted in the cluster, and may begin it, too.
	Founders map[string]string `json:"founders,omitempty"`
	// RecordedStart is the last recorded start of the server that the request names.
	RecordedStart *memberStart `json:"known,omitempty"`
}

// ReportError reports that another controller's report is not usable.
type ReportError struct {
	Address string
	Reason  string
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("controller: the report of %s: %s", e.Address, e.Reason)
}

// controllerReports reads and holds the other controllers' reports.
type controllerReports struct {
	config Config
	client *http.Client

	lock    sync.Mutex
	reports map[string]timedReport // by the controller's name
}

// timedReport is the last report that was read from a controller.
type timedReport struct {
	memberReport
	receivedAt      time.Time
	lastFetchFailed bool // a later reading failed
}

// isValid reports whether the report still counts.
func (r timedReport) isValid(now time.Time) bool { return now.Sub(r.receivedAt) < reportValidity }

// newControllerReports returns the reports of controllers that have not been read yet. Each reading has a connection of its
// own, so that what comes back on it is the answer to that reading.
func newControllerReports(config Config) *controllerReports {
	transport := &http.Transport{
		MaxConnsPerHost:    maxReportConnections,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &controllerReports{config: config, client: &http.Client{Transport: transport}, reports: map[string]timedReport{}}
}

// poll reads the reports of all other controllers in parallel. server is the own raft server ID.
func (r *controllerReports) poll(ctx context.Context, server string) {
	ctx, cancel := context.WithTimeout(ctx, reportPollTimeout)
	defer cancel()
	var fetches sync.WaitGroup
	for _, member := range r.config.Members {
		if member.Name == r.config.Self.Name {
			continue
		}
		fetches.Go(func() {
			report, err := r.fetch(ctx, member, server)
			r.record(member.Name, report, err)
		})
	}
	fetches.Wait()
}

// record notes the result of a reading. After one that failed, the last report stays until it is too old.
func (r *controllerReports) record(name string, report memberReport, err error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if err == nil {
		r.reports[name] = timedReport{memberReport: report, receivedAt: time.Now()}
		return
	}
	last := r.reports[name]
	last.lastFetchFailed = true
	r.reports[name] = last
}

func (r *controllerReports) fetch(ctx context.Context, member Member, server string) (memberReport, error) {
	address := "http://" + member.Dial + configapi.PathLoad + "?server=" + url.QueryEscape(server)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return memberReport{}, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return memberReport{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return memberReport{}, &ReportError{member.Dial, "answered " + response.Status}
	}
	var report memberReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return memberReport{}, err
	}
	if report.Name != member.Name {
		return memberReport{}, &ReportError{member.Dial, fmt.Sprintf("it is controller %q, not %s", report.Name, member.Name)}
	}
	return report, nil
}

// valid returns the reports that still count, by the controller's name.
func (r *controllerReports) valid(now time.Time) map[string]memberReport {
	r.lock.Lock()
	defer r.lock.Unlock()
	valid := map[string]memberReport{}
	for name, report := range r.reports {
		if report.isValid(now) {
			valid[name] = report.memberReport
		}
	}
	return valid
}

// loads is what session placement needs to know of the others. A controller is available if its last reading succeeded,
// it has a state, and it is in contact with the leader if this one is.
func (r *controllerReports) loads(now time.Time, hasLeaderContact bool) []configversion.ControllerLoad {
	r.lock.Lock()
	defer r.lock.Unlock()
	var loads []configversion.ControllerLoad
	for _, member := range r.config.Members {
		if member.Name == r.config.Self.Name {
			continue
		}
		report := r.reports[member.Name]
		responding := !report.lastFetchFailed && report.isValid(now)
		loads = append(loads, configversion.ControllerLoad{
			Controller: member.ControllerAddress(),
			Sessions:   report.Sessions,
			Available:  responding && report.Cluster != "" && (report.HasLeaderContact || !hasLeaderContact),
		})
	}
	return loads
}
