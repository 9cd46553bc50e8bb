package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"hookwalk.example/hookwalk/internal/adminapi"
	"hookwalk.example/hookwalk/internal/capture"
	"hookwalk.example/hookwalk/internal/faultinjection"
	"hookwalk.example/hookwalk/internal/lifecycle"
	"hookwalk.example/hookwalk/internal/metrics"
)

// Run serves clients until ctx ends, then shuts down and returns nil. During the shutdown it still accepts connections until
// the load balancer in front of the node has noticed, and answers the open requests. An error says why the node could not
// start, or could not continue to serve.
func (n *Node) Run(ctx context.Context) error {
	clients, err := n.listenOrTakeOver(ctx)
	if err != nil {
		return fmt.Errorf("client listener: %w", err)
	}
	var admin net.Listener
	if n.cfg.AdminAddress != "" {
		if admin, err = net.Listen("tcp", n.cfg.AdminAddress); err != nil {
			clients.Close()
			return fmt.Errorf("admin listener: %w", err)
		}
	}
	return n.serve(ctx, clients, admin)
}

// serve serves clients on one listener and the admin API on the other (nil: no admin API), until ctx ends or serving
// clients fails.
//
// It starts these goroutines, all of which have ended when it returns: the engine's loop, discovery's watch, the admin API
// and the connection to the other process (all in owned); one for each attempt and each connection to a server (owned by
// the pool); those of startIdleCloser; the writers of metrics and captures. The goroutines of client connections belong to
// net/http. They end in shutDown, except those whose connections are closed at the deadline: these end shortly after it.
//
// The shutdown order ensures that nothing is lost. Serving clients ends first. Then the admin API is closed, before the
// connection to the other process, because its calls must reach that process. Discovery and the connections to servers
// follow. The engine stops after them, because attempts report their results to it. Metrics and the capture, which record
// all of this, are closed last.
func (n *Node) serve(ctx context.Context, clients, admin net.Listener) error {
	var owned sync.WaitGroup // goroutines that end before serve returns
	n.startFeatures()
	owned.Go(n.engine.Run)
	owned.Go(n.forwardAbandonedRuns)
	watchCtx, stopWatching := context.WithCancel(context.Background())
	stopWaiting := n.startDiscovery(watchCtx, &owned)
	defer stopWaiting()

	n.clientListener = newClientListener(clients, n.maxClientConns, n.engine.Metrics)
	n.clientListener.log = n.log
	if n.memory > 0 {
		n.clientListener.headMemory = &memoryPool{bytes: n.memory / headMemoryDivisor}
	}
	if a := n.cfg.Features.AccessList; a != nil {
		n.clientListener.access = &accessControl{accessList: n.accessList, proxyHeaderTimeout: a.ProxyTimeout, log: n.log}
	}
	if n.sharedLimits.others() > 0 {
		n.applySharedLimits() // before the first client is accepted
	}
	owned.Go(n.watchOtherProcesses)
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

// waitForEnd returns when clients are no longer served: nil after a shutdown, or the error that ended serving.
func (n *Node) waitForEnd(ctx context.Context, server *http.Server, serveErr <-chan error) error {
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve clients: %w", err)
	case <-ctx.Done():
	}
	n.shutDown(server)
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// newHTTPServer returns the HTTP server for clients.
func (n *Node) newHTTPServer() *http.Server {
	return &http.Server{
		Handler: &ingressHandler{
			engine:                    n.engine,
			clock:                     n.clock,
			classes:                   n.classes.Load,
			ready:                     n.ready,
			bufferLimit:               bufferLimit(n.memory, requestBodyMemoryDivisor, n.maxClientConns),
			faultKeys:                 faultinjection.NewKeys(n.cfg.Features.FaultInjections),
			metrics:                   n.engine.Metrics,
			accessList:                n.accessList,
			violations:                n.engine.Violations,
			responsesCloseConnections: func() bool { return n.lifecycle.Load().ResponsesCloseConnections(n.clock.Now()) },
			shuttingDown:              func() bool { return n.lifecycle.Load().ShuttingDown() },
		},
		ReadHeaderTimeout: requestHeadTimeout,
		ConnState:         n.clientListener.connStateChanged,
		ConnContext:       withConn,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxRequestHead,

		DisableGeneralOptionsHandler: true, // it reads a body without a time limit
		ErrorLog:                     slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
}

// startFeatures creates the metrics reporter and the capture, if the settings file enables them.
func (n *Node) startFeatures() {
	if f := n.cfg.Features.Metrics; f != nil {
		n.engine.Metrics = metrics.New(*f, n.cfg.classNames(), n.cfg.tenantNames, n.stderr, n.log)
	}
	if c := n.cfg.Features.Capture; c != nil {
		n.engine.Capture = capture.New(*c, n.cfg.Name, n.engine.Balancer, n.currentSettings(), n.cfg.Seed, n.stderr, n.log)
		if n.cfg.MemoryMB > 0 {
			n.engine.Capture.LimitRing(n.cfg.MemoryMB << 20 / captureMemoryDivisor)
		}
	}
}

// startMetrics starts a goroutine that writes metrics, if they are enabled. The returned function stops it after a final
// write.
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

// startAdmin serves the admin API on a listener (nil: no admin API) until the returned function is called. If the admin API
// fails, the node continues to serve clients.
func (n *Node) startAdmin(ln net.Listener, owned *sync.WaitGroup) (stop func()) {
	if ln == nil {
		return func() {}
	}
	server := adminapi.New(ln, adminService{n}, n.log)
	owned.Go(func() {
		if err := server.Run(); err != nil {
			n.log.Error("admin API server failed", "err", err)
		}
	})
	return server.Close
}
