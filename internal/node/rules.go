package node

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// lateFor is how long a class that was dropped is still served: clients learn of settings later than the node.
const lateFor = 3 * time.Second

// rules are what the front knows of the classes. A request is read by those of its arrival; the module is told which
// they were.
type rules struct {
	effects    map[string]balancer.Effect
	generation int // settings taken over before these
	longest    time.Duration
	before     *rules // without its own before
	until      time.Duration
}

func newRules(set balancer.Settings, before *rules, now time.Duration) *rules {
	r := &rules{effects: map[string]balancer.Effect{}}
	for _, c := range set.Classes {
		r.effects[c.Name] = c.Effect
		r.longest = max(r.longest, c.Deadline)
	}
	if before != nil {
		old := *before
		old.before = nil
		r.generation, r.before, r.until = before.generation+1, &old, now+lateFor
	}
	return r
}

// of gives the effect of a class, and which settings say so: a class that was dropped a moment ago is the one before's.
func (r *rules) of(class string, now time.Duration) (e balancer.Effect, generation int, known bool) {
	if e, known = r.effects[class]; known || r.before == nil || now >= r.until {
		return e, r.generation, known
	}
	e, known = r.before.effects[class]
	return e, r.before.generation, known
}

// Reload takes over what of a changed configuration file can change while the node runs, settings and the address of
// discovery, or nothing of it, and says why. Connections, open requests and the servers held stay as they are. An
// override that is in force stays over the file.
func (n *Node) Reload(cfg Config) error {
	n.reloads.Lock()
	defer n.reloads.Unlock()
	cfg.Features = n.cfg.Features
	if override := n.now.override; override != nil {
		file, err := parseConfig(n.now.text)
		if err != nil {
			return err
		}
		if err := cfg.follows(file); err != nil {
			return err
		}
		if cfg, err = cfg.WithOverride(*override); err != nil {
			return err
		}
	}
	return n.reload(cfg)
}

// reload takes over a configuration; the caller holds the lock.
func (n *Node) reload(cfg Config) error {
	if err := cfg.follows(n.now); err != nil {
		return err
	}
	set, err := cfg.checkedSettings()
	if err != nil {
		return err
	}
	if set.AccessList = n.lists; !reflect.DeepEqual(set, n.settings()) {
		if err := n.engine.ChangeSettings(context.Background(), set); err != nil {
			return err
		}
		n.rules.Store(newRules(set, n.rules.Load(), n.clock.Now()))
		n.engine.Metrics.Name(cfg.classNames(), cfg.tenants)
		n.set.Store(&set)
	}
	n.pool.retune(cfg)
	n.disc.SetAddress(cfg.Discovery)
	n.now = cfg
	n.log.Info("configuration read again", "discovery", cfg.Discovery, "classes", cfg.classNames())
	return nil
}

// checkedSettings are the module's settings, where it takes them.
func (c Config) checkedSettings() (balancer.Settings, error) {
	set, err := c.moduleSettings()
	if err == nil {
		err = set.Validate()
	}
	if err != nil {
		return set, fmt.Errorf("settings: %w", err)
	}
	return set, nil
}

// settings are the module's, as they are now. A reload that waits for the engine holds up nobody who asks.
func (n *Node) settings() balancer.Settings { return *n.set.Load() }

// follows says why a configuration can't take the place of another while the node runs. A file that was cut off may
// still be sound as JSON: what the one before had is to be there again, but for what the platform leaves out at times.
func (c Config) follows(old Config) error {
	if at := lacks(old.keys, c.keys, ""); at != "" {
		return fmt.Errorf("%s is missing or of another kind", at)
	}
	if c.Settings.MaxAttempts <= 0 && old.Settings.MaxAttempts > 0 {
		return errors.New("settings.limits.max-attempts must be above 0")
	}
	return nil
}
