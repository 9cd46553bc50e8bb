package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/lab/link"
)

// Timings of a ControlCluster.
const (
	// statusTimeout is how long a controller may take to answer with its status.
	statusTimeout = 2 * time.Second
	// stopTimeout is how long a controller may take to end after SIGTERM.
	stopTimeout = 10 * time.Second
)

// Controller is one controller of a rig, across all incarnations of its process.
type Controller struct {
	Name     string
	Region   string
	Zone     string
	Address  string // for the calls of configapi
	Raft     string
	Folder   string            // for its data
	Via      map[string]string // relay address to dial instead, by the address of another controller
	settings string            // path of its settings file
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// Endpoint returns the address and location of the controller in the form that nodes are configured with.
func (c *Controller) Endpoint() configapi.ControllerAddress {
	return configapi.ControllerAddress{Address: c.Address, Region: c.Region, Zone: c.Zone}
}

// ClusterOptions configure a ControlCluster.
type ClusterOptions struct {
	Program  string // path of the hookwalk binary
	Topology Topology
	Folder   string // for settings, data and logs
	Relays   bool   // a relay between each pair of controllers in different regions, so that a region can be partitioned
}

// ControlCluster runs controllers as processes. Its methods are called from one goroutine.
type ControlCluster struct {
	Controllers []*Controller

	options      ClusterOptions
	releasePorts func()
	relays       map[regionPair][]*link.Link
	client       *http.Client
}

// regionPair is a direction between two regions.
type regionPair struct{ from, to string }

// NewControlCluster writes the settings of all controllers but does not start them. The caller must call Stop, even after
// an error.
func NewControlCluster(ctx context.Context, options ClusterOptions) (*ControlCluster, error) {
	cluster := &ControlCluster{options: options, releasePorts: func() {}, relays: map[regionPair][]*link.Link{},
		client: &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	ports, release, err := link.ClaimPorts(ctx)
	if err != nil {
		return cluster, err
	}
	cluster.releasePorts = release
	addresses, err := freeAddresses(ports, addressesPerController*options.Topology.Controllers)
	if err != nil {
		return cluster, err
	}
	for number := range options.Topology.Controllers {
		controller, err := cluster.newController(number, addresses[addressesPerController*number:])
		if err != nil {
			return cluster, err
		}
		cluster.Controllers = append(cluster.Controllers, controller)
	}
	if options.Relays {
		if err := cluster.openRelays(ports); err != nil {
			return cluster, err
		}
	}
	for _, controller := range cluster.Controllers {
		if err := cluster.writeSettings(controller); err != nil {
			return cluster, err
		}
	}
	return cluster, nil
}

// addressesPerController is the number of addresses of a controller: one for the calls of configapi, one for raft.
const addressesPerController = 2

// newController returns the controller with the given number. Controllers are assigned to regions in turn, and within a
// region to its zones in turn.
func (c *ControlCluster) newController(number int, addresses []string) (*Controller, error) {
	topology := c.options.Topology
	region := number % topology.Regions
	zone := (number / topology.Regions) % topology.ZonesPerRegion
	controller := &Controller{Name: fmt.Sprintf("controller-%d", number+1), Region: regionName(region), Zone: zoneName(region, zone),
		Address: addresses[0], Raft: addresses[1], Via: map[string]string{}}
	controller.Folder = filepath.Join(c.options.Folder, controller.Name)
	controller.settings = filepath.Join(c.options.Folder, controller.Name+".hcl")
	controller.log = filepath.Join(c.options.Folder, controller.Name+".log")
	return controller, os.MkdirAll(controller.Folder, 0o700)
}

// freeAddresses returns distinct addresses in a rig's block of ports that no process listens on.
func freeAddresses(ports, count int) (addresses []string, err error) {
	for range count {
		listener, err := link.Listen(ports, link.ForNode)
		if err != nil {
			return nil, err
		}
		defer listener.Close() // not before all addresses are found, so that none is returned twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// openRelays opens the relays between controllers of different regions.
func (c *ControlCluster) openRelays(ports int) error {
	for _, caller := range c.Controllers {
		for _, called := range c.Controllers {
			if caller.Region == called.Region {
				continue
			}
			for _, address := range []string{called.Address, called.Raft} {
				relay, err := link.Open(ports, func() string { return address })
				if err != nil {
					return err
				}
				key := regionPair{caller.Region, called.Region}
				c.relays[key] = append(c.relays[key], relay)
				caller.Via[address] = relay.Addr()
			}
		}
	}
	return nil
}

// SetRegionPartitioned begins or ends a partition between the controllers of a region and those of all other regions.
// Bytes in transit are held until the partition ends.
func (c *ControlCluster) SetRegionPartitioned(region string, partitioned bool) error {
	for key, relays := range c.relays {
		if key.from != region && key.to != region {
			continue
		}
		for _, relay := range relays {
			if err := relay.SetFault(link.Fault{Stall: [2]bool{partitioned, partitioned}}); err != nil {
				return fmt.Errorf("scale: partition of %s: %w", region, err)
			}
		}
	}
	return nil
}

// Endpoints returns the endpoints of all controllers.
func (c *ControlCluster) Endpoints() (endpoints []configapi.ControllerAddress) {
	for _, controller := range c.Controllers {
		endpoints = append(endpoints, controller.Endpoint())
	}
	return endpoints
}

// Addresses returns the addresses of all controllers except the excluded ones.
func (c *ControlCluster) Addresses(excluded ...*Controller) (addresses []string) {
	skip := map[string]bool{}
	for _, controller := range excluded {
		skip[controller.Address] = true
	}
	for _, controller := range c.Controllers {
		if !skip[controller.Address] {
			addresses = append(addresses, controller.Address)
		}
	}
	return addresses
}

// InRegion returns the controllers of a region.
func (c *ControlCluster) InRegion(region string) (controllers []*Controller) {
	for _, controller := range c.Controllers {
		if controller.Region == region {
			controllers = append(controllers, controller)
		}
	}
	return controllers
}

// Start starts a controller that is not running.
func (c *ControlCluster) Start(controller *Controller) error {
	log, err := os.OpenFile(controller.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("scale: %s: %w", controller.Name, err)
	}
	defer log.Close()
	command := exec.Command(c.options.Program, "controller", "run", "--name", controller.Name, controller.settings)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	command.Stderr = log
	if err := command.Start(); err != nil {
		return fmt.Errorf("scale: %s: %w", controller.Name, err)
	}
	ended := make(chan struct{})
	controller.command, controller.ended = command, ended
	go func() {
		defer close(ended)
		command.Wait() // the error is not needed: the log shows how the process ended
	}()
	return nil
}

// StartAll starts all controllers and waits for a leader.
func (c *ControlCluster) StartAll(ctx context.Context) error {
	for _, controller := range c.Controllers {
		if err := c.Start(controller); err != nil {
			return err
		}
	}
	_, err := c.AwaitLeader(ctx)
	return err
}

// Kill ends a controller with SIGKILL.
func (c *ControlCluster) Kill(controller *Controller) {
	controller.command.Process.Kill()
	<-controller.ended
	controller.command = nil
}

// Stall suspends a controller with SIGSTOP until Resume is called.
func (c *ControlCluster) Stall(controller *Controller) error {
	return controller.command.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a controller that Stall has suspended.
func (c *ControlCluster) Resume(controller *Controller) error {
	return controller.command.Process.Signal(syscall.SIGCONT)
}

// Usage returns the resource usage of a controller's process.
func (c *ControlCluster) Usage(controller *Controller) (Usage, error) {
	return ReadUsage(controller.command.Process.Pid)
}

// Status asks a controller for its status.
func (c *ControlCluster) Status(ctx context.Context, controller *Controller) (configapi.ControllerStatus, error) {
	var status configapi.ControllerStatus
	err := c.get(ctx, controller, configapi.PathStatus, &status)
	return status, err
}

// Load asks a controller for its load.
func (c *ControlCluster) Load(ctx context.Context, controller *Controller) (configapi.Load, error) {
	var load configapi.Load
	err := c.get(ctx, controller, configapi.PathLoad, &load)
	return load, err
}

// get requests a path of a controller and decodes the JSON response.
func (c *ControlCluster) get(ctx context.Context, controller *Controller, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+controller.Address+path, nil)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("scale: %s: %w", controller.Name, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("scale: %s: %s answered %s", controller.Name, path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// Statuses asks all running controllers for their status and returns the successful answers.
func (c *ControlCluster) Statuses(ctx context.Context) (statuses []configapi.ControllerStatus) {
	answers := make([]*configapi.ControllerStatus, len(c.Controllers))
	var pending sync.WaitGroup
	for i, controller := range c.Controllers {
		if controller.command == nil {
			continue
		}
		pending.Go(func() {
			if status, err := c.Status(ctx, controller); err == nil {
				answers[i] = &status
			}
		})
	}
	pending.Wait()
	for _, status := range answers {
		if status != nil {
			statuses = append(statuses, *status)
		}
	}
	return statuses
}

// Leader asks the controllers which of them is the leader. It returns nil unless more than half of them agree.
func (c *ControlCluster) Leader(ctx context.Context) *Controller {
	votes := map[string]int{}
	for _, status := range c.Statuses(ctx) {
		if status.HasLeaderContact {
			votes[status.Leader]++
		}
	}
	for _, controller := range c.Controllers {
		if 2*votes[controller.Address] > len(c.Controllers) {
			return controller
		}
	}
	return nil
}

// AwaitLeader waits until more than half of the controllers agree on a leader.
func (c *ControlCluster) AwaitLeader(ctx context.Context) (leader *Controller, err error) {
	err = poll(ctx, func() bool {
		leader = c.Leader(ctx)
		return leader != nil
	})
	if err != nil {
		return nil, fmt.Errorf("scale: no leader: %w", err)
	}
	return leader, nil
}

// Stop ends all processes and relays.
func (c *ControlCluster) Stop() error {
	for _, controller := range c.Controllers {
		if controller.command != nil {
			controller.command.Process.Signal(syscall.SIGCONT)
			controller.command.Process.Signal(syscall.SIGTERM)
		}
	}
	var failures []error
	for _, controller := range c.Controllers {
		if controller.command != nil {
			failures = append(failures, c.awaitEnd(controller))
		}
	}
	for _, relays := range c.relays {
		for _, relay := range relays {
			relay.Close()
		}
	}
	c.releasePorts()
	return errors.Join(failures...)
}

// awaitEnd waits for a controller that was sent SIGTERM, and kills it after stopTimeout.
func (c *ControlCluster) awaitEnd(controller *Controller) error {
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	select {
	case <-controller.ended:
		return nil
	case <-timeout.C:
		c.Kill(controller)
		return fmt.Errorf("scale: %s did not end within %v of SIGTERM", controller.Name, stopTimeout)
	}
}
