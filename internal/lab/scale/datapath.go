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

// minWarmUp is the minimum time for which requests are sent before the measurement begins.
const minWarmUp = time.Second

// DataPathOptions configures one measurement of the data path.
type DataPathOptions struct {
	Program      string // path of the node's program, built by BuildForService
	SettingsFile string
	Folder       string
	Servers      int           // of each service
	Depth        int           // number of services that a call passes one after another, each through its node
	Class        string        // ReadClass or WriteClass
	Rate         float64       // calls a second through the chain of nodes, and as many at the same time without nodes
	Duration     time.Duration // of the measurement
	ListChanges  float64       // changes of the list a minute, at each node
	Reloads      float64       // reloads of changed settings by SIGHUP a minute, at each node
	Seed         uint64
}

// DataPathResult holds the measurements of one run.
type DataPathResult struct {
	Direct, Node *Latencies    // of calls without nodes and of calls through the nodes
	NodeCPU      time.Duration // of all nodes, during the measurement
	NodeCalls    int64         // number of calls times number of nodes
	Attempts     int64         // sent by the nodes; equals NodeCalls if nothing was retried
	Elapsed      time.Duration
	RigCPU       time.Duration // of the load generator and the stand-in servers
	FirstNode    Usage         // at the end of the measurement
	ListChanges  int           // of each node's list
	Reloads      int           // at each node
}

// AddedLatency returns by how much the nodes increase a quantile of the latency. The quantile is given in percent.
func (r DataPathResult) AddedLatency(percent float64) time.Duration {
	return r.Node.Quantile(percent) - r.Direct.Quantile(percent)
}

// CPUPerCall returns the processor time that one node uses for one call, including its processor time while idle.
func (r DataPathResult) CPUPerCall() time.Duration {
	if r.NodeCalls == 0 {
		return 0
	}
	return r.NodeCPU / time.Duration(r.NodeCalls)
}

// MeasureDataPath starts a chain of services and nodes, makes calls through the nodes and, at the same time, without
// them, and stops all services and nodes.
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

// chain is a sequence of services that call one another, each with a node in front of it.
type chain struct {
	services []*Service
	nodes    []*NodeProcess
	client   *http.Client // of the load generator
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

// Close stops all nodes and services.
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

// warmUp makes calls until nearly every server has its connections.
func (c *chain) warmUp(ctx context.Context, options DataPathOptions) error {
	const callsPerServer = 2 // on average, so that nearly every server receives a call
	length := time.Duration(callsPerServer * float64(options.Servers) / options.Rate * float64(time.Second))
	warm := options
	warm.Duration = max(length, minWarmUp)
	_, _, err := c.load(ctx, warm, "warm")
	return err
}

// measure makes the measured calls and, at the same time, the changes of lists and configurations.
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

// processorTime returns the processor time that all nodes and this process have used so far.
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

// attempts counts the attempts that all nodes have sent so far.
func (c *chain) attempts() (sum int64) {
	for _, service := range c.services {
		sum += service.Attempts()
	}
	return sum
}

// load makes calls without nodes and through the nodes at the same time, both at the rate of the options.
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

// backgroundChanges makes backgroundChanges of lists and configurations while a load runs, and counts them.
type backgroundChanges struct {
	stop    context.CancelFunc
	running sync.WaitGroup
	lists   int
	reloads int
	errors  [2]error // of list changes and of reloads
}

// beginChanges begins to change lists and configurations at the rates of the options. The caller must call end.
func (c *chain) beginChanges(ctx context.Context, options DataPathOptions) *backgroundChanges {
	made := &backgroundChanges{}
	ctx, made.stop = context.WithCancel(ctx)
	made.running.Go(func() {
		made.lists, made.errors[0] = periodically(ctx, options.ListChanges, c.changeLists)
	})
	made.running.Go(func() {
		made.reloads, made.errors[1] = periodically(ctx, options.Reloads, c.reload)
	})
	return made
}

// end stops the changes and returns how many were made at each node. It joins their errors to before.
func (c *backgroundChanges) end(before error) (lists, reloads int, err error) {
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

// reload changes the settings of each node and makes it reload them.
func (c *chain) reload(int) error {
	for _, node := range c.nodes {
		if err := node.Reload(); err != nil {
			return err
		}
	}
	return nil
}

// periodically calls change perMinute times a minute, the first time after half a period, until ctx ends or change fails.
// It returns how many calls succeeded.
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
