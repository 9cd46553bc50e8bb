package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Rig timings.
const (
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 10 * time.Millisecond
	// reportTimeout limits how long a process of hollow nodes may take to answer. It allows for a busy machine.
	reportTimeout = 20 * time.Second
	// persistedAfter is how long a node may take to write a version to its disk. A node that is killed later than that
	// must restart from that version or a later one.
	persistedAfter = 5 * time.Second
)

// HollowOptions configures a fleet of hollow nodes.
type HollowOptions struct {
	Program     func() *exec.Cmd // a process that calls ServeHollow with its standard input and output
	Topology    Topology
	Controllers []configapi.ControllerAddress
	Folder      string // folder for last known good versions; if empty, nodes store none
	Log         string // folder for standard error
	Seed        uint64
}

// HollowFleet runs hollow nodes, one process for each zone, and audits their observations. Its methods may be called from
// any goroutine.
type HollowFleet struct {
	options HollowOptions

	mu      sync.Mutex
	audit   *Audit
	watches []WatchOpened
	zones   []*hollowZone
}

// hollowZone is the process of one zone, over all of its incarnations.
type hollowZone struct {
	nodes       []HollowNode
	incarnation int
	command     *exec.Cmd
	input       io.WriteCloser
	traffic     chan SessionTraffic
	ended       chan struct{} // closed when the process has ended and all of its reports are read
}

// NewHollowFleet returns a fleet without running processes. The caller must call Stop.
func NewHollowFleet(options HollowOptions) *HollowFleet {
	fleet := &HollowFleet{options: options, audit: NewAudit()}
	if options.Folder != "" {
		fleet.audit.PersistedAfter = persistedAfter
	}
	for zone := range options.Topology.Zones() {
		nodes := options.Topology.ZoneNodes(zone)
		for _, node := range nodes {
			fleet.audit.Expect(node.Name, node.Service)
		}
		fleet.zones = append(fleet.zones, &hollowZone{nodes: nodes})
	}
	return fleet
}

// Start starts the nodes of zones, which must not be running.
func (f *HollowFleet) Start(zones ...int) error {
	for _, zone := range zones {
		if err := f.startZone(zone); err != nil {
			return fmt.Errorf("scale: hollow nodes of zone %d: %w", zone, err)
		}
	}
	return nil
}

// startZone starts the process of a zone.
func (f *HollowFleet) startZone(number int) error {
	zone := f.zones[number]
	zone.incarnation++
	command := f.options.Program()
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	log, err := os.OpenFile(filepath.Join(f.options.Log, fmt.Sprintf("zone-%02d.log", number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command.Stderr = log
	input, err := command.StdinPipe()
	if err != nil {
		return err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	zone.command, zone.input = command, input
	zone.traffic, zone.ended = make(chan SessionTraffic, 1), make(chan struct{})
	go f.readReports(zone, output)
	return json.NewEncoder(input).Encode(HollowSpec{Nodes: zone.nodes, Controllers: f.options.Controllers, Folder: f.options.Folder,
		Incarnation: zone.incarnation, Seed: f.options.Seed + uint64(zone.incarnation)<<32 + uint64(number)<<16})
}

// readReports handles the reports of one incarnation of a process until the process ends.
func (f *HollowFleet) readReports(zone *hollowZone, output io.Reader) {
	defer close(zone.ended)
	reports := json.NewDecoder(bufio.NewReaderSize(output, 1<<16))
	for {
		var report HollowReport
		if reports.Decode(&report) != nil { // the process has ended, perhaps in the middle of a report
			break
		}
		f.handleReport(zone, report)
	}
	io.Copy(io.Discard, output)
	zone.command.Wait()
}

// handleReport handles one report of a process.
func (f *HollowFleet) handleReport(zone *hollowZone, report HollowReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case report.Observation != nil:
		f.audit.Observed(*report.Observation)
	case report.Watch != nil:
		f.watches = append(f.watches, *report.Watch)
	case report.Traffic != nil:
		select {
		case zone.traffic <- *report.Traffic:
		default: // Traffic has timed out and no longer receives
		}
	}
}

// Kill sends SIGKILL to the processes of all given zones and waits until they have ended.
func (f *HollowFleet) Kill(zones ...int) {
	for _, zone := range zones {
		f.zones[zone].command.Process.Kill()
	}
	for _, zone := range zones {
		<-f.zones[zone].ended
	}
}

// SetUnreachable makes controllers unreachable for a zone's nodes, and all others reachable.
func (f *HollowFleet) SetUnreachable(zone int, addresses []string) error {
	return json.NewEncoder(f.zones[zone].input).Encode(HollowCommand{SetUnreachable: true, Unreachable: addresses})
}

// Traffic returns the total traffic of the nodes of all zones in their current incarnations.
func (f *HollowFleet) Traffic() (total SessionTraffic, err error) {
	for number, zone := range f.zones {
		if zone.command == nil {
			continue
		}
		if err := json.NewEncoder(zone.input).Encode(HollowCommand{Traffic: true}); err != nil {
			return total, fmt.Errorf("scale: traffic of zone %d: %w", number, err)
		}
		timeout := time.NewTimer(reportTimeout)
		select {
		case traffic := <-zone.traffic:
			total = total.Plus(traffic)
		case <-zone.ended:
			err = fmt.Errorf("scale: traffic of zone %d: its process has ended", number)
		case <-timeout.C:
			err = fmt.Errorf("scale: traffic of zone %d: no answer within %v", number, reportTimeout)
		}
		timeout.Stop()
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Usage returns the total resource usage of the processes of all zones.
func (f *HollowFleet) Usage() (total Usage, err error) {
	for _, zone := range f.zones {
		if zone.command == nil {
			continue
		}
		usage, err := ReadUsage(zone.command.Process.Pid)
		if err != nil {
			return total, err
		}
		total.CPU += usage.CPU
		total.RSSBytes += usage.RSSBytes
		total.PrivateBytes += usage.PrivateBytes
		total.Descriptors += usage.Descriptors
	}
	return total, nil
}

// Nodes returns the names of the nodes in the given zones, or in all zones if none is given.
func (f *HollowFleet) Nodes(zones ...int) (list []string) {
	if len(zones) == 0 {
		zones = f.AllZones()
	}
	for _, zone := range zones {
		list = append(list, nodeNames(f.zones[zone].nodes)...)
	}
	return list
}

// AllZones returns the numbers of all zones.
func (f *HollowFleet) AllZones() (zones []int) {
	for zone := range f.zones {
		zones = append(zones, zone)
	}
	return zones
}

// Audit calls inspect with exclusive access to the audit.
func (f *HollowFleet) Audit(inspect func(*Audit)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inspect(f.audit)
}

// Watches returns the watches that were opened since the given time, in order.
func (f *HollowFleet) Watches(since time.Time) []WatchOpened {
	f.mu.Lock()
	defer f.mu.Unlock()
	var opened []WatchOpened
	for _, watch := range f.watches {
		if watch.AtNS >= since.UnixNano() {
			opened = append(opened, watch)
		}
	}
	slices.SortFunc(opened, func(a, b WatchOpened) int { return int(a.AtNS - b.AtNS) })
	return opened
}

// Await waits until all given nodes have applied or rejected a version.
func (f *HollowFleet) Await(ctx context.Context, version configapi.Version, nodes []string) error {
	err := poll(ctx, func() (done bool) {
		f.Audit(func(a *Audit) { done = a.DecidedByAll(version, nodes) })
		return done
	})
	if err != nil {
		return fmt.Errorf("scale: version %d at %d nodes: %w", version, len(nodes), err)
	}
	return nil
}

// Stop ends all processes by closing their input. It kills those that do not end within reportTimeout.
func (f *HollowFleet) Stop() error {
	var failures []error
	for _, zone := range f.zones {
		if zone.command != nil {
			zone.input.Close()
		}
	}
	for number, zone := range f.zones {
		if zone.command == nil {
			continue
		}
		timeout := time.NewTimer(reportTimeout)
		select {
		case <-zone.ended:
		case <-timeout.C:
			zone.command.Process.Kill()
			<-zone.ended
			failures = append(failures, fmt.Errorf("scale: hollow nodes of zone %d did not end within %v", number, reportTimeout))
		}
		timeout.Stop()
	}
	return errors.Join(failures...)
}

// poll calls done until it returns true. If the context ends first, it returns the context's cause.
func poll(ctx context.Context, done func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
