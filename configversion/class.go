package configversion

import (
	"fmt"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Class is a class of requests, and selects the servers that may serve it by zone and kind.
type Class struct {
	Name  string
	Zones []string // nil: all zones
	Kinds []string // nil: all kinds
}

// Server is a server in service.
type Server struct {
	Zone string
	Kind string
}

// CheckClasses returns why a node that knows the given servers must reject a configuration with the proposed classes,
// or nil if the node may apply it. The node rejects a configuration that leaves a class without servers, or that
// reduces a class from several servers to one. This guards against a misspelt zone or kind that takes a class out of
// service at all nodes at once.
//
// A class whose zones and kinds do not change is never a reason to reject. If no servers are known, nothing is
// rejected: the fault is then in the endpoint list, not in the configuration.
func CheckClasses(current, proposed []Class, servers []Server) *configapi.Rejection {
	if len(servers) == 0 {
		return nil
	}
	for _, class := range proposed {
		before := 0
		if old := slices.IndexFunc(current, func(other Class) bool { return other.Name == class.Name }); old >= 0 {
			if class.sameServers(current[old]) {
				continue
			}
			before = current[old].countServers(servers)
		}
		if rejection := class.check(before, servers); rejection != nil {
			return rejection
		}
	}
	return nil
}

// check returns why the class must be rejected, given the number of its servers before the change; nil: it is accepted.
func (c Class) check(before int, servers []Server) *configapi.Rejection {
	switch after := c.countServers(servers); {
	case after == 0:
		return &configapi.Rejection{Kind: configapi.RejectNoServer, Message: fmt.Sprintf(
			"class %s would have none of the %d servers in service (confined-to %v, bound-to %v): name zones and kinds that are there",
			c.Name, len(servers), c.Zones, c.Kinds)}
	case after == 1 && before > 1:
		return &configapi.Rejection{Kind: configapi.RejectOneServer, Message: fmt.Sprintf(
			"class %s would have one server, where it has %d now (confined-to %v, bound-to %v): name more zones or kinds",
			c.Name, before, c.Zones, c.Kinds)}
	}
	return nil
}

// countServers returns how many of the servers may serve the class.
func (c Class) countServers(servers []Server) (n int) {
	for _, server := range servers {
		if c.Zones != nil && !slices.Contains(c.Zones, server.Zone) {
			continue
		}
		if c.Kinds != nil && !slices.Contains(c.Kinds, server.Kind) {
			continue
		}
		n++
	}
	return n
}

// sameServers reports whether two classes select the same zones and kinds.
func (c Class) sameServers(other Class) bool {
	return (c.Zones == nil) == (other.Zones == nil) && (c.Kinds == nil) == (other.Kinds == nil) &&
		slices.Equal(c.Zones, other.Zones) && slices.Equal(c.Kinds, other.Kinds)
}
