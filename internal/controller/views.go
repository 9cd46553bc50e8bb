package controller

import (
	"encoding/json"
	"sync"

	"hookwalk.example/hookwalk/internal/configapi"
)

// view is what a controller serves at one moment. It is immutable except for its cache of encoded updates.
type view struct {
	state            *state
	hasLeaderContact bool          // this controller is in contact with the leader of a quorum
	superseded       chan struct{} // closed when there is a newer view

	lock    sync.Mutex
	encoded map[updateKey][]byte
}

// updateKey identifies an update that many sessions share.
type updateKey struct {
	service      string
	withConfig   bool // with the service's configuration
	firstOfWatch bool // the first update of a watch, with the addresses of all controllers
}

// configVersion returns the version that has set the configuration of a service.
func (v *view) configVersion(service string) configapi.Version {
	return v.state.Services[service].ConfigVersion
}

// equalForNodes reports whether another view has the same updates for nodes. For example, the start of a controller
// changes the state but no update, so nodes need not be sent anything.
func (v *view) equalForNodes(other *view) bool {
	return v.state.Cluster == other.state.Cluster && v.state.Version == other.state.Version && v.hasLeaderContact == other.hasLeaderContact &&
		len(v.state.Replaces) == len(other.state.Replaces)
}

// update builds the update of a service.
func (v *view) update(key updateKey, controllers []configapi.ControllerAddress) configapi.Update {
	u := configapi.Update{Cluster: v.state.Cluster, Replaces: v.state.Replaces, Version: v.state.Version,
		ConfigVersion: v.configVersion(key.service), HasLeaderContact: v.hasLeaderContact}
	if service, ok := v.state.Services[key.service]; ok && key.withConfig {
		u.Config = &service.Config
	}
	if key.firstOfWatch {
		u.Controllers = controllers
	}
	return u
}

// encodedUpdate returns the update of a service as one line of JSON. It is encoded once for all sessions.
func (v *view) encodedUpdate(key updateKey, controllers []configapi.ControllerAddress) []byte {
	if _, ok := v.state.Services[key.service]; !ok {
		key.service = "" // services without a configuration share one update
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

// encodeLine encodes an update as one line. Encoding can't fail, because the settings are JSON that was decoded before.
func encodeLine(u configapi.Update) []byte {
	text, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}

// viewStore holds the newest view. The fsm and the monitor replace it. Sessions wait until their view is superseded; a
// slow session skips the views in between.
type viewStore struct {
	lock   sync.Mutex
	latest *view
}

func newViewStore() *viewStore { return &viewStore{latest: newView(&state{}, false)} }

func newView(s *state, hasLeaderContact bool) *view {
	return &view{state: s, hasLeaderContact: hasLeaderContact, superseded: make(chan struct{}), encoded: map[updateKey][]byte{}}
}

// load returns the newest view.
func (vs *viewStore) load() *view {
	vs.lock.Lock()
	defer vs.lock.Unlock()
	return vs.latest
}

// setState replaces the state.
func (vs *viewStore) setState(s *state) {
	vs.lock.Lock()
	defer vs.lock.Unlock()
	if s == vs.latest.state {
		return
	}
	vs.replace(newView(s, vs.latest.hasLeaderContact))
}

// setLeaderContact records whether the controller is in contact with the leader of a quorum, and reports whether that
// has changed.
func (vs *viewStore) setLeaderContact(hasContact bool) (changed bool) {
	vs.lock.Lock()
	defer vs.lock.Unlock()
	if hasContact == vs.latest.hasLeaderContact {
		return false
	}
	vs.replace(newView(vs.latest.state, hasContact))
	return true
}

// replace replaces the view, and wakes all sessions. The caller must hold the lock.
func (vs *viewStore) replace(next *view) {
	previous := vs.latest
	vs.latest = next
	close(previous.superseded)
}
