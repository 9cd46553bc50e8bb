package controller

import (
	"encoding/json"
	"sync"

	"hookwalk.example/hookwalk/internal/configapi"
)

// load is what a controller serves at one moment. It is immutable but for its cache of encoded updates.
type view struct {
	state      *state
	current    bool          // in touch with the leader of a quorum
	superseded chan struct{} // closed when there is a newer view

	lock    sync.Mutex
	encoded map[updateKey][]byte
}

// updateKey names an update that many sessions share.
type updateKey struct {
	service    string
	withConfig bool
	first      bool
}

// configVersion is the newest version that names a service.
func (v *view) configVersion(service string) configapi.Version {
	return v.state.Services[service].ConfigVersion
}

// equalForNodes says whether nodes are told the same by another view: the start of a controller, for one, is no news to
// them.
func (v *view) equalForNodes(other *view) bool {
	return v.state.Cluster == other.state.Cluster && v.state.Version == other.state.Version && v.current == other.current &&
		len(v.state.Replaces) == len(other.state.Replaces)
}

// update builds the update of a service.
func (v *view) update(key updateKey, controllers []configapi.Endpoint) configapi.Update {
	u := configapi.Update{Cluster: v.state.Cluster, Replaces: v.state.Replaces, Version: v.state.Version,
		ConfigVersion: v.configVersion(key.service), Current: v.current}
	if service, ok := v.state.Services[key.service]; ok && key.withConfig {
		u.Config = &service.Config
	}
	if key.first {
		u.Controllers = controllers
	}
	return u
}

// encodedUpdate is the update of a service as one line of JSON, encoded once for all sessions.
func (v *view) encodedUpdate(key updateKey, controllers []configapi.Endpoint) []byte {
	if _, ok := v.state.Services[key.service]; !ok {
		key.service = "" // services without a configuration share theirs
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	if line, ok := v.encoded[key]; ok {
		return line
	}
	line := encodeLine(v.update(key, controllers))
	v.encoded[key] = line
	return line
}

// encodeLine encodes an update with the line's end behind it.
func encodeLine(u configapi.Update) []byte {
	text, err := json.Marshal(u)
	if err != nil { // settings are JSON that was decoded before
		panic(err)
	}
	return append(text, '\n')
}

// views hands the newest view to the sessions. A session that is slow misses the views in between.
type viewStore struct {
	lock   sync.Mutex
	latest *view
}

func newViewStore() *viewStore { return &viewStore{latest: newView(&state{}, false)} }

func newView(s *state, current bool) *view {
	return &view{state: s, current: current, superseded: make(chan struct{}), encoded: map[updateKey][]byte{}}
}

// load returns the newest view.
func (h *viewStore) load() *view {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.latest
}

// setState puts a newer state in force.
func (h *viewStore) setState(s *state) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if s == h.latest.state {
		return
	}
	h.publish(newView(s, h.latest.current))
}

// setCurrent notes whether the controller is in touch with the leader of a quorum.
func (h *viewStore) setCurrent(current bool) (changed bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if current == h.latest.current {
		return false
	}
	h.publish(newView(h.latest.state, current))
	return true
}

func (h *viewStore) publish(next *view) {
	before := h.latest
	h.latest = next
	close(before.superseded)
}
