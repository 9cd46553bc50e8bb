package metrics

// Bounds on the tags that are told apart. Each pair of tags costs memory in the node and a series in the operators' database,
// and clients can send any class and tenant.
const (
	// maxListedNames bounds the classes, and the tenants, that settings have named over a node's life.
	maxListedNames = 256
	// maxUnlistedTenants bounds the tenants that the settings don't name.
	maxUnlistedTenants = 16
	// maxTenantBytes bounds the name of such a tenant.
	maxTenantBytes = 64
)

// Tags without a name of their own.
const (
	tagNone  = "none"  // of what has no class or tenant
	tagOther = "other" // shared by all classes and tenants beyond the bounds
)

// Tags are the class and the tenant of a metric, as Reporter.Tags found them. The zero Tags are those of what has neither.
type Tags int

// tagKey is a class and a tenant.
type tagKey struct{ class, tenant string }

// series holds the metrics of one class and tenant.
type series struct {
	tags     string // as the format writes them
	counts   [counterCount]int64
	gauges   [gaugeCount]int64
	reported [gaugeCount]int64 // as last exported
}

// AddNames adds the classes and tenants of changed settings to those that are told apart.
func (r *Reporter) AddNames(classes, tenants []string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	addNames(r.classes, classes)
	addNames(r.tenants, tenants)
}

// addNames adds names to a set, as far as there is room for them.
func addNames(listed map[string]bool, names []string) {
	for _, name := range names {
		if len(listed) < maxListedNames {
			listed[name] = true
		}
	}
}

// Tags finds the tags of a class and a tenant, as a client sent them; "" is none. Beyond the bounds they are tagOther.
func (r *Reporter) Tags(class, tenant string) Tags {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := tagKey{class: r.classTag(class), tenant: r.tenantTag(tenant)}
	t, ok := r.tags[key]
	if !ok {
		t = Tags(len(r.series))
		r.tags[key] = t
		r.series = append(r.series, &series{tags: r.format.tags(key.class, key.tenant)})
	}
	return t
}

// classTag is the tag of a class: its name only if the settings have it.
func (r *Reporter) classTag(class string) string {
	switch {
	case class == "":
		return tagNone
	case !r.classes[class]:
		return tagOther
	}
	return class
}

// tenantTag is the tag of a tenant: its name if the settings have it, or if it is one of the first few others.
func (r *Reporter) tenantTag(tenant string) string {
	switch {
	case tenant == "":
		return tagNone
	case r.tenants[tenant] || r.unlistedTenants[tenant]:
		return tenant
	case len(r.unlistedTenants) < maxUnlistedTenants && len(tenant) <= maxTenantBytes:
		r.unlistedTenants[tenant] = true
		return tenant
	}
	return tagOther
}
