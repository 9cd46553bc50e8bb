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

// overrides are the servers that operators have out at nodes: what a node has said yes to outlives its process, as far as
// its folder does.
type overrides struct {
	rig *rig

	mu     sync.Mutex
	byNode map[int][]string // by node
}

// adminCallTimeout is how long an operator waits for an answer.
const adminCallTimeout = 2 * time.Second

// overrideFault has operators take the boxes of a trouble out, at each node that sends to them, and put them back.
func (r *rig) overrideFault(u model.ProcessFault) (begin, over func() error) {
	ids, _ := r.nodes.ServerIDs(u.Targets[1])
	id := ids[u.Targets[0]]
	all := func(out bool) error {
		for i, info := range r.infos {
			if info.Tier == u.Targets[1] {
				r.goOwned(func() { r.overrides.call(i, id, out) })
			}
		}
		return nil
	}
	return func() error { return all(true) }, func() error { return all(false) }
}

// call makes an operator's call at a node. No answer is no yes, and changes nothing that is promised, but for a server
// that is to come back: it may be back.
func (h *overrides) call(i int, id string, out bool) {
	life, control := h.rig.nodes.AdminAddr(i)
	if control == "" {
		return
	}
	what := "/offline"
	if !out {
		what = "/online"
		h.enabled(i, id)
	}
	client := http.Client{Timeout: adminCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/control/servers/"+url.PathEscape(id)+what, "", nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if out && resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusNotFound {
			h.rig.cancel(errors.New("an operator is answered " + resp.Status))
		}
		return
	}
	if !out {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now, _ := h.rig.nodes.AdminAddr(i); now != life { // it has been killed since
		return
	}
	if !h.rig.folders.cannotWrite(i) && !slices.Contains(h.byNode[i], id) { // else it is over with this life
		h.byNode[i] = append(h.byNode[i], id)
	}
	h.rig.nodes.Record(blackbox.Event{Kind: blackbox.EndpointOverridden, Node: life, Server: id})
}

// enabled notes that a node may use a server again, before it is told.
func (h *overrides) enabled(i int, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := slices.Index(h.byNode[i], id); n >= 0 {
		h.byNode[i] = slices.Delete(h.byNode[i], n, n+1)
	}
	life, _ := h.rig.nodes.Incarnation(i)
	h.rig.nodes.Record(blackbox.Event{Kind: blackbox.EndpointOverridden, Node: life, Server: id, Ready: true})
}

// nodeStarts notes what a node's next life owes of what operators said to the one before.
func (h *overrides) nodeStarts(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	life, _ := h.rig.nodes.Incarnation(i)
	for _, id := range h.byNode[i] {
		h.rig.nodes.Record(blackbox.Event{Kind: blackbox.EndpointOverridden, Node: life, Server: id})
	}
}

// folderLost forgets what was in a node's folder.
func (h *overrides) folderLost(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byNode, i)
}
