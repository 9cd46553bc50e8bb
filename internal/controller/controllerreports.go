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
	// reportPollInterval is how often controllers poll each other's reports.
	reportPollInterval = 300 * time.Millisecond
	// reportPollTimeout is how long a poll may take. A controller that does not answer in time gets no nodes until it
	// answers again: nodes that leave a stalled controller must not be redirected to it. The first nodes leave 0.5 s
	// after the controller has stalled: after SilenceTimeout less its jitter of 0.2 s and less a heartbeat interval.
	// This is 0.05 s before the time-out of a poll that began one reportPollInterval after the last successful one
	// (docs/open-items.md).
	reportPollTimeout = 250 * time.Millisecond
	// reportValidity is how long a report is used for membership decisions. It covers several polls, so that a single
	// lost poll changes nothing.
	reportValidity = 2 * time.Second
	// maxReportBytes is the maximum size of a report.
	maxReportBytes = 64 << 10

	// maxReportConnections is the maximum number of connections to each controller: polls may overlap after a time-out.
	maxReportConnections = 4
)

// memberReport is a controller's response to GET /v1/load: its Load, and what the other controllers need to decide
// about membership.
type memberReport struct {
	configapi.Load
	Phase        phase  `json:"phase"`
	ServerID     string `json:"server,omitempty"` // its raft server ID
	Start        uint64 `json:"start"`            // start number of its disk, see identity
	ProcessID    string `json:"process"`          // random, different for each process
	AppliedIndex uint64 `json:"applied"`          // index of the last log entry that it has applied
	// Founders are the IDs of the processes whose disks were empty when this controller began a new cluster, by the
	// controller's name. None of these processes has voted in the cluster, so each of them may begin it, too.
	Founders map[string]string `json:"founders,omitempty"`
	// RecordedStart is the last recorded start of the server that the request names.
	RecordedStart *memberStart `json:"known,omitempty"`
}

// ReportError reports that another controller's report can't be used.
type ReportError struct {
	Address string
	Reason  string
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("controller: report of %s is unusable: %s", e.Address, e.Reason)
}

// controllerReports polls and stores the other controllers' reports.
type controllerReports struct {
	config Config
	client *http.Client

	lock    sync.Mutex
	reports map[string]timedReport // by the controller's name
}

// timedReport is the last report that was received from a controller.
type timedReport struct {
	memberReport
	receivedAt      time.Time
	lastFetchFailed bool // the last poll failed, and the report is from an earlier one
}

// isValid reports whether the report is recent enough to be used.
func (r timedReport) isValid(now time.Time) bool { return now.Sub(r.receivedAt) < reportValidity }

// newControllerReports returns a controllerReports without reports. Each poll of a controller uses a new connection, so
// that the response on it can only belong to that poll.
func newControllerReports(config Config) *controllerReports {
	transport := &http.Transport{
		MaxConnsPerHost:    maxReportConnections,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &controllerReports{config: config, client: &http.Client{Transport: transport}, reports: map[string]timedReport{}}
}

// poll fetches the reports of all other controllers in parallel. server is this controller's raft server ID.
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

// record stores the result of a poll. If the poll failed, the last report stays until it is too old.
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
		return memberReport{}, &ReportError{member.Dial, "the response has status " + response.Status}
	}
	var report memberReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return memberReport{}, err
	}
	if report.Name != member.Name {
		return memberReport{}, &ReportError{member.Dial, fmt.Sprintf("it comes from controller %q, not from %s", report.Name, member.Name)}
	}
	return report, nil
}

// valid returns the reports that are recent enough to be used, by the controller's name.
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

// loads returns the load of each other controller, for session placement. A controller is available if its last poll
// succeeded, its report is recent enough, it has a state, and it is in contact with the leader if this controller is.
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
