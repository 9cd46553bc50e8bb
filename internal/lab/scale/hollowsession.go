package scale

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"hookwalk.example/hookwalk/configversion"
	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/configwatch"
	"hookwalk.example/hookwalk/internal/simwire"
)

// connectTimeout is how long a hollow node waits for a connection, the same as a real node.
const connectTimeout = 2 * time.Second

// configSession is a hollow node's session with a controller. It runs the same code as a real node's session.
type configSession struct{ session *configwatch.Session }

// Close ends the session.
func (s configSession) Close() error {
	s.session.Close()
	return nil
}

// hollowApplier applies configurations at a node that has no data path: it parses and validates them as a node does, and
// records which publication they belong to.
type hollowApplier struct{ publication atomic.Pointer[string] }

// Apply parses and validates a configuration. Its errors are of type *configapi.Rejection.
func (a *hollowApplier) Apply(_ context.Context, config configapi.ServiceConfig) error {
	settings, err := simwire.ParseSettings(config.Settings)
	if err != nil {
		return &configapi.Rejection{Kind: configapi.RejectUnreadable, Message: err.Error()}
	}
	if err := settings.Validate(); err != nil {
		return &configapi.Rejection{Kind: configapi.RejectInvalid, Message: err.Error()}
	}
	a.setInForce(config)
	return nil
}

// setInForce records a configuration's publication.
func (a *hollowApplier) setInForce(config configapi.ServiceConfig) {
	id := publicationOf(config.Settings)
	a.publication.Store(&id)
}

// inForce returns the publication whose settings are in force, or "" if there is none.
func (a *hollowApplier) inForce() string {
	if id := a.publication.Load(); id != nil {
		return *id
	}
	return ""
}

// startConfigSession starts the session of a hollow node, from its last known good version if it has stored one.
func startConfigSession(spec HollowSpec, node HollowNode, network *Network, observe func(Observation)) (hollowSession, error) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil)) // formats lines as a real node does, and discards them
	applier := &hollowApplier{}
	report := func(version, applied configapi.Version, outcome configapi.Outcome) {
		observe(Observation{Node: node.Name, Service: node.Service, Incarnation: spec.Incarnation, Version: version, Outcome: outcome, InForce: applied,
			ID: applier.inForce(), AtNS: time.Now().UnixNano()})
	}
	options := configwatch.Options{Node: node.Name, Service: node.Service, Region: node.Region, Zone: node.Zone, Seed: spec.Seed + nameHash(node.Name),
		Started: time.Now(), Applier: applier, Log: log, Dial: dialThrough(network),
		Observe: func(a configversion.VersionDecided) { report(a.Version, a.Applied, a.Outcome) }}
	for _, controller := range spec.Controllers {
		options.Controllers = append(options.Controllers, controller.Address)
	}
	if spec.Folder != "" {
		folder := filepath.Join(spec.Folder, node.Name) // one folder for each node, because a write lists the whole folder
		err := os.MkdirAll(folder, 0o700)
		if err != nil {
			return nil, err
		}
		options.Store = configwatch.NewStore(folder, node.Name, log)
		if options.LastKnownGood, err = options.Store.Read(); err != nil {
			return nil, err
		}
	}
	if stored := options.LastKnownGood; stored.Version > 0 {
		if stored.Config != nil {
			applier.setInForce(*stored.Config)
		}
		report(stored.Version, stored.Version, configapi.Applied)
	}
	return configSession{configwatch.Start(options)}, nil
}

// dialThrough returns a dial function that uses a network and limits each dial to connectTimeout.
func dialThrough(through *Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeoutCause(ctx, connectTimeout, errors.New("no connection within the timeout"))
		defer cancel()
		return through.DialContext(ctx, network, address)
	}
}

// nameHash returns a hash of a node's name, which gives each node a different seed.
func nameHash(name string) uint64 {
	hash := fnv.New64a()
	io.WriteString(hash, name)
	return hash.Sum64()
}
