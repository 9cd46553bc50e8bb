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

// connectTimeout is how long a hollow node waits for a connection, as a real one does.
const connectTimeout = 2 * time.Second

// configSession is the real session of a hollow node.
type configSession struct{ session *configwatch.Session }

// Close ends the session.
func (s configSession) Close() error {
	s.session.Close()
	return nil
}

// hollowApplier brings configurations into force at a node that has no data path: it reads them as a node does, and
// remembers which publication they came from.
type hollowApplier struct{ publication atomic.Pointer[string] }

// Apply reads and checks a configuration.
func (a *hollowApplier) Apply(_ context.Context, config configapi.ServiceConfig) error {
	settings, err := simwire.ParseSettings(config.Settings)
	if err != nil {
		return &configapi.Rejection{Kind: configapi.RejectUnreadable, Message: err.Error()}
	}
	if err := settings.Validate(); err != nil {
		return &configapi.Rejection{Kind: configapi.RejectInvalid, Message: err.Error()}
	}
	a.take(config)
	return nil
}

func (a *hollowApplier) take(config configapi.ServiceConfig) {
	id := publicationOf(config.Settings)
	a.publication.Store(&id)
}

// inForce is the publication whose settings are in force, "": none.
func (a *hollowApplier) inForce() string {
	if id := a.publication.Load(); id != nil {
		return *id
	}
	return ""
}

// startConfigSession starts the session of a hollow node, from its last known good version if it keeps one.
func startConfigSession(spec HollowSpec, node HollowNode, network *Network, observe func(Observation)) (hollowSession, error) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil)) // lines are written as at a real node, to nobody
	applier := &hollowApplier{}
	report := func(version, applied configapi.Version, outcome configapi.Outcome) {
		observe(Observation{Node: node.Name, Service: node.Service, Life: spec.Life, Version: version, Outcome: outcome, InForce: applied,
			ID: applier.inForce(), AtNS: time.Now().UnixNano()})
	}
	options := configwatch.Options{Node: node.Name, Service: node.Service, Region: node.Region, Zone: node.Zone, Seed: spec.Seed + nameHash(node.Name),
		Started: time.Now(), Applier: applier, Log: log, Dial: dialThrough(network),
		Observe: func(a configversion.VersionDecided) { report(a.Version, a.Applied, a.Outcome) }}
	for _, controller := range spec.Controllers {
		options.Controllers = append(options.Controllers, controller.Address)
	}
	if spec.Folder != "" {
		folder := filepath.Join(spec.Folder, node.Name) // each has one of its own: a write looks at all that is there
		err := os.MkdirAll(folder, 0o700)
		if err != nil {
			return nil, err
		}
		options.Store = configwatch.NewStore(folder, node.Name, log)
		if options.LastKnownGood, err = options.Store.Read(); err != nil {
			return nil, err
		}
	}
	if kept := options.LastKnownGood; kept.Version > 0 {
		if kept.Config != nil {
			applier.take(*kept.Config)
		}
		report(kept.Version, kept.Version, configapi.Applied)
	}
	return configSession{configwatch.Start(options)}, nil
}

// dialThrough has a session dial through a network.
func dialThrough(through *Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeoutCause(ctx, connectTimeout, errors.New("no connection within the timeout"))
		defer cancel()
		return through.DialContext(ctx, network, address)
	}
}

// nameHash tells nodes' seeds apart.
func nameHash(name string) uint64 {
	hash := fnv.New64a()
	io.WriteString(hash, name)
	return hash.Sum64()
}
