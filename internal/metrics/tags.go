package metrics

// Limits on the number of distinct tags. Each pair of tags requires memory in the node and a series in the operators'
// database, and clients can send any class and tenant.
const (
	// maxListedNames limits the number of classes, and of tenants, from the settings over the lifetime of a node.
	maxListedNames = 256
	// maxUnlistedTenants limits the number of tenants that are not in the settings.
	maxUnlistedTenants = 16
	// maxTenantBytes limits the length of the name of such a tenant.
	maxTenantBytes = 64
)

// Tags that do not name one class or tenant.
const (
	tagNone  = "none"  // no class or no tenant
	tagOther = "other" // shared by all classes or tenants beyond the limits
)

// Tags identifies the class and the tenant of a metric; Reporter.Tags returns it. The zero value means no class and no
// tenant.
type Tags int

// tagKey is a class and a tenant.
type tagKey struct{ class, tenant string }

// series holds the metrics of one class and tenant.
type series struct {
	tags     string // in the output format
	counts   [counterCount]int64
	gauges   [gaugeCount]int64
	reported [gaugeCount]int64 // the values last exported
}

// AddNames adds the classes and tenants of changed settings to those that get a separate tag.
func (r *Reporter) AddNames(classes, tenants []string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	addNames(r.classes, classes)
	addNames(r.tenants, tenants)
}

// addNames adds names to a set, up to maxListedNames names in total.
func addNames(listed map[string]bool, names []string) {
	for _, name := range names {
		if len(listed) < maxListedNames {
			listed[name] = true
		}
	}
}

// Tags returns the Tags of a class and a tenant that a client sent; "" means none. Names beyond the limits get tagOther.
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

// classTag returns the tag of a class: its name if the class is in the settings, otherwise tagOther.
func (r *Reporter) classTag(class string) string {
	switch {
	case class == "":
		return tagNone
	case !r.classes[class]:
		return tagOther
	}
	return class
}

// tenantTag returns the tag of a tenant: its name if the tenant is in the settings or one of the first maxUnlistedTenants
// others, otherwise tagOther.
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
