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

// hands are the servers that operators have out at nodes: what a node has said yes to outlives its process, as far as
// its folder does.
type hands struct {
	r *rig

	mu  sync.Mutex
	out map[int][]string // by node
}

// callTime is how long an operator waits for an answer.
const callTime = 2 * time.Second

// hand has operators take the boxes of a trouble out, at each node that sends to them, and put them back.
func (r *rig) hand(u model.Upset) (begin, over func() error) {
	ids, _ := r.nodes.BoxNames(u.Who[1])
	id := ids[u.Who[0]]
	all := func(out bool) error {
		for i, info := range r.infos {
			if info.Tier == u.Who[1] {
				r.own(func() { r.hands.say(i, id, out) })
			}
		}
		return nil
	}
	return func() error { return all(true) }, func() error { return all(false) }
}

// say makes an operator's call at a node. No answer is no yes, and changes nothing that is promised, but for a server
// that is to come back: it may be back.
func (h *hands) say(i int, id string, out bool) {
	life, control := h.r.nodes.Control(i)
	if control == "" {
		return
	}
	what := "/offline"
	if !out {
		what = "/online"
		h.forget(i, id)
	}
	client := http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/control/servers/"+url.PathEscape(id)+what, "", nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if out && resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusNotFound {
			h.r.end(errors.New("an operator is answered " + resp.Status))
		}
		return
	}
	if !out {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now, _ := h.r.nodes.Control(i); now != life { // it has been killed since
		return
	}
	if !h.r.folders.fails(i) && !slices.Contains(h.out[i], id) { // else it is over with this life
		h.out[i] = append(h.out[i], id)
	}
	h.r.nodes.Note(blackbox.Event{What: blackbox.Hand, Node: life, Server: id})
}

// forget notes that a node may use a server again, before it is told.
func (h *hands) forget(i int, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := slices.Index(h.out[i], id); n >= 0 {
		h.out[i] = slices.Delete(h.out[i], n, n+1)
	}
	life, _ := h.r.nodes.Life(i)
	h.r.nodes.Note(blackbox.Event{What: blackbox.Hand, Node: life, Server: id, Ready: true})
}

// reborn notes what a node's next life owes of what operators said to the one before.
func (h *hands) reborn(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	life, _ := h.r.nodes.Life(i)
	for _, id := range h.out[i] {
		h.r.nodes.Note(blackbox.Event{What: blackbox.Hand, Node: life, Server: id})
	}
}

// lost forgets what was in a node's folder.
func (h *hands) lost(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.out, i)
}
