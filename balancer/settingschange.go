// Changes of the settings while requests are open.

package balancer

import (
	"reflect"
	"slices"
)

// changeSettings replaces the settings, unless the new ones are invalid. Classes that have not changed keep
// what was learned of them. Open requests keep the class that they arrived with, even one that has been
// removed: its effect, which was promised when they were accepted, decides whether they may be retried.
func (b *Balancer) changeSettings(settings Settings) {
	if settings.Validate() != nil {
		return
	}
	classes, pools := b.classes, b.pools
	b.settings, b.classList, b.pools = settings, nil, nil
	b.addClasses(classes, pools)
	b.settingsVersion++
	b.previousClasses = classes
	b.keepUsedPools(pools)
	b.refreshPools()
}

// WithoutSettingsInForce returns a request without its accepted settings if they are those in force, so that
// they need not be recorded.
func (b *Balancer) WithoutSettingsInForce(e Request) Request {
	if e.Accepted == nil || e.Accepted.MaxAttempts != b.settings.MaxAttempts {
		return e
	}
	if c := b.classes[e.Class]; c != nil && reflect.DeepEqual(&c.Class, &e.Accepted.Class) {
		e.Accepted, e.SettingsVersion = nil, b.settingsVersion
	}
	return e
}

// MaxAttempts returns how many attempts a request that arrives now may have.
func (b *Balancer) MaxAttempts(e Request) int {
	if e.Accepted != nil {
		return max(1, e.Accepted.MaxAttempts)
	}
	return max(1, b.settings.MaxAttempts)
}

// classOf returns the class of a request: that of its accepted settings, if it has any. An ingress that had
// not yet seen the last change of the settings has classified the request by the previous settings, so the
// class of those settings applies. A request of an unknown class is non-idempotent, with the objective,
// deadline and weight of the class that has the longest deadline.
func (b *Balancer) classOf(e Request) *class {
	if e.Accepted != nil {
		return b.acceptedClass(e.Accepted.Class)
	}
	if previous := b.previousClasses[e.Class]; previous != nil && e.SettingsVersion < b.settingsVersion {
		return previous
	}
	if c := b.classes[e.Class]; c != nil {
		return c
	}
	return b.classList[len(b.classList)-1]
}

// acceptedClass returns a class with the given settings: the current or the previous one if it has them, or
// else a new one. The settings may have changed any number of times while a request's body arrived.
func (b *Balancer) acceptedClass(settings Class) *class {
	for _, c := range []*class{b.classes[settings.Name], b.previousClasses[settings.Name]} {
		if c != nil && reflect.DeepEqual(&c.Class, &settings) {
			return c
		}
	}
	c := newClassWithLatencyOf(b.classes[settings.Name], settings)
	c.pool = findOrCreatePool(b.pools, settings)
	if !slices.Contains(b.pools, c.pool) {
		b.pools = append(b.pools, c.pool)
		b.refreshPools()
	}
	return c
}

// addClasses creates the classes and pools of the settings, and reuses previous ones that are the same. The
// last class is for requests whose class is not in the settings.
func (b *Balancer) addClasses(previous map[string]*class, pools []*pool) {
	b.classes = map[string]*class{}
	longest := b.settings.Classes[0]
	for _, c := range b.settings.Classes {
		b.addClass(c, previous, pools)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	b.addClass(Class{LatencyObjective: longest.LatencyObjective, Deadline: longest.Deadline,
		PriorityWeight: longest.PriorityWeight}, previous, pools)
}

// addClass adds one class. A class whose settings have changed keeps its learned latency, because its
// requests still do the same work.
func (b *Balancer) addClass(settings Class, previous map[string]*class, pools []*pool) {
	c := previous[settings.Name]
	if c == nil || !reflect.DeepEqual(c.Class, settings) {
		c = newClassWithLatencyOf(c, settings)
	}
	c.pool = findOrCreatePool(slices.Concat(b.pools, pools), settings)
	if !slices.Contains(b.pools, c.pool) {
		b.pools = append(b.pools, c.pool)
	}
	b.classes[settings.Name] = c
	b.classList = append(b.classList, c)
}

// newClassWithLatencyOf returns a new class with the latency that another one (nil: none) has learned.
func newClassWithLatencyOf(other *class, settings Class) *class {
	c := newClass(settings)
	if other != nil && other.samples > 0 {
		c.meanLatency, c.latencyDeviation = other.meanLatency, other.latencyDeviation
		c.samples = other.samples
	}
	return c
}

// findOrCreatePool returns the first pool with the placement of a class, or a new one.
func findOrCreatePool(pools []*pool, c Class) *pool {
	placement := [][]string{c.AllowedZones, c.AllowedKinds}
	for _, p := range pools {
		if reflect.DeepEqual([][]string{p.allowedZones, p.allowedKinds}, placement) {
			return p
		}
	}
	return &pool{allowedZones: c.AllowedZones, allowedKinds: c.AllowedKinds}
}

// keepUsedPools keeps the pools that no current class uses while a previous class or an open request still
// uses them.
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
