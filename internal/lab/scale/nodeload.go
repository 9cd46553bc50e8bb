package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hookwalk.example/hookwalk/internal/lab/loopback"
)

// placeholderPort is the first port of servers that are listed but never called.
const placeholderPort = 1

// NodeLoadOptions configures the measurement of one node that receives no requests.
type NodeLoadOptions struct {
	Program      string // the node, from BuildForService
	SettingsFile string
	Folder       string
	Servers      int     // in its list
	ListChanges  float64 // a minute
	Settle       time.Duration
	Duration     time.Duration
}

// NodeLoadResult is the resource usage of a node without calls.
type NodeLoadResult struct {
	Elapsed           time.Duration
	CPU               time.Duration // during the measurement
	Usage             Usage         // at the end
	Traffic           Traffic       // of the list, during the measurement
	Changes           int           // of the list, during the measurement
	LogBytes          int64         // written to standard error during the measurement: metrics, capture and log
	CompleteListBytes int           // of the complete list in JSON
}

// Core returns the share of one core that the node has used.
func (r NodeLoadResult) Core() float64 { return r.CPU.Seconds() / r.Elapsed.Seconds() }

// PerSecond converts a count of the measurement to a rate.
func (r NodeLoadResult) PerSecond(count int64) float64 { return float64(count) / r.Elapsed.Seconds() }

// ListedServers returns a list of servers that do not run.
func ListedServers(count int) []loopback.Endpoint {
	hosts := make([]loopback.Endpoint, count)
	for i := range hosts {
		hosts[i] = loopback.NewEndpoint(fmt.Sprintf("server-%04d", i), "plain", fmt.Sprintf("127.0.0.1:%d", placeholderPort+i), i)
	}
	return hosts
}

// MeasureNodeLoad starts a node, sends it no requests, changes its list at the rate of the options, and stops it.
func MeasureNodeLoad(ctx context.Context, options NodeLoadOptions) (result NodeLoadResult, err error) {
	node, err := StartNode(ctx, NodeOptions{Program: options.Program, SettingsFile: options.SettingsFile,
		Folder: options.Folder, Servers: ListedServers(options.Servers)})
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, node.Stop()) }()
	if _, err := changeFor(ctx, node, options.ListChanges, options.Settle); err != nil {
		return result, err
	}
	return node.measure(ctx, options)
}

// measure measures a node's usage for the duration of the options.
func (n *NodeProcess) measure(ctx context.Context, options NodeLoadOptions) (result NodeLoadResult, err error) {
	before, logBefore, err := n.usageAndLog()
	if err != nil {
		return result, err
	}
	trafficBefore, began := n.Discovery.Traffic(), time.Now()
	if result.Changes, err = changeFor(ctx, n, options.ListChanges, options.Duration); err != nil {
		return result, err
	}
	result.Elapsed = time.Since(began)
	result.Traffic = n.Discovery.Traffic().Since(trafficBefore)
	after, logAfter, err := n.usageAndLog()
	if err != nil {
		return result, err
	}
	result.CPU, result.Usage, result.LogBytes = after.CPU-before.CPU, after, logAfter-logBefore
	result.CompleteListBytes, err = completeListBytes(n.Discovery)
	return result, err
}

// usageAndLog returns a node's usage and the length of its log so far.
func (n *NodeProcess) usageAndLog() (Usage, int64, error) {
	usage, err := n.Usage()
	if err != nil {
		return usage, 0, err
	}
	written, err := n.LogBytes()
	return usage, written, err
}

// changeFor changes a node's list at a rate for a length of time and returns the number of changes.
func changeFor(ctx context.Context, node *NodeProcess, perMinute float64, length time.Duration) (changes int, err error) {
	changing, end := context.WithTimeout(ctx, length)
	defer end()
	changes, err = periodically(changing, perMinute, func(number int) error {
		node.Discovery.Change(number)
		return nil
	})
	<-changing.Done()
	return changes, errors.Join(err, ctx.Err())
}
