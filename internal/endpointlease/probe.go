package endpointlease

import "time"

// Probes are connections to discovery that send nothing. They show whether discovery can be reached, at less cost to it than
// polls: discovery handles polls one after another, and does nothing for a probe. A probe is made
//
//   - when the last watch has ended, because the delay before the next poll (backoff) is long enough for a change;
//   - when a process takes over a list from another one;
//   - during an outage, every probeInterval, so that a short return of discovery is noticed.
const (
	// probeInterval is the time from the end of a probe that finds discovery unreachable to the next one.
	probeInterval = 40 * time.Millisecond
	// recoveryDelayPerPoller is the range, for each node that polls the same discovery, of the delay before the first poll
	// after an outage of a node whose lease has ended. The nodes find out at the same moment that discovery is back.
	recoveryDelayPerPoller = 5 * time.Millisecond
)

// ProbeResult is what a probe has found.
type ProbeResult int

const (
	// ProbeInconclusive: the probe failed on this machine, which says nothing about discovery.
	ProbeInconclusive ProbeResult = iota
	// ProbeConnected: discovery accepts connections.
	ProbeConnected
	// ProbeUnreachable: the connection was refused or timed out.
	ProbeUnreachable
)

// probeState is the state of the probes.
type probeState struct {
	wanted     bool          // a probe is due at the time at
	at         time.Duration // if wanted
	open       bool
	began      time.Duration // if open
	generation int           // of the address that the open probe connects to
}

// wantProbe schedules a probe.
func (t *Tracker) wantProbe(at time.Duration) { t.probe.wanted, t.probe.at = true, at }

// stepProbe adds a probe that is due to the decision on the streams. Only one probe is open at a time.
func (t *Tracker) stepProbe(decision Decision, now time.Duration) Decision {
	if decision.Action != NoAction || !t.probe.wanted || t.probe.open {
		return decision
	}
	if now >= t.probe.at {
		return Decision{Action: Probe}
	}
	decision.WakeAt = min(decision.WakeAt, t.probe.at)
	return decision
}

// ProbeBegan records that a probe of the present address has begun.
func (t *Tracker) ProbeBegan(now time.Duration) {
	t.probe = probeState{open: true, began: now, generation: t.generation}
}

// ProbeEnded records the result of the open probe. The caller draws the jitter, from 0 to 1, of the first poll after an
// outage.
func (t *Tracker) ProbeEnded(now time.Duration, result ProbeResult, jitter float64) {
	ended := t.probe
	t.probe.open = false
	if ended.generation != t.generation {
		return // AddressChanged has scheduled another one
	}
	switch result {
	case ProbeConnected:
		recovered := t.availability == unreachable
		t.noteConnected()
		if recovered {
			t.nextPollAt = now + t.recoveryDelay(now, jitter)
		}
	case ProbeUnreachable:
		t.noteUnreachable(0, ended.began, now)
	case ProbeInconclusive:
		if t.availability == unreachable {
			t.wantProbe(now + probeInterval)
		}
	}
}

// recoveryDelay returns the delay before the first poll after an outage. Nodes that reject requests poll first. The others
// leave discovery to them: they may use their lists for some seconds more.
func (t *Tracker) recoveryDelay(now time.Duration, jitter float64) time.Duration {
	spread := min(time.Duration(max(t.Pollers, 1))*recoveryDelayPerPoller, maxBackoffUnavailable)
	if t.Pollers > 1 && now < t.Expires() {
		return equalJitter(maxBackoffUnavailable, jitter)
	}
	return time.Duration(jitter * float64(spread))
}
