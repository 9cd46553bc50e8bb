package scale

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// minWarmUp is how long requests are sent at least before any is measured.
const minWarmUp = time.Second

// DataPathOptions say what is measured in one run.
type DataPathOptions struct {
	Program      string // the node, from BuildForService
	SettingsFile string
	Folder       string
	Servers      int           // of each service
	Depth        int           // services, with a node before each, that a call passes one after another
	Class        string        // ReadClass or WriteClass
	Rate         float64       // calls a second through the chain of nodes, and as many without nodes beside them
	Duration     time.Duration // of the measurement
	ListChanges  float64       // a minute, at each node
	Reloads      float64       // changed settings by SIGHUP a minute, at each node
	Seed         uint64
}

// DataPathResult is what one run has measured.
type DataPathResult struct {
	Direct, Node *Latencies    // without and through the nodes
	NodeCPU      time.Duration // of all nodes, in the measurement
	NodeCalls    int64         // calls times nodes
	Attempts     int64         // that the nodes have sent: as many as NodeCalls if nothing was sent again
	Elapsed      time.Duration
	RigCPU       time.Duration // of the generator and the stand-ins
	FirstNode    Usage         // at the end
	ListChanges  int           // of each node's list
	Reloads      int           // at each node
}

// Added is the difference of a quantile, in percent, with nodes and without.
func (r DataPathResult) Added(percent float64) time.Duration {
	return r.Node.Quantile(percent) - r.Direct.Quantile(percent)
}

// CPUPerCall is the processor time of one node for one call, that of the idle node included.
func (r DataPathResult) CPUPerCall() time.Duration {
	if r.NodeCalls == 0 {
		return 0
	}
	return r.NodeCPU / time.Duration(r.NodeCalls)
}

// MeasureDataPath starts a chain of services and nodes, makes calls through the nodes and without them at once, and
// stops all of it.
func MeasureDataPath(ctx context.Context, options DataPathOptions) (result DataPathResult, err error) {
	c := &chain{client: newClient()}
	defer func() { err = errors.Join(err, c.Close()) }()
	if err := c.start(ctx, options); err != nil {
		return result, err
	}
	if err := c.warmUp(ctx, options); err != nil {
		return result, err
	}
	return c.measure(ctx, options)
}

// chain is a row of services, each behind a node.
type chain struct {
	services []*Service
	nodes    []*NodeProcess
	client   *http.Client // of the generator
}

// start starts the services and nodes.
func (c *chain) start(ctx context.Context, options DataPathOptions) error {
	for tier := range options.Depth {
		service, err := NewService(fmt.Sprintf("tier%d", tier), options.Servers)
		if err != nil {
			return err
		}
		c.services = append(c.services, service)
		node, err := StartNode(ctx, NodeOptions{Program: options.Program, SettingsFile: options.SettingsFile,
			Folder: options.Folder, Servers: service.Hosts()})
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, node)
		if tier > 0 {
			c.services[tier-1].SetNext(service, node.Addr)
		}
	}
	return nil
}

// Close stops nodes and services.
func (c *chain) Close() error {
	c.client.CloseIdleConnections()
	var all error
	for _, node := range c.nodes {
		all = errors.Join(all, node.Stop())
	}
	for _, service := range c.services {
		all = errors.Join(all, service.Close())
	}
	return all
}

// warmUp makes calls until about each server has its connections.
func (c *chain) warmUp(ctx context.Context, options DataPathOptions) error {
	const callsPerServer = 2 // on average, so that nearly every server is met
	length := time.Duration(callsPerServer * float64(options.Servers) / options.Rate * float64(time.Second))
	warm := options
	warm.Duration = max(length, minWarmUp)
	_, _, err := c.load(ctx, warm, "warm")
	return err
}

// measure makes the calls that count, and the changes beside them.
func (c *chain) measure(ctx context.Context, options DataPathOptions) (result DataPathResult, err error) {
	nodesBefore, rigBefore, err := c.processorTime()
	if err != nil {
		return result, err
	}
	attemptsBefore, began := c.attempts(), time.Now()
	changes := c.beginChanges(ctx, options)
	result.Direct, result.Node, err = c.load(ctx, options, "call")
	result.Elapsed = time.Since(began)
	result.ListChanges, result.Reloads, err = changes.end(err)
	if err != nil {
		return result, err
	}
	nodesAfter, rigAfter, err := c.processorTime()
	if err != nil {
		return result, err
	}
	result.NodeCPU, result.RigCPU = nodesAfter-nodesBefore, rigAfter-rigBefore
	result.NodeCalls = result.Node.Calls * int64(len(c.nodes))
	result.Attempts = c.attempts() - attemptsBefore
	result.FirstNode, err = c.nodes[0].Usage()
	return result, err
}

// processorTime is what all nodes, and this process, have used so far.
func (c *chain) processorTime() (nodes, rig time.Duration, err error) {
	for _, node := range c.nodes {
		spent, err := processorTime(node.process.Pid)
		if err != nil {
			return 0, 0, err
		}
		nodes += spent
	}
	rig, err = processorTime(os.Getpid())
	return nodes, rig, err
}

// attempts counts what all nodes have sent so far.
func (c *chain) attempts() (sum int64) {
	for _, service := range c.services {
		sum += service.Attempts()
	}
	return sum
}

// load makes calls both ways at once, each at the rate that is asked for.
func (c *chain) load(ctx context.Context, options DataPathOptions, name string) (direct, node *Latencies, err error) {
	first, entry := c.services[0], "http://"+c.nodes[0].Addr()+nodePath
	var directError, nodeError error
	var both sync.WaitGroup
	both.Go(func() {
		direct, directError = OpenLoad{Rate: options.Rate, Duration: options.Duration, Seed: 2*options.Seed + 1,
			URL: first.DirectURL, Name: name + "-direct-", Class: options.Class}.Run(ctx, c.client)
	})
	both.Go(func() {
		node, nodeError = OpenLoad{Rate: options.Rate, Duration: options.Duration, Seed: 2 * options.Seed,
			URL: func() string { return entry }, Name: name + "-node-", Class: options.Class}.Run(ctx, c.client)
	})
	both.Wait()
	return direct, node, errors.Join(directError, nodeError)
}

// changes are those that are made beside a load.
type changes struct {
	stop    context.CancelFunc
	running sync.WaitGroup
	lists   int
	reloads int
	errors  [2]error // of lists and of reloads
}

// beginChanges changes lists and configurations at the rates that are asked for, until end.
func (c *chain) beginChanges(ctx context.Context, options DataPathOptions) *changes {
	made := &changes{}
	ctx, made.stop = context.WithCancel(ctx)
	made.running.Go(func() {
		made.lists, made.errors[0] = periodically(ctx, options.ListChanges, c.changeLists)
	})
	made.running.Go(func() {
		made.reloads, made.errors[1] = periodically(ctx, options.Reloads, c.reload)
	})
	return made
}

// end makes no more changes, and returns how many each node has had.
func (c *changes) end(before error) (lists, reloads int, err error) {
	c.stop()
	c.running.Wait()
	return c.lists, c.reloads, errors.Join(before, c.errors[0], c.errors[1])
}

// changeLists makes the next change of each node's list.
func (c *chain) changeLists(number int) error {
	for _, node := range c.nodes {
		node.Discovery.Change(number)
	}
	return nil
}

// reload gives each node other settings.
func (c *chain) reload(int) error {
	for _, node := range c.nodes {
		if err := node.Reload(); err != nil {
			return err
		}
	}
	return nil
}

// periodically calls a function so many times a minute, the first time after half a period, until ctx ends or the function
// fails, and returns how often it succeeded.
func periodically(ctx context.Context, perMinute float64, change func(number int) error) (done int, err error) {
	if perMinute <= 0 {
		return 0, nil
	}
	period := time.Duration(float64(time.Minute) / perMinute)
	next := time.NewTimer(period / 2)
	defer next.Stop()
	for ; ; done++ {
		select {
		case <-next.C:
			next.Reset(period)
		case <-ctx.Done():
			return done, nil
		}
		if err := change(done); err != nil {
			return done, err
		}
	}
}
