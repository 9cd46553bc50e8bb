package scale

import (
	"fmt"
	"testing"
	"time"
)

// Budgets for the control session of one node.
const (
	budgetCPUPercent = 1.0      // of one core
	budgetRSS        = 64 << 20 // bytes
	budgetWire       = 4 << 10  // bytes a second
)

// changesPerMinute is 100 times the rate of 760 changes a day.
const changesPerMinute = 53

// controlCost is the resource usage of nodes and controllers during one span of time.
type controlCost struct {
	nodes                int
	span                 time.Duration
	versions             int
	nodeCPUPercent       float64 // of a core, per node
	nodeWire             float64 // bytes a second, per node
	nodePrivate          float64 // bytes, per node
	controllerCPUPercent float64 // of a core, mean over the controllers
	controllerCPUMax     float64 // of a core, the busiest controller
	controllerRSS        float64 // bytes, of the controller with the most
	controllerFDs        float64 // of the controller with the most
	controllerWire       float64 // bytes a second of its sessions, mean over the controllers
}

// usageReading is a reading of all counters.
type usageReading struct {
	at          time.Time
	fleet       Usage
	traffic     SessionTraffic
	controllers []Usage
}

// readRigUsage reads the counters of a rig.
func readRigUsage(rig *versionsRig) usageReading {
	rig.Helper()
	m := usageReading{at: time.Now()}
	var err error
	if m.fleet, err = rig.fleet.Usage(); err != nil {
		rig.Fatal(err)
	}
	if m.traffic, err = rig.fleet.Traffic(); err != nil {
		rig.Fatal(err)
	}
	for _, controller := range rig.cluster.Controllers {
		usage, err := rig.cluster.Usage(controller)
		if err != nil {
			rig.Fatal(err)
		}
		m.controllers = append(m.controllers, usage)
	}
	return m
}

// costBetween returns the usage between two readings.
func costBetween(rig *versionsRig, from, to usageReading, versions int) controlCost {
	nodes, seconds := float64(rig.topology.Nodes), to.at.Sub(from.at).Seconds()
	c := controlCost{nodes: rig.topology.Nodes, span: to.at.Sub(from.at), versions: versions}
	c.nodeCPUPercent = 100 * (to.fleet.CPU - from.fleet.CPU).Seconds() / seconds / nodes
	wire := float64(to.traffic.Minus(from.traffic).OnWire()) / seconds
	c.nodeWire = wire / nodes
	c.nodePrivate = float64(to.fleet.PrivateBytes) / nodes
	c.controllerWire = wire / float64(len(to.controllers))
	for i, usage := range to.controllers {
		percent := 100 * (usage.CPU - from.controllers[i].CPU).Seconds() / seconds
		c.controllerCPUPercent += percent / float64(len(to.controllers))
		c.controllerCPUMax = max(c.controllerCPUMax, percent)
		c.controllerRSS = max(c.controllerRSS, float64(usage.RSSBytes))
		c.controllerFDs = max(c.controllerFDs, float64(usage.Descriptors))
	}
	return c
}

// costWhileIdle measures a span without publishes.
func costWhileIdle(rig *versionsRig, span time.Duration) controlCost {
	from := readRigUsage(rig)
	rig.sleep(span)
	return costBetween(rig, from, readRigUsage(rig), 0)
}

// costUnderChange measures a span in which versions are published at even intervals, each for one service in turn.
func costUnderChange(rig *versionsRig, span time.Duration) controlCost {
	versions := int(changesPerMinute * span / time.Minute)
	from := readRigUsage(rig)
	for number := range versions {
		rig.mustPublish([]string{serviceName(number % rig.topology.Services)})
		rig.sleep(max(0, time.Until(from.at.Add(span*time.Duration(number+1)/time.Duration(versions)))))
	}
	return costBetween(rig, from, readRigUsage(rig), versions)
}

// costSizes are the fleet sizes to measure, with the span of the measurement under change.
var costSizes = []struct {
	nodes  int
	change time.Duration
}{{238, 30 * time.Second}, {475, 30 * time.Second}, {950, 30 * time.Second}, {1900, time.Minute}}

func TestVersionsCost(t *testing.T) {
	largeOnly(t)
	const rest, settle = 10 * time.Second, 5 * time.Second
	header := []string{"nodes", "versions in the span", "node CPU, % of a core", "node bytes/s on the wire", "node private bytes",
		"controller CPU, % of a core, mean", "most", "controller RSS, MB, most", "controller descriptors, most", "controller bytes/s of sessions, mean"}
	table := &Table{Title: "control by size, 7 controllers: idle for 10 s, and 53 changes a minute (760 a day, times 100), each for one service", Header: header}
	var changing []controlCost
	for _, size := range costSizes {
		topology := TargetTopology
		topology.Nodes = size.nodes
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			rig := newVersionsRig(t, rigOptions{topology: topology, folder: memoryFolder(t)})
			rig.sleep(settle)
			costs := []controlCost{costWhileIdle(rig, rest), costUnderChange(rig, size.change)}
			rig.verify()
			for _, c := range costs {
				table.Add(c.nodes, c.versions, c.nodeCPUPercent, c.nodeWire, c.nodePrivate, c.controllerCPUPercent, c.controllerCPUMax,
					c.controllerRSS/(1<<20), c.controllerFDs, c.controllerWire)
			}
			changing = append(changing, costs[1])
		})
	}
	printTable(table)
	printCostFits(t, changing)
	for _, c := range changing {
		c.checkBudget(t)
	}
}

func (c controlCost) checkBudget(t *testing.T) {
	t.Helper()
	if c.nodeCPUPercent > budgetCPUPercent || c.nodeWire > budgetWire || c.nodePrivate > budgetRSS {
		t.Errorf("%d nodes: over budget: %+v", c.nodes, c)
	}
}

// printCostFits prints, for each column, the line fitted to its values by the number of sessions of a controller.
func printCostFits(t *testing.T, costs []controlCost) {
	t.Helper()
	const target = 271
	table := &Table{Title: "fits under change, by sessions of one controller (nodes / 7)", Header: []string{"what", "fit", "at 271 sessions", "at 475 sessions"}}
	for _, column := range []struct {
		name string
		of   func(controlCost) float64
	}{
		{"controller CPU, % of a core, mean", func(c controlCost) float64 { return c.controllerCPUPercent }},
		{"controller CPU, % of a core, most", func(c controlCost) float64 { return c.controllerCPUMax }},
		{"controller RSS, MB", func(c controlCost) float64 { return c.controllerRSS / (1 << 20) }},
		{"controller descriptors", func(c controlCost) float64 { return c.controllerFDs }},
		{"controller bytes/s of sessions", func(c controlCost) float64 { return c.controllerWire }},
		{"node CPU, % of a core", func(c controlCost) float64 { return c.nodeCPUPercent }},
		{"node bytes/s on the wire", func(c controlCost) float64 { return c.nodeWire }},
	} {
		var points []Point
		for _, c := range costs {
			points = append(points, Point{Size: float64(c.nodes) / float64(TargetTopology.Controllers), Value: column.of(c)})
		}
		fit, err := FitLine(points)
		if err != nil {
			t.Error(err)
			return
		}
		table.Add(column.name, fit, fit.At(target), fit.At(475))
	}
	printTable(table)
}
