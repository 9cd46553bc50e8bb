package loopback

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// Limits of a node, as the platform gives them.
const (
	nodeCores    = 1   // processor cores
	nodeMemoryMB = 128 // memory in MB
	nodeSockets  = 512 // open sockets
)

// anyAddress is an address of which the system chooses the port.
const anyAddress = "127.0.0.1:0"

// object is a JSON object of a node's configuration.
type object = map[string]any

// effectNames are the classes' effects, as a configuration names them.
var effectNames = map[balancer.Effect]string{
	balancer.Idempotent:        "read_like",
	balancer.IdempotentWithKey: "idempotency_key",
	balancer.NonIdempotent:     "non_idempotent",
}

// config is the node's configuration file.
func (p *process) config(list EndpointList) ([]byte, error) {
	listen := p.addr
	if listen == "" {
		listen = anyAddress
	}
	name := p.name
	if p.adminAddr != "" { // what stands in its folder is of the node, not of an incarnation
		name = p.base
	}
	return json.Marshal(object{
		"name":      name,
		"listen":    listen,
		"control":   p.adminAddr,
		"discovery": p.world.lists.discoveryAddr(p),
		"seed":      strconv.FormatUint(model.Stream(p.world.scenario.Seed, "node "+p.base, p.incarnation).Uint64(), 16),
		"limits":    object{"cores": nodeCores, "memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"known":     list,
		"settings":  p.settings(),
	})
}

// settings are the node's settings in the platform's form.
func (p *process) settings() object {
	s := p.world.scenario
	set := model.NodeSettings(s, p.tier, p.replicaIndex, p.replicas)
	var lanes, tenants []object
	for _, c := range set.Classes {
		lanes = append(lanes, lane(c))
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name})
	}
	mode := "pushed"
	if set.PollDiscovery {
		mode = "on_request"
	}
	return object{
		"balancers":     set.Replicas,
		"me":            set.ReplicaIndex,
		"tier":          set.Tier,
		"registry-mode": mode,
		"tick-ms":       milliseconds(set.TimerTolerance),
		"zone":          "",
		"blend":         object{"whole": set.TotalValueWeight, "worst-class": set.WorstClassWeight},
		"callers":       object{"marks-retry": set.ClientsMarkRetries},
		"lanes":         lanes,
		"tenants":       tenants,
		"limits": object{
			"max-attempts":       set.MaxAttempts,
			"retry-after":        true,
			"max-retry-after-ms": milliseconds(set.MaxRetryAfter),
			"conn-idle-ms":       milliseconds(s.Network.IdleTimeout),
			"connect-timeout-ms": milliseconds(s.Network.ConnectTimeout),
		},
		"rules": object{
			"ask-within-ms": milliseconds(set.MaxPollInterval),
			"cold-from":     set.SlowStartMinShare,
			"warm-after-ms": milliseconds(set.SlowStartDuration),
			"fall-multiple": set.OverloadMultiple,
		},
	}
}

// lane is a class in the platform's form.
func lane(c balancer.Class) object {
	return object{
		"name":        c.Name,
		"effect":      effectNames[c.Effect],
		"key-scope":   "all",
		"window-ms":   milliseconds(c.DedupWindow),
		"target-ms":   milliseconds(c.LatencyObjective),
		"deadline-ms": milliseconds(c.Deadline),
		"late-share":  c.LateCredit,
		"worth":       c.PriorityWeight,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// writeConfig puts the configuration where the node reads it, and returns the file's path.
func (p *process) writeConfig(list EndpointList) (path string, err error) {
	text, err := p.config(list)
	if err != nil {
		return "", err
	}
	path = filepath.Join(p.world.dir, p.base+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// reload has the node read its configuration again.
func (p *process) reload() error {
	if _, err := p.writeConfig(p.world.lists.bootstrapList(p)); err != nil {
		return err
	}
	p.signal(syscallReload)
	return nil
}
