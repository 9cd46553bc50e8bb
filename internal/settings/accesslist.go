package settings

import (
	"net/netip"
	"time"
)

// AccessList says whose requests are admitted, by the address that a connection comes from.
type AccessList struct {
	Allow          []netip.Prefix // nil: all
	Deny           []netip.Prefix // wins over Allow
	TrustedProxies []netip.Prefix // whose connections begin with a PROXY header that names the client
	ProxyTimeout   time.Duration  // within which that header must have come; default 500 ms
}

// Bounds of AccessList.ProxyTimeout.
const (
	defaultProxyTimeout = 500 * time.Millisecond // a proxy writes the header with the first packet
	minProxyTimeout     = time.Millisecond       // 0 would close every connection
	maxProxyTimeout     = time.Second            // a connection without a request is to be closed within 3 s in all
)

func (f *File) readAccessList(r *Reader) {
	r.CheckSingle(f.AccessList != nil)
	f.AccessList = &AccessList{
		Allow:          r.Prefixes("allow"),
		Deny:           r.Prefixes("deny"),
		TrustedProxies: r.Prefixes("proxy_from"),
		ProxyTimeout:   r.Milliseconds("proxy_timeout_ms", defaultProxyTimeout, minProxyTimeout, maxProxyTimeout),
	}
}
