package settings

import (
	"net/netip"
	"time"
)

// AccessList configures which clients are admitted, by the source address of the connection.
type AccessList struct {
	Allow          []netip.Prefix // nil: all addresses
	Deny           []netip.Prefix // takes precedence over Allow
	TrustedProxies []netip.Prefix // connections from these addresses begin with a PROXY header that names the client
	ProxyTimeout   time.Duration  // within which the PROXY header must arrive; default 500 ms
}

// Bounds of AccessList.ProxyTimeout.
const (
	defaultProxyTimeout = 500 * time.Millisecond // a proxy sends the header in the first packet
	minProxyTimeout     = time.Millisecond       // 0 would close every connection
	maxProxyTimeout     = time.Second            // a connection without a request must be closed within 3 s in total
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
