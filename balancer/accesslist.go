// Access list: which clients are admitted, and which proxies may name the clients that they pass on.

package balancer

import (
	"net/netip"
	"slices"
)

// AccessList is the address ranges by which clients are admitted. A nil list admits all and trusts no
// proxy.
type AccessList struct {
	Allow          []netip.Prefix `json:"Allow"`     // empty: all
	Deny           []netip.Prefix `json:"Deny"`      // wins over Allow
	TrustedProxies []netip.Prefix `json:"ProxyFrom"` // proxies that name the client of each connection
}

// Allows says whether a client is admitted. One whose address is not known is admitted only by an empty
// list.
func (l *AccessList) Allows(client netip.Addr) bool {
	if l == nil {
		return true
	}
	if !client.IsValid() {
		return len(l.Allow) == 0 && len(l.Deny) == 0
	}
	return (len(l.Allow) == 0 || containsAddress(l.Allow, client)) && !containsAddress(l.Deny, client)
}

// TrustsProxy says whether a connection from an address must begin by naming its client.
func (l *AccessList) TrustsProxy(peer netip.Addr) bool {
	return l != nil && containsAddress(l.TrustedProxies, peer)
}

// containsAddress says that an address is in one of the ranges, an IPv4 address also in its IPv6 form.
func containsAddress(ranges []netip.Prefix, address netip.Addr) bool {
	address = address.Unmap().WithZone("")
	return slices.ContainsFunc(ranges, func(r netip.Prefix) bool { return r.Contains(address) })
}
