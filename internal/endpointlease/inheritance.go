package endpointlease

import "time"

// Evidence says why the list that a process hands over is known to be current, or was when the present outage began. The
// process that takes it over continues from there. The values are sent in a hot restart, and must not change.
type Evidence string

const (
	// NoEvidence: discovery may have a change that the node has not received. Polls that are refused do not extend the lease.
	NoEvidence Evidence = ""
	// WatchEvidence: a watch receives its heartbeats.
	WatchEvidence Evidence = "watch"
	// UnreachableEvidence: the outage, in which connections fail, extends the lease.
	UnreachableEvidence Evidence = "unreachable"
	// ProxyEvidence: the outage, in which a proxy rejects polls, extends the lease.
	ProxyEvidence Evidence = "proxy"
)

// HoldBootstrapList records that a new process holds the list that it was given. The list may be of any age: a server may
// have begun to drain long ago, so that the node counts as notified of it from the start.
func (t *Tracker) HoldBootstrapList(now time.Duration) {
	t.confirmedAt, t.doubt = now-NotificationDeadline, NeverConfirmed
}

// Evidence returns the evidence that the list is current, for a process that takes it over.
func (t *Tracker) Evidence(now time.Duration) Evidence {
	watch := t.healthyWatch(now)
	switch {
	case t.State(now) == Fresh && watch.listBeganAt == 0:
		return WatchEvidence
	case t.doubt != NoDoubt || t.expiryFixedByOutage > 0 || now >= t.Expires():
		return NoEvidence
	case t.availability == unreachable && now-t.currentUntil <= maxUnobservedTime:
		return UnreachableEvidence
	case t.availability == downBehindProxy:
		return ProxyEvidence
	}
	return NoEvidence
}

// Inherit takes over the list of the previous process: age is NotificationDeadline minus the rest of its lease. Without the
// age, a restart would renew the lease of a list that discovery has not confirmed. Without the evidence, a restart during an
// outage would either end a lease that the outage extends, or have the outage extend one that a change has ended.
func (t *Tracker) Inherit(now, age time.Duration, evidence Evidence) {
	t.confirmedAt, t.currentUntil, t.doubt = now-age, now, NoDoubt
	switch evidence {
	case WatchEvidence:
		t.wantProbe(now)
	case UnreachableEvidence:
		t.availability, t.unavailablePollAt = unreachable, now-age
		t.wantProbe(now)
	case ProxyEvidence:
		t.availability, t.unavailablePollAt, t.lateRejectionMeansDown = downBehindProxy, now-age, true
	default:
		t.doubt = Unobserved
	}
}
