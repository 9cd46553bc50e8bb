package scale

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/peers"
	"hookwalk.example/hookwalk/membership"
)

// States in a member's view, as shown to operators.
const (
	selfAgreed   = "agreed" // the member itself: it agrees with the running members that are relevant to it
	memberFailed = "failed" // another member: it does not answer
	memberLeft   = "left"   // another member: it announced that it was leaving
)

// viewPollInterval is the time between two checks of a view for an awaited condition.
const viewPollInterval = 50 * time.Millisecond

// The sites are a root and two below it, as in docs/sites.md. Members are spread over them in turn.
var (
	membershipSites = []string{"dc", "okanagan", "similkameen"}
	membershipTree  = membership.Tree{"dc": "", "okanagan": "dc", "similkameen": "dc"} // parents by site
)

// MembershipOptions configures one run.
type MembershipOptions struct {
	Members  int
	Batch    int           // members that start together; the next batch starts when all running members know each other. 0: one batch
	Settle   time.Duration // time between the agreement of all members and the idle measurement
	IdleTime time.Duration // length of the idle measurement
	Deaths   []int         // sizes of the groups of members that are closed, one group after another, without announcing that they leave
	Timeout  time.Duration // of each phase
	Folder   string        // for the key
}

// MembershipTraffic counts what all members have sent.
type MembershipTraffic struct {
	PacketBytes int64 // payload of UDP packets
	Packets     int64
	StreamBytes int64 // payload of TCP streams in both directions, each stream counted once
}

// Since returns the traffic since an earlier count.
func (t MembershipTraffic) Since(earlier MembershipTraffic) MembershipTraffic {
	return MembershipTraffic{
		PacketBytes: t.PacketBytes - earlier.PacketBytes,
		Packets:     t.Packets - earlier.Packets,
		StreamBytes: t.StreamBytes - earlier.StreamBytes,
	}
}

// packetHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const packetHeaderBytes = 20 + 8

// Wire returns the bytes of packets with their headers, and of streams without headers, because their segments are not
// counted.
func (t MembershipTraffic) Wire() int64 {
	return t.PacketBytes + t.Packets*packetHeaderBytes + t.StreamBytes
}

// MembershipPhase is the cost of one phase of a run.
type MembershipPhase struct {
	MembershipTraffic
	Running int           // members that ran
	Elapsed time.Duration // until the awaited condition held at all members, or the length of the measurement
	CPU     time.Duration // of this process, which runs all members
}

// PerMember converts a count to a rate for one member.
func (p MembershipPhase) PerMember(count int64) float64 {
	return float64(count) / float64(p.Running) / p.Elapsed.Seconds()
}

// Core returns the share of one core that one member uses.
func (p MembershipPhase) Core() float64 {
	return p.CPU.Seconds() / float64(p.Running) / p.Elapsed.Seconds()
}

// MembershipResult is what a run has measured.
type MembershipResult struct {
	Agree       MembershipPhase   // from the start of the last batch until all agree
	Idle        MembershipPhase   // nothing happens
	Join        MembershipPhase   // from the start of one more member until all agree
	Deaths      []MembershipPhase // from each group's end until all others report all of its members as failed
	RSSBytes    int64             // increase caused by all members, without garbage
	Descriptors int               // increase caused by all members
	FalseAlarms uint64            // failures that members reported before the first death, counted over all members
}

// MembershipError reports that a member did not reach a state in time.
type MembershipError struct {
	Member string
	What   string
	Within time.Duration
}

func (e *MembershipError) Error() string {
	return fmt.Sprintf("scale: member %s has not %s within %v: the machine may be too slow for so many members in one process", e.Member, e.What, e.Within)
}

// membershipRun holds the state of one run.
type membershipRun struct {
	options       MembershipOptions
	keyFile       string
	clusters      []*peers.Cluster // that run
	phaseStart    time.Time
	trafficBefore MembershipTraffic
	cpuBefore     time.Duration
}

// MeasureMembership runs members in this process, each with the real package peers on an address of its own in
// 127.0.0.0/8, runs all phases and stops them.
func MeasureMembership(ctx context.Context, options MembershipOptions) (result MembershipResult, err error) {
	run := &membershipRun{options: options}
	defer func() { run.close(run.clusters) }()
	before, err := readOwnUsage(true)
	if err != nil {
		return result, err
	}
	if result.Agree, err = run.formCluster(ctx); err != nil {
		return result, err
	}
	if result.Idle, err = run.idle(ctx); err != nil {
		return result, err
	}
	after, err := readOwnUsage(true)
	if err != nil {
		return result, err
	}
	result.RSSBytes, result.Descriptors = after.rssBytes-before.rssBytes, after.descriptors-before.descriptors
	result.FalseAlarms = run.failures()
	if result.Join, err = run.joinOne(ctx); err != nil {
		return result, err
	}
	for _, count := range options.Deaths {
		phase, err := run.killMembers(ctx, count)
		if err != nil {
			return result, err
		}
		result.Deaths = append(result.Deaths, phase)
	}
	return result, nil
}

// formCluster starts all members and waits until each agrees and knows all others.
func (r *membershipRun) formCluster(ctx context.Context) (MembershipPhase, error) {
	if err := r.writeKey(); err != nil {
		return MembershipPhase{}, err
	}
	batch := r.options.Members
	if r.options.Batch > 0 {
		batch = r.options.Batch
	}
	for len(r.clusters) < r.options.Members {
		if err := r.awaitMet(ctx); err != nil {
			return MembershipPhase{}, err
		}
		r.beginPhase()
		for range min(batch, r.options.Members-len(r.clusters)) {
			if err := r.join(); err != nil {
				return MembershipPhase{}, err
			}
		}
	}
	err := r.awaitAgreed(ctx)
	return r.endPhase(), err
}

// joinOne starts one more member and waits until all agree.
func (r *membershipRun) joinOne(ctx context.Context) (MembershipPhase, error) {
	r.beginPhase()
	if err := r.join(); err != nil {
		return MembershipPhase{}, err
	}
	err := r.awaitAgreed(ctx)
	return r.endPhase(), err
}

// awaitMet waits until each running member knows all others.
func (r *membershipRun) awaitMet(ctx context.Context) error {
	all := len(r.clusters)
	return r.awaitEach(ctx, "met all others", func(v peers.View) bool { return countRunning(v) == all })
}

// awaitAgreed waits until each running member agrees and knows all others.
func (r *membershipRun) awaitAgreed(ctx context.Context) error {
	all := len(r.clusters)
	return r.awaitEach(ctx, "agreed with all others", func(v peers.View) bool { return v.Self == selfAgreed && countRunning(v) == all })
}

// idle measures while nothing happens.
func (r *membershipRun) idle(ctx context.Context) (MembershipPhase, error) {
	if err := sleep(ctx, r.options.Settle); err != nil {
		return MembershipPhase{}, err
	}
	r.beginPhase()
	err := sleep(ctx, r.options.IdleTime)
	return r.endPhase(), err
}

// killMembers closes members without announcing that they leave, and waits until all others report them as failed.
func (r *membershipRun) killMembers(ctx context.Context, count int) (MembershipPhase, error) {
	dead := slices.Clone(r.clusters[len(r.clusters)-count:])
	names := map[string]bool{}
	for _, cluster := range dead {
		names[cluster.View().Me.Name] = true
	}
	r.clusters = r.clusters[:len(r.clusters)-count]
	r.beginPhase()
	r.close(dead)
	err := r.awaitEach(ctx, "called the dead failed", func(v peers.View) bool { return countFailed(v, names) == len(names) })
	return r.endPhase(), err
}

// beginPhase records the counts at the start of a phase.
func (r *membershipRun) beginPhase() {
	r.trafficBefore, r.cpuBefore, r.phaseStart = r.traffic(), ownProcessorTime(), time.Now()
}

// endPhase returns the cost of the phase since beginPhase.
func (r *membershipRun) endPhase() MembershipPhase {
	elapsed, cpu := time.Since(r.phaseStart), ownProcessorTime()-r.cpuBefore
	return MembershipPhase{MembershipTraffic: r.traffic().Since(r.trafficBefore), Running: len(r.clusters), Elapsed: elapsed, CPU: cpu}
}

// traffic returns what the running members have sent so far.
func (r *membershipRun) traffic() (sum MembershipTraffic) {
	for _, cluster := range r.clusters {
		view := cluster.View()
		sum.PacketBytes += view.Sent
		sum.Packets += view.Packets
		sum.StreamBytes += view.Streams
	}
	return sum
}

// failures returns how often the running members have reported another as failed so far.
func (r *membershipRun) failures() (sum uint64) {
	for _, cluster := range r.clusters {
		sum += cluster.View().Failed
	}
	return sum
}

// awaitEach waits until holds has returned true for each member's view. An error describes the condition as what.
func (r *membershipRun) awaitEach(ctx context.Context, what string, holds func(peers.View) bool) error {
	limit, stop := context.WithTimeout(ctx, r.options.Timeout)
	defer stop()
	poll := time.NewTicker(viewPollInterval)
	defer poll.Stop()
	for _, cluster := range r.clusters {
		for !holds(cluster.View()) {
			select {
			case <-poll.C:
			case <-limit.Done():
				return &MembershipError{Member: cluster.View().Me.Name, What: what, Within: r.options.Timeout}
			}
		}
	}
	return nil
}

// join starts the next member.
func (r *membershipRun) join() error {
	const addressesPerNet = 250 // of the last byte of 127.77.x.y
	index := len(r.clusters)
	config := peers.Config{
		Name:       fmt.Sprintf("member-%04d", index),
		Site:       membershipSites[index%len(membershipSites)],
		Tree:       membershipTree,
		Listen:     fmt.Sprintf("127.77.%d.%d:0", index/addressesPerNet, index%addressesPerNet+1),
		KeyFile:    r.keyFile,
		Label:      "scale",
		StartStore: &startCounter{},
	}
	if index > 0 {
		config.Seeds = []string{r.clusters[0].Addr()}
	}
	cluster, err := peers.Join(config, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	r.clusters = append(r.clusters, cluster)
	return nil
}

// close closes members concurrently.
func (r *membershipRun) close(clusters []*peers.Cluster) {
	var all sync.WaitGroup
	for _, cluster := range clusters {
		all.Go(cluster.Close)
	}
	all.Wait()
}

// writeKey writes the key that all members share.
func (r *membershipRun) writeKey() error {
	const key = "0123456789abcdef" // not secret: only the members of this process use it
	file, err := os.CreateTemp(r.options.Folder, "key-")
	if err != nil {
		return err
	}
	r.keyFile = file.Name()
	_, err = file.WriteString(base64.StdEncoding.EncodeToString([]byte(key)) + "\n")
	return errors.Join(err, file.Close())
}

// countRunning counts the running members in a view, including the member itself.
func countRunning(v peers.View) int {
	count := 1
	for _, m := range v.Members {
		if m.State != memberFailed && m.State != memberLeft {
			count++
		}
	}
	return count
}

// countFailed counts the named members that are failed in a view.
func countFailed(v peers.View, names map[string]bool) (count int) {
	for _, m := range v.Members {
		if names[m.Name] && m.State == memberFailed {
			count++
		}
	}
	return count
}

// sleep waits for a length of time. If ctx ends first, it returns the context's cause.
func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// startCounter keeps a member's start number in memory.
type startCounter struct {
	mu   sync.Mutex
	last uint64
}

// Next returns the number of the next start.
func (s *startCounter) Next() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return s.last, nil
}

// Save stores a number that a refutation raised.
func (s *startCounter) Save(start uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = max(s.last, start)
	return nil
}
