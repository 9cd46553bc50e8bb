package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/lifecycle"
)

const (
	// killMargin is the time from the longest deadline of a class to SIGKILL: the platform kills no earlier.
	killMargin = 700 * time.Millisecond

	// maxCountedDeadline is how much of that deadline counts: the platform waits no longer for a node to end.
	maxCountedDeadline = 3 * time.Second

	// shutdownMargin is the time beyond the longest deadline that net/http has for its shutdown: every answer comes by
	// the deadline and has to be written.
	shutdownMargin = 20 * time.Millisecond

	// idleCloseInterval is the time between two passes over idle connections while clients are sent away.
	idleCloseInterval = 50 * time.Millisecond

	// clientDrainPollInterval is the time between two looks at whether the last client has left.
	clientDrainPollInterval = 50 * time.Millisecond
)

// transition applies an event to the node's lifecycle and returns the machine after it.
func (n *Node) transition(event lifecycle.Event) lifecycle.Machine {
	for {
		old := n.lifecycle.Load()
		killDelay := min(n.classes.Load().maxDeadline, n.maxCountedDeadline) + killMargin
		next := old.Step(n.clock.Now(), event, killDelay, n.successorServing())
		if n.lifecycle.CompareAndSwap(old, &next) {
			return next
		}
	}
}

// shutDown stops serving without losing a request.
//
// A listener that closed at once would reset the connections that the load balancer in front of the node still sends
// here, and idle connections that closed at once would cross requests. Clients use the connections that they have while
// these stay open, and may have no other node to go to: they are served for as long as each answer comes before SIGKILL
// can.
func (n *Node) shutDown(server *http.Server) {
	n.log.Info("shutting down")
	machine := n.transition(lifecycle.Terminate)
	if len(n.cfg.Features.FaultInjections) > 0 { // without any, the balancer's capture would have an event of no effect
		n.engine.EndFaultInjections()
	}
	time.Sleep(machine.AcceptsFor(n.clock.Now()))
	n.drainClients(machine)
	n.clientListener.stopReadingIdle()
	ctx, cancel := context.WithTimeout(context.Background(), n.classes.Load().maxDeadline+shutdownMargin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Warn("connections left open", "err", err) // none of them is owed a response any more
		server.Close()
	}
}

// drainClients leaves new clients to others and waits until those of this process have gone, no longer than to the hard
// deadline. Connections in use end with their next response, idle ones as late as may be: so no close but the last crosses a
// request. net/http's own shutdown begins only then: from its begin on, a request that it has read gets no response.
func (n *Node) drainClients(machine lifecycle.Machine) {
	n.clientListener.stopAccepting()
	n.startIdleCloser(machine)
	for n.clientListener.connCount() > 0 && n.clock.Now() < machine.HardDeadline() {
		time.Sleep(clientDrainPollInterval)
	}
}

// setInService puts the node in service, or out of it.
func (n *Node) setInService(inService bool) {
	if inService {
		n.transition(lifecycle.InService)
		return
	}
	n.startIdleCloser(n.transition(lifecycle.OutOfService))
}

// startIdleCloser starts a goroutine that closes idle client connections when the lifecycle says so. It ends when
// the node's lifecycle is no longer at machine, or the node has stopped.
func (n *Node) startIdleCloser(machine lifecycle.Machine) {
	n.idleClosers.Go(func() {
		tick := time.NewTicker(idleCloseInterval)
		defer tick.Stop()
		for *n.lifecycle.Load() == machine {
			select {
			case <-tick.C:
			case <-n.stopped:
				return
			}
			if minIdle, closes := machine.ClosesIdleConnections(n.clock.Now()); closes {
				n.clientListener.closeIdle(minIdle)
			}
		}
	})
}
