package balancer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"
)

// Covers ranges of both address families, IPv4 addresses mapped to IPv6, Deny before Allow, and clients whose
// address is unknown.
func TestAccessListAllows(t *testing.T) {
	empty, allowAndDeny := &AccessList{}, &AccessList{Allow: parsePrefixes("10.4.0.0/16", "fd00:12::/48"), Deny: parsePrefixes("10.4.9.0/24")}
	denyOnly := &AccessList{Deny: parsePrefixes("10.4.9.0/24", "::1/128")}
	for _, c := range []struct {
		list   *AccessList
		client string
		want   bool
	}{
		{nil, "192.0.2.1", true}, {nil, "", true},
		{empty, "192.0.2.1", true}, {empty, "::1", true}, {empty, "", true},
		{allowAndDeny, "10.4.1.1", true}, {allowAndDeny, "::ffff:10.4.1.1", true}, {allowAndDeny, "fd00:12::7", true}, {allowAndDeny, "fd00:12::7%eth0", true},
		{allowAndDeny, "10.5.1.1", false}, {allowAndDeny, "fd00:13::7", false}, {allowAndDeny, "", false},
		{allowAndDeny, "10.4.9.1", false}, {allowAndDeny, "::ffff:10.4.9.1", false},
		{denyOnly, "10.4.9.1", false}, {denyOnly, "10.4.8.1", true}, {denyOnly, "::1", false}, {denyOnly, "::2", true}, {denyOnly, "", false},
	} {
		var client netip.Addr
		if c.client != "" {
			client = netip.MustParseAddr(c.client)
		}
		if got := c.list.Allows(client); got != c.want {
			t.Errorf("%+v allows %s: %v", c.list, c.client, got)
		}
	}
}

// Only a trusted proxy may state the addresses of its clients; otherwise anyone could choose the address by
// which they are admitted.
func TestAccessListTrustsProxy(t *testing.T) {
	list := &AccessList{TrustedProxies: parsePrefixes("127.0.0.2/32", "fd00::/64")}
	for addr, want := range map[string]bool{"127.0.0.2": true, "::ffff:127.0.0.2": true, "127.0.0.1": false, "fd00::9": true, "fd01::9": false} {
		if list.TrustsProxy(netip.MustParseAddr(addr)) != want {
			t.Errorf("trusts %s: %v", addr, !want)
		}
	}
	if (*AccessList)(nil).TrustsProxy(netip.MustParseAddr("::1")) || (&AccessList{}).TrustsProxy(netip.Addr{}) {
		t.Error("a proxy is trusted without a list")
	}
}

// A client outside the access list is denied before anything is learned from its request, even if its request
// ID is in use.
func TestClientsOutsideTheAccessListAreDenied(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.AccessList = &AccessList{Allow: parsePrefixes("10.4.0.0/16")} })
	b.Handle(0, EndpointUpdate{Complete: true, Servers: servers(4)})
	allowed := Request{ID: "r", Class: "pay", Deadline: time.Second, Client: netip.MustParseAddr("10.4.0.1")}
	if acts := b.Handle(0, allowed); len(sends(acts)) != 1 {
		t.Errorf("an allowed client: %v", acts)
	}
	for _, id := range []string{"r", "s"} {
		denied := Request{ID: id, Class: "pay", Deadline: time.Second, Client: netip.MustParseAddr("10.5.0.1")}
		if acts := b.Handle(0, denied); !reflect.DeepEqual(acts, []Action{Deny{ID: id}}) {
			t.Errorf("a denied client: %v", acts)
		}
	}
	if len(b.requests) != 1 || b.classes["pay"].arrivals != 1 {
		t.Errorf("%d requests are kept, %g counted", len(b.requests), b.classes["pay"].arrivals)
	}
}
