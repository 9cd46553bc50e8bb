package fleet

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/lab/blackbox"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// adminCallTimeout limits the time that an operator waits for a response.
const adminCallTimeout = 2 * time.Second

// overrides tracks the servers that operators have disabled at nodes. An override that a node has confirmed must survive a
// restart of its process if its folder does.
type overrides struct {
	rig *rig

	mu       sync.Mutex
	disabled map[int][]string // confirmed server IDs, by node
}

// overrideFault returns functions with which operators disable the server of a fault at each node of its tier, and
// enable it again.
func (r *rig) overrideFault(f model.ProcessFault) (begin, end func() error) {
	index, tier := f.Targets[0], f.Targets[1]
	ids, _ := r.nodes.ServerIDs(tier)
	callAll := func(disable bool) error {
		for i, info := range r.infos {
			if info.Tier == tier {
				r.spawn(func() { r.overrides.call(i, ids[index], disable) })
			}
		}
		return nil
	}
	return func() error { return callAll(true) }, func() error { return callAll(false) }
}

// call makes an operator's admin call to a node. If a call to disable a server gets no response, the node has confirmed
// nothing and owes nothing. A call to enable a server counts from the moment it is sent, because the node may act on it
// even if the response is lost.
func (o *overrides) call(i int, id string, disable bool) {
	incarnation, addr := o.rig.nodes.AdminAddr(i)
	if addr == "" {
		return
	}
	action := "/offline"
	if !disable {
		action = "/online"
		o.recordEnabled(i, id)
	}
	client := http.Client{Timeout: adminCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+addr+"/control/servers/"+url.PathEscape(id)+action, "", nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	switch {
	case !disable:
	case resp.StatusCode == http.StatusOK:
		o.recordDisabled(i, id, incarnation)
	case resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusNotFound:
		o.rig.cancel(errors.New("unexpected response to an admin call: " + resp.Status))
	}
}

// recordDisabled records that an incarnation of a node has confirmed that a server is disabled.
func (o *overrides) recordDisabled(i int, id, incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now, _ := o.rig.nodes.AdminAddr(i); now != incarnation { // the confirming incarnation has been killed
		return
	}
	if !o.rig.folders.isUnwritable(i) && !slices.Contains(o.disabled[i], id) { // an override that was not persisted ends with this incarnation
		o.disabled[i] = append(o.disabled[i], id)
	}
	o.rig.nodes.Record(blackbox.Event{Kind: blackbox.EndpointOverridden, Node: incarnation, Server: id})
}

// recordEnabled records that a node may use a server again. It is called before the admin call is sent.
func (o *overrides) recordEnabled(i int, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := slices.Index(o.disabled[i], id); n >= 0 {
		o.disabled[i] = slices.Delete(o.disabled[i], n, n+1)
	}
	incarnation, _ := o.rig.nodes.Incarnation(i)
	o.rig.nodes.Record(blackbox.Event{Kind: blackbox.EndpointOverridden, Node: incarnation, Server: id, Ready: true})
}

// recordInherited records the overrides that a node's next incarnation must keep from its predecessors.
func (o *overrides) recordInherited(i int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	incarnation, _ := o.rig.nodes.Incarnation(i)
	for _, id := range o.disabled[i] {
		o.rig.nodes.Record(blackbox.Event{Kind: blackbox.EndpointOverridden, Node: incarnation, Server: id})
	}
}

// forgetNode drops a node's overrides after the loss of its folder.
func (o *overrides) forgetNode(i int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.disabled, i)
}
