package balancer

import (
	"fmt"
	"reflect"
	"slices"
	"time"
)

// Validate names the setting at fault.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("balancer: Classes is empty")
	}
	for i, c := range s.Classes {
		if c.Name == "" {
			return fmt.Errorf("balancer: Classes[%d].Name is empty", i)
		}
		if slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }) {
			return fmt.Errorf("balancer: Classes[%d].Name (%s) is repeated", i, c.Name)
		}
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("balancer: Classes[%d] (%s): Aim, Deadline or Window out of range", i, c.Name)
		}
		if !(c.PriorityWeight >= 0) || !(c.LateCredit >= 0 && c.LateCredit <= 1) {
			return fmt.Errorf("balancer: Classes[%d] (%s): Worth or LateShare out of range", i, c.Name)
		}
	}
	if !(s.SlowStartMinShare >= 0 && s.SlowStartMinShare <= 1) {
		return fmt.Errorf("balancer: ColdFrom must be from 0 to 1")
	}
	for _, d := range []struct {
		name string
		v    time.Duration
	}{{"AskWithin", s.MaxPollInterval}, {"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"OrderSettle", s.KeyQuietPeriod},
		{"WarmAfter", s.SlowStartDuration}} {
		if d.v < 0 {
			return fmt.Errorf("balancer: %s is negative", d.name)
		}
	}
	if s.Tier < 0 || s.Replicas < 0 || s.ReplicaIndex < 0 || s.MaxAttempts < 0 || !(s.OverloadMultiple >= 0) {
		return fmt.Errorf("balancer: Tier, Balancers, Self, MaxAttempts or FallMultiple is negative")
	}
	for i, d := range s.FaultInjections {
		if d.Name == "" || slices.ContainsFunc(s.FaultInjections[:i], func(o FaultInjection) bool { return o.Name == d.Name }) {
			return fmt.Errorf("balancer: Drills[%d].Name (%q) is empty or repeated", i, d.Name)
		}
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == d.Class }) {
			return fmt.Errorf("balancer: Drills[%d] (%s): Class %q is not one of the classes", i, d.Name, d.Class)
		}
		if !(d.Percent >= 0 && d.Percent <= 100) || d.Delay < 0 || d.Duration <= 0 ||
			d.AbortStatus != 0 && d.AbortStatus != 503 && d.AbortStatus != 500 {
			return fmt.Errorf("balancer: Drills[%d] (%s): Share, Delay, Duration or AbortStatus out of range", i, d.Name)
		}
	}
	return nil
}

// addClasses takes the classes and pools of the settings, from those before where they are there already.
func (b *Balancer) addClasses(classes map[string]*class, pools []*pool) {
	b.classes = map[string]*class{}
	longest := b.settings.Classes[0]
	for _, c := range b.settings.Classes {
		b.addClass(c, classes, pools)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	b.addClass(Class{LatencyObjective: longest.LatencyObjective, Deadline: longest.Deadline, PriorityWeight: longest.PriorityWeight}, classes, pools)
}

func (b *Balancer) addClass(c Class, classes map[string]*class, pools []*pool) {
	k := &class{Class: c, meanLatency: float64(c.LatencyObjective) / 4, latencyDeviation: float64(c.LatencyObjective) / 8}
	if o := classes[c.Name]; o != nil && reflect.DeepEqual(o.Class, c) {
		k = o
	} else if o != nil && o.samples > 0 { // other rules, the same work
		k.meanLatency, k.latencyDeviation, k.samples = o.meanLatency, o.latencyDeviation, o.samples
	}
	k.pool = nil
	for _, p := range slices.Concat(b.pools, pools) {
		same := reflect.DeepEqual([][]string{p.allowedZones, p.allowedKinds}, [][]string{c.AllowedZones, c.AllowedKinds})
		if same && k.pool == nil {
			k.pool = p
		}
	}
	if k.pool == nil {
		k.pool = &pool{allowedZones: c.AllowedZones, allowedKinds: c.AllowedKinds}
	}
	if !slices.Contains(b.pools, k.pool) {
		b.pools = append(b.pools, k.pool)
	}
	b.classes[c.Name] = k
	b.classList = append(b.classList, k)
}

// retune takes over other settings while requests are open, or none of them if they are unsound. Classes that stay as
// they were keep what was learned; open requests keep the class that they came with, also one that is gone.
func (b *Balancer) changeSettings(set Settings) {
	if set.Validate() != nil {
		return
	}
	classes, pools := b.classes, b.pools
	b.settings, b.classList, b.pools = set, nil, nil
	b.addClasses(classes, pools)
	b.settingsVersion, b.previousClasses = b.settingsVersion+1, classes
	b.keepUsedPools(pools)
	b.refreshPools()
}

// keepPools keeps those pools that no class has any more while something may still be placed in them.
func (b *Balancer) keepUsedPools(pools []*pool) {
	used := map[*pool]bool{}
	for _, c := range b.previousClasses {
		used[c.pool] = true
	}
	for _, r := range b.requests {
		used[r.class.pool] = true
	}
	for _, p := range pools {
		if used[p] && !slices.Contains(b.pools, p) {
			b.pools = append(b.pools, p)
		}
	}
}
