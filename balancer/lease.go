// Endpoint lease: what happens when the lease on the endpoint list has expired.

package balancer

// endpointListExpired reports whether there is an endpoint list and its lease has expired.
//
// While discovery cannot be reached, a server may have left the list, drained or been replaced without this
// node being notified, and a request could be sent to a server that must get no new work. Nothing is
// therefore sent until the lease is renewed: chooseServer finds no server, and queued requests are answered
// immediately (enqueue, dispatchQueued), with a rejection if a retry does no harm. The symptom is rejections
// of all classes with nothing in flight. Before the first list there is no server to send to, and requests
// wait for the list as they would wait for any server.
func (b *Balancer) endpointListExpired() bool { return b.leaseExpired && len(b.servers) > 0 }
