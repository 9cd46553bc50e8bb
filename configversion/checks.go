package configversion

import (
	"fmt"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// Class is a class of requests, with the servers that are open to it.
type Class struct {
	Name  string
	Zones []string // nil: all
	Kinds []string // nil: all
}

// Server is a server in service.
type Server struct {
	Zone string
	Kind string
}

// CheckClasses says why a configuration with these classes is not to come into force at a node that knows these servers:
// a class would have none of them, or a single one where it has several now. A class that stays as it was is no reason,
// and neither is any while the node knows no server: then the list is at fault, not the configuration.
func CheckClasses(current, proposed []Class, servers []Server) *configapi.Rejection {
	if len(servers) == 0 {
		return nil
	}
	for _, class := range proposed {
		old := slices.IndexFunc(current, func(other Class) bool { return other.Name == class.Name })
		proposedCount := class.countServers(servers)
		currentCount := 0
		if old >= 0 {
			currentCount = current[old].countServers(servers)
			if class.sameServers(current[old]) {
				continue
			}
		}
		switch {
		case proposedCount == 0:
			return &configapi.Rejection{Kind: configapi.RejectNoServer, Message: fmt.Sprintf(
				"class %s would have none of the %d servers in service (confined-to %v, bound-to %v): name zones and kinds that are there",
				class.Name, len(servers), class.Zones, class.Kinds)}
		case proposedCount == 1 && currentCount > 1:
			return &configapi.Rejection{Kind: configapi.RejectOneServer, Message: fmt.Sprintf(
				"class %s would have one server, where it has %d now (confined-to %v, bound-to %v): name more zones or kinds",
				class.Name, currentCount, class.Zones, class.Kinds)}
		}
	}
	return nil
}

// countState is how many servers are open to a class.
func (c Class) countServers(servers []Server) (n int) {
	for _, s := range servers {
		if c.Zones != nil && !slices.Contains(c.Zones, s.Zone) {
			continue
		}
		if c.Kinds != nil && !slices.Contains(c.Kinds, s.Kind) {
			continue
		}
		n++
	}
	return n
}

func (c Class) sameServers(other Class) bool {
	return (c.Zones == nil) == (other.Zones == nil) && (c.Kinds == nil) == (other.Kinds == nil) &&
		slices.Equal(c.Zones, other.Zones) && slices.Equal(c.Kinds, other.Kinds)
}
