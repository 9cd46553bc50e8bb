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

// Resource limits that the platform configures for a node.
const (
	nodeCores    = 1   // processor cores
	nodeMemoryMB = 128 // memory in MB
	nodeSockets  = 512 // open sockets
)

// anyAddress is a listen address whose port the system chooses.
const anyAddress = "127.0.0.1:0"

// object is a JSON object in a node's configuration.
type object = map[string]any

// effectNames maps the effects of classes to their names in a configuration.
var effectNames = map[balancer.Effect]string{
	balancer.Idempotent:        "read_like",
	balancer.IdempotentWithKey: "idempotency_key",
	balancer.NonIdempotent:     "non_idempotent",
}

// config returns the text of the node's configuration file.
func (p *process) config(list EndpointList) ([]byte, error) {
	listen := p.addr
	if listen == "" {
		listen = anyAddress
	}
	name := p.name
	if p.adminAddr != "" { // the files in its folder belong to the node, not to an incarnation
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

// settings returns the node's settings in the platform's format.
func (p *process) settings() object {
	s := p.world.scenario
	settings := model.NodeSettings(s, p.tier, p.replicaIndex, p.replicas)
	var classes, tenants []object
	for _, c := range settings.Classes {
		classes = append(classes, classConfig(c))
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name})
	}
	mode := "pushed"
	if settings.PollDiscovery {
		mode = "on_request"
	}
	return object{
		"balancers":     settings.Replicas,
		"me":            settings.ReplicaIndex,
		"tier":          settings.Tier,
		"registry-mode": mode,
		"tick-ms":       milliseconds(settings.TimerTolerance),
		"zone":          "",
		"blend":         object{"whole": settings.TotalValueWeight, "worst-class": settings.WorstClassWeight},
		"callers":       object{"marks-retry": settings.ClientsMarkRetries},
		"lanes":         classes,
		"tenants":       tenants,
		"limits": object{
			"max-attempts":       settings.MaxAttempts,
			"retry-after":        true,
			"max-retry-after-ms": milliseconds(settings.MaxRetryAfter),
			"conn-idle-ms":       milliseconds(s.Network.IdleTimeout),
			"connect-timeout-ms": milliseconds(s.Network.ConnectTimeout),
		},
		"rules": object{
			"ask-within-ms": milliseconds(settings.MaxPollInterval),
			"cold-from":     settings.SlowStartMinShare,
			"warm-after-ms": milliseconds(settings.SlowStartDuration),
			"fall-multiple": settings.OverloadMultiple,
		},
	}
}

// classConfig returns a class in the platform's format.
func classConfig(c balancer.Class) object {
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

// writeConfig writes the node's configuration file and returns its path.
func (p *process) writeConfig(list EndpointList) (path string, err error) {
	text, err := p.config(list)
	if err != nil {
		return "", err
	}
	path = filepath.Join(p.world.dir, p.base+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// reload rewrites the node's configuration and makes the node reload it.
func (p *process) reload() error {
	if _, err := p.writeConfig(p.world.lists.bootstrapList(p)); err != nil {
		return err
	}
	p.signal(reloadSignal)
	return nil
}
