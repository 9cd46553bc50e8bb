package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"hookwalk.example/hookwalk/configversion"
)

// Bounds of the HTTP server: a client that sends or reads slowly must not hold a connection or memory for long.
const (
	headerTimeout     = 5 * time.Second  // to read a request's header
	bodyTimeout       = 10 * time.Second // to read a request's body
	responseTimeout   = 10 * time.Second // to write a response that is not a watch
	idleTimeout       = 60 * time.Second // until a connection without a request is closed
	watchWriteTimeout = 3 * time.Second  // to write a line of a watch; a node that does not read is disconnected
	maxHeaderBytes    = 16 << 10         // of the header of a request

	// connectionsPerSession is how many connections a node may have: one for its watch, and one for acknowledgements.
	connectionsPerSession = 2
	// extraConnections is the number of connections beyond those of the nodes, for operators and other controllers.
	extraConnections = 256
)

const (
	// migrationsPerSecond is the maximum rate at which a controller migrates sessions. It is high enough to fill a
	// restarted controller within half a minute, and low enough that the nodes' new connections cause no burst.
	migrationsPerSecond = 20
	// drainTimeout is how long a controller that shuts down waits for its nodes to migrate, and then again for open
	// requests to complete.
	drainTimeout = 2 * time.Second
)

// Controller is a member of the control service. New creates it, and Run serves requests. Run must be called only once.
type Controller struct {
	config    Config
	log       *slog.Logger
	processID string // random; distinguishes two processes that run on copies of one disk
	views     *viewStore
	nodes     *nodeTable
	reports   *controllerReports

	disk         *disk
	listener     net.Listener
	raftListener net.Listener
	server       *http.Server

	consensus     atomic.Pointer[consensus] // nil while raft is not running
	participation atomic.Pointer[participation]
	tasks         sync.WaitGroup
}

// New opens a controller's folder and listens on its addresses. Its error is a FolderError or a ListenError.
func New(config Config, log *slog.Logger) (*Controller, error) {
	maxMigrations := int(migrationsPerSecond * reportPollInterval / time.Second)
	placement := configversion.NewPlacement(config.Self.ControllerAddress(), config.MaxSessions, maxMigrations)
	c := &Controller{
		config:    config,
		log:       log.With("controller", config.Self.Name),
		processID: randomText(),
		views:     newViewStore(),
		nodes:     newNodeTable(placement),
		reports:   newControllerReports(config),
	}
	var err error
	if c.disk, err = openDisk(config.Folder, config.Self.Name); err != nil {
		return nil, err
	}
	if err := c.listen(); err != nil {
		_ = c.disk.close()
		return nil, err
	}
	if err := c.initParticipation(); err != nil {
		c.releaseResources()
		return nil, err
	}
	c.server = &http.Server{
		Handler:           c.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	return c, nil
}

func (c *Controller) listen() error {
	options := net.ListenConfig{Control: setSocketOptions}
	listener, err := options.Listen(context.Background(), "tcp", c.config.Self.Listen)
	if err != nil {
		return &ListenError{c.config.Self.Listen, err}
	}
	raftListener, err := net.Listen("tcp", c.config.Self.Raft)
	if err != nil {
		_ = listener.Close()
		return &ListenError{c.config.Self.Raft, err}
	}
	c.listener = netutil.LimitListener(listener, connectionsPerSession*c.config.MaxSessions+extraConnections)
	c.raftListener = raftListener
	return nil
}

// releaseResources closes what New has opened.
func (c *Controller) releaseResources() {
	_ = c.listener.Close()
	_ = c.raftListener.Close()
	_ = c.disk.close()
}

// Run serves requests until ctx ends or a task fails, and then shuts the controller down. Its error is that of the
// failed task: the HTTP server's error, or the reason why raft could not run.
func (c *Controller) Run(ctx context.Context) error {
	c.log.Info("serving", "listen", c.config.Self.Listen, "raft", c.config.Self.Raft, "folder", c.config.Folder,
		"region", c.config.Self.Region, "zone", c.config.Self.Zone, "max_sessions", c.config.MaxSessions)
	taskContext, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2) // buffers one error for each task that may fail
	c.tasks.Go(func() {
		if err := c.server.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	c.tasks.Go(func() { c.pollReports(taskContext) })
	c.tasks.Go(func() {
		if err := c.runConsensus(taskContext); err != nil {
			failed <- err
		}
	})
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	c.shutdown(stop)
	return err
}

// shutdown ends the controller in stages. It transfers the leadership, asks its nodes to migrate and waits for them for
// a bounded time, and then closes the remaining sessions and requests. It stops raft last, so that nodes are served
// until they have left.
func (c *Controller) shutdown(stop context.CancelFunc) {
	if running := c.consensus.Load(); running != nil {
		running.transferLeadership()
	}
	c.nodes.drain(time.Now())
	c.waitForSessions()
	c.nodes.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		_ = c.server.Close()
	}
	stop()
	c.tasks.Wait()
	if running := c.consensus.Load(); running != nil {
		running.close()
	} else {
		_ = c.raftListener.Close()
	}
	if err := c.disk.close(); err != nil {
		c.log.Warn("closing the log failed", "err", err)
	}
	c.log.Info("stopped")
}

// waitForSessions waits up to drainTimeout for the nodes to migrate.
func (c *Controller) waitForSessions() {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for remaining := drainTimeout; remaining > 0 && c.nodes.sessionCount() > 0; remaining -= monitorInterval {
		<-tick.C
	}
}

// pollReports polls the other controllers' reports until ctx ends, and requests the session migrations that follow from
// them.
func (c *Controller) pollReports(ctx context.Context) {
	tick := time.NewTicker(reportPollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		c.reports.poll(ctx, c.participation.Load().serverID)
		now := time.Now()
		migrated := c.nodes.setOtherControllers(c.reports.loads(now, c.views.load().hasLeaderContact), now)
		if migrated > 0 {
			c.log.Info("asked nodes to migrate to controllers with fewer sessions", "migrated", migrated, "sessions", c.nodes.sessionCount())
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}
