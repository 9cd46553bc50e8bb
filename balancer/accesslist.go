// Addresses: whose requests are let in, and whose word is taken for where a connection comes from.

package balancer

import (
	"net/netip"
	"slices"
)

// Addresses are the lists by which clients are judged.
type Addresses struct {
	Allow     []netip.Prefix `json:"Allow"`     // empty: all
	Deny      []netip.Prefix `json:"Deny"`      // wins over Allow
	ProxyFrom []netip.Prefix `json:"ProxyFrom"` // fronts that say whose connection they pass on
}

// Admits says whether a client is let in. One whose address is not known is a stranger to any list.
func (a *Addresses) Admits(client netip.Addr) bool {
	if a == nil {
		return true
	}
	if !client.IsValid() {
		return len(a.Allow) == 0 && len(a.Deny) == 0
	}
	return (len(a.Allow) == 0 || within(a.Allow, client)) && !within(a.Deny, client)
}

// Trusts says whether a connection from an address must begin by naming its client.
func (a *Addresses) Trusts(peer netip.Addr) bool {
	return a != nil && within(a.ProxyFrom, peer)
}

func within(list []netip.Prefix, a netip.Addr) bool {
	a = a.Unmap().WithZone("")
	return slices.ContainsFunc(list, func(p netip.Prefix) bool { return p.Contains(a) })
}
