package node

import (
	"errors"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/hotrestart"
)

const (
	// usageInterval is how often the usage of the other processes is read.
	usageInterval = 20 * time.Millisecond

	// giveBackInterval is the least time between two collections that give memory back to the system, and maxGiveBackInterval
	// the most if there is little to give back.
	giveBackInterval    = 100 * time.Millisecond
	maxGiveBackInterval = 2 * time.Second

	// minConnsBeside is the least number of client connections, and of connections to servers, that a process may have beside
	// others. One of them may hang, and hold all descriptors until it is killed. reservedDescriptors has room for them.
	minConnsBeside = 8

	// minGivenBack is the least number of bytes for which the next collection follows after giveBackInterval.
	minGivenBack = 1 << 20

	// assumedShare is the part of the limits that another process is assumed to use if its usage can't be read, as a divisor.
	assumedShare = 2
)

// processLimits are the limits of this process, while other processes of the node use a part of the node's limits.
type processLimits struct {
	memory        int64 // bytes; 0: no limit
	clientConns   int
	upstreamConns int
}

// connCounts are the connections that this process has open.
type connCounts struct{ clients, upstream int }

// limitsBeside returns the limits of this process beside others (how many) that use a part of the node's limits. What is free is
// divided among all processes, half of it for clients and half for connections to servers, so that all together stay within the
// limits until the next call. No open connection has to be closed. full has the limits of a process alone, and descriptors
// is how many of them there are for connections.
func limitsBeside(others int, used hotrestart.Usage, open connCounts, full processLimits, descriptors int) processLimits {
	free := max(descriptors-used.Descriptors-open.clients-open.upstream, 0)
	share := free / (2 * (others + 1))
	limits := processLimits{
		clientConns:   min(max(open.clients+share, minConnsBeside), full.clientConns),
		upstreamConns: min(max(open.upstream+share, minConnsBeside), full.upstreamConns),
	}
	if full.memory > 0 {
		limits.memory = max(full.memory-used.PrivateMemory, 1)
	}
	return limits
}

// sharedLimits keeps this process within the limits of the node while other processes of the node run: the platform counts all of
// them as one. What each of them uses is read again and again. Reserving a share for each would reject requests that one process
// serves, since the clients and their requests move from the old process to the new one during the overlap.
type sharedLimits struct {
	mu        sync.Mutex
	processes []hotrestart.Process // the other ones
	watched   bool                 // watchOtherProcesses runs
}

// add adds a process.
func (s *sharedLimits) add(p hotrestart.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
}

// beginWatch reports whether the caller has to watch the other processes: there are some, and no other goroutine watches them.
func (s *sharedLimits) beginWatch() (begin bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begin = len(s.processes) > 0 && !s.watched
	s.watched = s.watched || begin
	return begin
}

// others returns how many other processes there are.
func (s *sharedLimits) others() int { return len(s.processIDs()) }

// processIDs returns the IDs of the other processes.
func (s *sharedLimits) processIDs() (ids []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		ids = append(ids, p.ID)
	}
	return ids
}

// usage returns how many other processes run and what they use together. Processes that have ended are removed; if none is left,
// the watch counts as ended. assumed is added for a process whose usage can't be read.
func (s *sharedLimits) usage(assumed hotrestart.Usage) (others int, sum hotrestart.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []hotrestart.Process
	for _, p := range s.processes {
		used, err := p.Usage()
		if errors.Is(err, hotrestart.ErrProcessGone) {
			continue
		}
		if err != nil {
			used = assumed
		}
		running = append(running, p)
		sum.PrivateMemory += used.PrivateMemory
		sum.Descriptors += used.Descriptors
	}
	s.processes = running
	s.watched = s.watched && len(running) > 0
	return len(running), sum
}

// shareLimitsWithPeer is shareLimitsWith for the process at the other end of a connection.
func (n *Node) shareLimitsWithPeer(conn *hotrestart.Conn, earlier []int) {
	p, err := conn.PeerProcess()
	if err != nil {
		n.log.Warn("the limits are not shared with the other process of the node: it can't be identified", "err", err)
		return
	}
	n.shareLimitsWith(p, earlier)
}

// shareLimitsWith has this process share the limits of the node with another process and with earlier ones, until they have ended.
func (n *Node) shareLimitsWith(p hotrestart.Process, earlier []int) {
	n.sharedLimits.add(p)
	for _, id := range earlier {
		if p, err := hotrestart.FindProcess(id); err == nil {
			n.sharedLimits.add(p)
		}
	}
	n.applySharedLimits()
}

// watchOtherProcesses adjusts the limits until the other processes or this node have ended. It returns at once if it runs already,
// or if there are no other processes.
func (n *Node) watchOtherProcesses() {
	if !n.sharedLimits.beginWatch() {
		return
	}
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for giveBack := (memoryGiveBack{}); ; {
		select {
		case <-tick.C:
		case <-n.stopped:
			return
		}
		if n.applySharedLimits() == 0 {
			return
		}
		if n.replaced() {
			n.pool.closeIdleAbove(n.clientListener.connCount()) // each client has one request at most
			giveBack.step(time.Now())
		}
	}
}

// replaced reports whether a successor has taken over from this process.
func (n *Node) replaced() bool {
	n.otherProcess.mu.Lock()
	defer n.otherProcess.mu.Unlock()
	return n.otherProcess.isSuccessor
}

// applySharedLimits sets the limits of this process beside the others, and returns how many others there are.
func (n *Node) applySharedLimits() (others int) {
	full := n.fullLimits
	descriptors := n.cfg.Sockets - n.cfg.reservedDescriptors()
	others, used := n.sharedLimits.usage(hotrestart.Usage{PrivateMemory: full.memory / assumedShare, Descriptors: n.cfg.Sockets / assumedShare})
	limits := full
	if others > 0 {
		limits = limitsBeside(others, used, n.openConns(), full, descriptors)
	}
	n.pool.setMaxConns(limits.upstreamConns)
	if n.clientListener != nil {
		n.clientListener.setMaxConns(limits.clientConns)
	}
	if n.LimitMemory != nil && limits.memory > 0 {
		n.LimitMemory(limits.memory)
	}
	return others
}

// openConns returns the connections that this process has open.
func (n *Node) openConns() (open connCounts) {
	open.upstream = n.pool.openConns()
	if n.clientListener != nil {
		open.clients = n.clientListener.connCount()
	}
	return open
}

// memoryGiveBack collects garbage and gives the memory back to the system, in a process whose clients move to its successor. The
// runtime does that only as the process allocates, so that it would keep what the load needed until it ends.
type memoryGiveBack struct {
	next     time.Time
	interval time.Duration
}

// step collects garbage if it is time to. It waits longer for the next time if there was little to give back.
func (g *memoryGiveBack) step(now time.Time) {
	if now.Before(g.next) {
		return
	}
	before := residentHeap()
	debug.FreeOSMemory()
	g.interval = min(max(2*g.interval, giveBackInterval), maxGiveBackInterval)
	if before-residentHeap() >= minGivenBack {
		g.interval = giveBackInterval
	}
	g.next = time.Now().Add(g.interval)
}

// Names of the runtime's figures of memory, in bytes.
const (
	mappedMemoryMetric   = "/memory/classes/total:bytes"
	releasedMemoryMetric = "/memory/classes/heap/released:bytes"
)

// residentHeap returns how many bytes the runtime has got from the system and not given back.
func residentHeap() int64 {
	samples := []metrics.Sample{{Name: mappedMemoryMetric}, {Name: releasedMemoryMetric}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64()) - int64(samples[1].Value.Uint64())
}
