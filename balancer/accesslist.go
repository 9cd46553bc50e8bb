// AccessList: whose requests are let in, and whose word is taken for where a connection comes from.

package balancer

import (
	"net/netip"
	"slices"
)

// AccessList are the lists by which clients are judged.
type AccessList struct {
	Allow          []netip.Prefix `json:"Allow"`     // empty: all
	Deny           []netip.Prefix `json:"Deny"`      // wins over Allow
	TrustedProxies []netip.Prefix `json:"ProxyFrom"` // fronts that say whose connection they pass on
}

// Allows says whether a client is let in. One whose address is not known is a stranger to any list.
func (a *AccessList) Allows(client netip.Addr) bool {
	if a == nil {
		return true
	}
	if !client.IsValid() {
		return len(a.Allow) == 0 && len(a.Deny) == 0
	}
	return (len(a.Allow) == 0 || within(a.Allow, client)) && !within(a.Deny, client)
}

// TrustsProxy says whether a connection from an address must begin by naming its client.
func (a *AccessList) TrustsProxy(peer netip.Addr) bool {
	return a != nil && within(a.TrustedProxies, peer)
}

func within(list []netip.Prefix, a netip.Addr) bool {
	a = a.Unmap().WithZone("")
	return slices.ContainsFunc(list, func(p netip.Prefix) bool { return p.Contains(a) })
}
