// Access list: which clients are admitted, and which proxies are trusted to state the address of their
// clients.

package balancer

import (
	"net/netip"
	"slices"
)

// AccessList holds the address ranges that decide which clients are admitted. A nil list admits every client
// and trusts no proxy.
type AccessList struct {
	Allow          []netip.Prefix `json:"Allow"`     // empty: every address
	Deny           []netip.Prefix `json:"Deny"`      // takes precedence over Allow
	TrustedProxies []netip.Prefix `json:"ProxyFrom"` // proxies that state the client of each connection
}

// Allows reports whether a client is admitted. A client whose address is unknown is admitted only if Allow
// and Deny are empty.
func (l *AccessList) Allows(client netip.Addr) bool {
	if l == nil {
		return true
	}
	if !client.IsValid() {
		return len(l.Allow) == 0 && len(l.Deny) == 0
	}
	return (len(l.Allow) == 0 || containsAddress(l.Allow, client)) && !containsAddress(l.Deny, client)
}

// TrustsProxy reports whether peer is a trusted proxy. Each connection of a trusted proxy must begin with the
// address of its client.
func (l *AccessList) TrustsProxy(peer netip.Addr) bool {
	return l != nil && containsAddress(l.TrustedProxies, peer)
}

// containsAddress reports whether an address is in one of the ranges. An IPv4 address that is mapped to IPv6
// is compared as IPv4.
func containsAddress(ranges []netip.Prefix, address netip.Addr) bool {
	address = address.Unmap().WithZone("")
	return slices.ContainsFunc(ranges, func(r netip.Prefix) bool { return r.Contains(address) })
}
