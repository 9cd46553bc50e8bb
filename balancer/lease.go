// Endpoint lease: what it means that the lease on the endpoint list has expired.

package balancer

// endpointListExpired says that there is an endpoint list and its lease has expired.
//
// While discovery can't be reached, a server may have left the list, drained or been replaced without this
// node being notified; sending on would reach a server that must get no new work. So nothing is sent until
// the lease is renewed: chooseServer finds no server, and what waits is answered at once (enqueue,
// dispatchQueued), as a rejection where a retry does no harm. It shows as rejections of all classes with
// nothing in flight. Before the first list there is nothing to send on, and requests wait for its arrival
// as for any server.
func (b *Balancer) endpointListExpired() bool { return b.leaseExpired && len(b.servers) > 0 }
