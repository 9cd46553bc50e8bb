package loopback

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
)

// heartbeatInterval is the time between two empty lines on a watch without changes, as discovery's specification
// requires.
const heartbeatInterval = 2 * time.Second

// watch is an open watch call of a node. Nothing is written on a muted watch, but the changes that would have been
// written are still recorded.
type watch struct {
	discovery   *discovery
	rw          http.ResponseWriter
	ctx         context.Context // of the call
	encoder     *json.Encoder
	process     *process
	incarnation string
	id          string
	muted       <-chan struct{} // closed when the watch is to be muted; nil once it is muted
	isMuted     bool
}

// mute mutes the watch and records that.
func (w *watch) mute() {
	w.isMuted, w.muted = true, nil
	w.discovery.world.observations.record(blackbox.Event{At: w.discovery.world.now(), Kind: blackbox.WatchMuted, Node: w.incarnation, ID: w.id, Ready: true})
}

// serve writes the changes since a version, and then every new change, until the connection ends.
func (w *watch) serve(from int64, muted bool) {
	if muted {
		w.mute()
	}
	w.follow(from)
	if w.isMuted {
		w.discovery.watchAbandoned(w.process, blackbox.Event{At: w.discovery.world.now(), Kind: blackbox.WatchUnmuted, Node: w.incarnation, ID: w.id})
	}
}

// follow writes changes and heartbeats until the connection ends.
func (w *watch) follow(from int64) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		list, updated := w.changesSince(from)
		if first || list.Seq > from {
			if !first && !w.waitSpread() {
				return
			}
			if !w.write(list) {
				return
			}
			from = list.Seq
		}
		select {
		case <-updated:
		case <-w.muted:
			w.mute()
		case <-heartbeat.C:
			if !w.isMuted && !w.writeHeartbeat() {
				return
			}
		case <-w.ctx.Done():
			return
		}
	}
}

// changesSince returns the changes since a version, and a channel that is closed at the next change.
func (w *watch) changesSince(version int64) (EndpointList, <-chan struct{}) {
	d := w.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.tiers[w.process.tier]
	list := l.since(version)
	w.process.withDialAddresses(list.Endpoints)
	return list, l.updated
}

// waitSpread waits for a random part of the notification spread. It returns false if the connection has ended.
func (w *watch) waitSpread() bool {
	world := w.discovery.world
	spread := time.Duration(world.randomFloat() * float64(world.scenario.Discovery.NotifySpread))
	select {
	case <-time.After(spread):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// write writes a list, unless the watch is muted, and records it. It returns false if the connection has ended.
func (w *watch) write(list EndpointList) bool {
	select {
	case <-w.muted:
		w.mute()
	default:
	}
	world := w.discovery.world
	before := world.now()
	if !w.isMuted {
		if w.encoder.Encode(list) != nil {
			return false
		}
		w.rw.(http.Flusher).Flush()
	}
	world.observations.endpointsNotified(before, world.now(), w.incarnation, w.id, list)
	return true
}

// writeHeartbeat writes an empty line. It returns false if the connection has ended.
func (w *watch) writeHeartbeat() bool {
	if _, err := w.rw.Write([]byte("\n")); err != nil {
		return false
	}
	w.rw.(http.Flusher).Flush()
	return true
}
