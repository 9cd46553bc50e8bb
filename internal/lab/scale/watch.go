package scale

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// headerTimeout bounds the reading of a request's header at a stand-in.
const headerTimeout = 5 * time.Second

// Health of a server in a list, as discovery writes it.
const (
	inService   = "in_service"  // it takes requests
	terminating = "terminating" // it drains
)

// listUpdate is the endpoint list, or the changes of it after a version, as a stand-in for discovery writes it.
type listUpdate struct {
	list    any
	version int64           // that the update leads to
	updated <-chan struct{} // closed at the next change
	reset   <-chan struct{} // closed when all watches are reset; nil: never
}

// serveList answers a call for the complete list, or serves a watch. changesSince returns the changes after a version; of
// version 0 the complete list.
func serveList(w http.ResponseWriter, r *http.Request, changesSince func(version int64) listUpdate) {
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(changesSince(0).list) // a client that is gone reads nothing
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no number", http.StatusBadRequest)
		return
	}
	serveWatch(w, r, from, changesSince)
}

// serveWatch writes the changes after a version, then each change as it comes, and an empty line in each heartbeat interval
// without one, until the client is gone or the watches are reset.
func serveWatch(w http.ResponseWriter, r *http.Request, version int64, changesSince func(version int64) listUpdate) {
	encoder, flusher := json.NewEncoder(w), w.(http.Flusher)
	heartbeat := time.NewTicker(endpointlease.HeartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		update := changesSince(version)
		if first || update.version > version {
			if encoder.Encode(update.list) != nil {
				return
			}
			flusher.Flush()
			version = update.version
		}
		select {
		case <-update.updated:
		case <-update.reset:
			panic(http.ErrAbortHandler) // resets the connection
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
