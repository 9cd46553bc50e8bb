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
	// killMargin is the minimum time between the longest deadline of a class, counted from SIGTERM, and SIGKILL.
	killMargin = 700 * time.Millisecond

	// maxCountedDeadline is the upper limit on that deadline: the platform does not wait longer before it sends
	// SIGKILL.
	maxCountedDeadline = 3 * time.Second

	// shutdownMargin is added to the longest deadline of a class for the shutdown of net/http: every answer is
	// available by the deadline, and then still has to be written.
	shutdownMargin = 20 * time.Millisecond

	// idleCloseInterval is the interval at which idle client connections are closed while clients have to leave.
	idleCloseInterval = 50 * time.Millisecond

	// clientDrainPollInterval is the interval at which a shutdown checks whether the last client has disconnected.
	clientDrainPollInterval = 50 * time.Millisecond
)

// transition applies an event to the node's lifecycle and returns the new state machine.
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
// If the listener closed immediately, it would reset connections that the load balancer in front of the node still
// sends here. If idle connections closed immediately, clients could be sending requests on them at that moment. Clients
// keep using their open connections, and may have no other node to connect to. They are served for as long as each
// answer can be written before SIGKILL.
func (n *Node) shutDown(server *http.Server) {
	n.log.Info("shutting down")
	machine := n.transition(lifecycle.Terminate)
	n.engine.BeginShutdown(machine.HardDeadline())
	time.Sleep(machine.RemainingAcceptTime(n.clock.Now()))
	n.drainClients(machine)
	n.clientListener.stopReadingIdleConns()
	ctx, cancel := context.WithTimeout(context.Background(), n.classes.Load().maxDeadline+shutdownMargin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Warn("closing connections that are still open", "err", err) // no request on them still needs a response
		server.Close()
	}
}

// drainClients stops accepting connections and waits until all clients have disconnected. Connections in use close with
// their next response, and idle connections as late as possible, so that only this last close can coincide with a new
// request. The shutdown of net/http starts only after drainClients, because requests that net/http reads during its
// shutdown get no response. Therefore drainClients waits after the hard deadline for as long as a client may take for the
// rest of a head: such a request is rejected at once.
func (n *Node) drainClients(machine lifecycle.Machine) {
	n.clientListener.stopAccepting()
	n.startIdleCloser(machine)
	for n.clientListener.connCount() > 0 && n.clock.Now() < machine.HardDeadline()+requestHeadTimeout {
		time.Sleep(clientDrainPollInterval)
	}
}

// setInService puts the node in service, or takes it out of service.
func (n *Node) setInService(inService bool) {
	if inService {
		n.transition(lifecycle.InService)
		return
	}
	n.startIdleCloser(n.transition(lifecycle.OutOfService))
}

// startIdleCloser starts a goroutine that closes idle client connections when the lifecycle allows it. The goroutine
// ends when the node's lifecycle state is no longer machine, or when the node has stopped.
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
