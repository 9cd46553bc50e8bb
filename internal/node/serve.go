package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/adminapi"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/lifecycle"
	"hookwalk.example/hookwalk/internal/metrics"
)

// Run serves until ctx ends, then shuts down: it accepts what still comes while the load balancer in front of it
// notices, answers what is open and returns nil. Any error is why it could not begin, or not go on.
func (n *Node) Run(ctx context.Context) error {
	clients, err := n.listenOrTakeOver(ctx)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var admin net.Listener
	if n.cfg.AdminAddress != "" {
		if admin, err = net.Listen("tcp", n.cfg.AdminAddress); err != nil {
			clients.Close()
			return fmt.Errorf("control: %w", err)
		}
	}
	return n.serve(ctx, clients, admin)
}

// serve serves clients on one listener and operators on the other (nil: none), until ctx ends or serving clients fails.
//
// Its goroutines: the engine's loop, discovery's watch, the admin API and those of the other process (in owned); one for
// each attempt and each connection to a server (the pool's); closeIdleConnections; the writers of metrics and captures. All
// of these have ended when it returns. The goroutines of client connections are net/http's: they end in shutDown, but for
// those that it closes at its deadline, which end soon after.
//
// It ends in an order that loses nothing: clients first, then operators, whose calls must reach the other process; then
// the other process, discovery and the connections to servers; the engine, which may still report results of attempts;
// at last metrics and the capture, which record all that.
func (n *Node) serve(ctx context.Context, clients, admin net.Listener) error {
	var owned sync.WaitGroup // of all goroutines that serve the node
	n.startFeatures()
	owned.Go(n.engine.Run)
	watching, stopWatching := context.WithCancel(context.Background())
	stopWaiting := n.startDiscovery(watching, &owned)
	defer stopWaiting()

	n.clientListener = newClientListener(clients, n.maxClientConns, n.engine.Metrics)
	if a := n.cfg.Features.AccessList; a != nil {
		n.clientListener.access = &accessControl{accessList: n.accessList, proxyHeaderTimeout: a.ProxyTimeout, log: n.log}
	}
	stopMetrics := n.startMetrics()
	server := n.newHTTPServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(n.clientListener) }()
	if machine := n.transition(lifecycle.Started); machine.IsOutOfService() {
		n.startIdleCloser(machine)
	}
	disconnectOtherProcess := n.connectOtherProcess(clients, owned.Go)
	stopAdmin := n.startAdmin(admin, &owned)
	n.log.Info("serving", "name", n.cfg.Name, "listen", clients.Addr().String(), "tier", n.cfg.Settings.Tier)

	err := n.waitForEnd(ctx, server, serveErr)
	stopAdmin()
	disconnectOtherProcess()
	close(n.stopped)
	n.idleClosers.Wait()
	stopWatching()
	n.pool.closeAll()
	n.engine.Stop()
	owned.Wait()
	stopMetrics()
	n.engine.Capture.Close()
	n.log.Info("stopped")
	return err
}

// waitForEnd returns when clients are no longer served: after a shutdown with nil, else with the error.
func (n *Node) waitForEnd(ctx context.Context, server *http.Server, serveErr <-chan error) error {
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	n.shutDown(server)
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// newHTTPServer is the server of clients.
func (n *Node) newHTTPServer() *http.Server {
	return &http.Server{
		Handler: &ingressHandler{
			engine:          n.engine,
			clock:           n.clock,
			classes:         n.classes.Load,
			ready:           n.ready,
			bufferLimit:     bufferLimit(n.cfg.MemoryMB, requestBodyMemoryDivisor, n.maxClientConns),
			faultKeys:       faultinjection.NewKeys(n.cfg.Features.FaultInjections),
			metrics:         n.engine.Metrics,
			accessList:      n.accessList,
			guard:           n.engine.Guard,
			endsConnections: func() bool { return n.lifecycle.Load().ResponsesCloseConnections(n.clock.Now()) },
			hardDeadline:    func() time.Duration { return n.lifecycle.Load().HardDeadline() },
		},
		ReadHeaderTimeout: requestHeadTimeout,
		ConnState:         n.clientListener.connStateChanged,
		ConnContext:       withConn,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxRequestHead,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
}

// startFeatures starts what the settings file has switched on and the engine takes part in.
func (n *Node) startFeatures() {
	if f := n.cfg.Features.Metrics; f != nil {
		n.engine.Metrics = metrics.New(*f, n.cfg.classNames(), n.cfg.tenantNames, n.stderr, n.log)
	}
	if c := n.cfg.Features.Capture; c != nil {
		n.engine.Capture = capture.New(*c, n.cfg.Name, n.engine.Balancer, n.currentSettings(), n.cfg.Seed, n.stderr, n.log)
	}
}

// startMetrics writes metrics, if they are on, until the function that it returns is called; that one writes the last.
func (n *Node) startMetrics() (stop func()) {
	reporter := n.engine.Metrics
	if reporter == nil {
		return func() {}
	}
	done := make(chan struct{})
	go reporter.Run(done)
	return func() {
		close(done)
		reporter.Wait()
	}
}

// startAdmin answers operators' calls on a listener (nil: there are none) until the function that it returns is called.
// A failure there does not end the node: it serves clients on.
func (n *Node) startAdmin(ln net.Listener, owned *sync.WaitGroup) (stop func()) {
	if ln == nil {
		return func() {}
	}
	server := adminapi.New(ln, adminService{n}, n.log)
	owned.Go(func() {
		if err := server.Run(); err != nil {
			n.log.Error("the admin API has failed", "err", err)
		}
	})
	return server.Close
}
