package blackbox

import (
	"math"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// resumeAllowance is how long a resumed server may take to record the requests that arrived while it was stopped.
const resumeAllowance = 300 * time.Millisecond

// forever is the end time of a stop that has not ended yet.
const forever = time.Duration(math.MaxInt64)

// applyProcessFault applies a fault of a process, or of the links between two processes.
func (v *evaluator) applyProcessFault(e Event) {
	switch {
	case e.Kind == ServerDied:
		v.serverDied(e)
	case e.Kind == LinkHeld:
		v.heldUntil[linkKey{e.Node, e.Server}] = forever
		v.attemptsUnobserved(e, e.Node)
	case e.Kind == LinkReleased:
		v.heldUntil[linkKey{e.Node, e.Server}] = e.At + resumeAllowance
	case e.Kind == ClientsReset:
		v.checker.ConnectionsReset(e.Node)
	case e.Node != "" && (e.Kind == ClientsMuted || e.Kind == ProcessStopped):
		v.checker.NodeUnresponsive(e.At, e.Node)
	case e.Kind == ClientsUnmuted:
		// The node may count the deadline of a request from its arrival, which can be now.
		v.checker.NodeResponsive(e.At, e.Node, v.longestDeadline())
	case e.Node != "":
		v.checker.NodeResponsive(e.At, e.Node, 0)
	case e.Kind == ProcessStopped:
		v.stoppedUntil[e.Server] = forever
		v.attemptsUnobserved(e, "")
	default:
		v.stoppedUntil[e.Server] = e.At + resumeAllowance
	}
}

// serverDied ends all attempts that are in flight to a server.
func (v *evaluator) serverDied(e Event) {
	for key, r := range v.requests {
		for n, server := range r.attemptServers {
			if server == e.Server {
				r.attemptServers[n] = ""
				v.checker.AttemptEnded(e.At, key.node, key.id, n, balancer.ConnectionLost)
			}
		}
	}
	delete(v.stoppedUntil, e.Server)
}

// attemptsUnobserved records that the end of the attempts in flight to a server cannot be observed. An empty node means
// all nodes.
func (v *evaluator) attemptsUnobserved(e Event, node string) {
	for key, r := range v.requests {
		for n, server := range r.attemptServers {
			if server == e.Server && (node == "" || node == key.node) {
				v.checker.AttemptUnobserved(e.At, key.node, key.id, n)
			}
		}
	}
}

func (v *evaluator) longestDeadline() (longest time.Duration) {
	for _, c := range v.header.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
