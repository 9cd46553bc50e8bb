package scale

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hookwalk.example/hookwalk/internal/endpointlease"
)

// headerTimeout limits how long a stand-in server reads a request's header.
const headerTimeout = 5 * time.Second

// Health values of a server in an endpoint list, as discovery sends them.
const (
	inService   = "in_service"  // it accepts requests
	terminating = "terminating" // it is draining
)

// listUpdate is the complete endpoint list, or its changes since a version, as the stand-in for discovery sends it.
type listUpdate struct {
	list    any
	version int64           // of the list after the update
	updated <-chan struct{} // closed at the next change
	reset   <-chan struct{} // closed when all watches are reset; nil if they never are
}

// serveList answers a request for the complete list, or serves a watch. changesSince returns the changes since a
// version, or the complete list for version 0.
func serveList(w http.ResponseWriter, r *http.Request, changesSince func(version int64) listUpdate) {
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(changesSince(0).list) // an error means that the client has disconnected
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is no number", http.StatusBadRequest)
		return
	}
	serveWatch(w, r, from, changesSince)
}

// serveWatch writes the changes since a version, then each further change when it occurs, and an empty line at each
// heartbeat. It ends when the client disconnects or the watches are reset.
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
