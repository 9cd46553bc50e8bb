package controller

import (
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// heartbeatLine is what a watch sends while there is no update: an empty line.
var heartbeatLine = []byte("\n")

// serveWatch serves a node's session. It sends the first update at once, another one after each change, and heartbeats
// in between.
func (c *Controller) serveWatch(w http.ResponseWriter, r *http.Request) {
	request, apiError := c.parseWatchRequest(r)
	if apiError != nil {
		writeError(w, apiError)
		return
	}
	if c.views.load().state.Cluster == "" {
		writeError(w, &configapi.Error{Kind: configapi.ErrorNoCapacity, Message: "this controller has no state yet", Alternatives: c.nodes.alternatives(request)})
		return
	}
	s, apiError := c.nodes.openSession(request, time.Now())
	if apiError != nil {
		writeError(w, apiError)
		return
	}
	defer func() { c.nodes.closeSession(s, time.Now()) }()
	w.Header().Set("Content-Type", "application/json")
	writer := &watchWriter{response: w, control: http.NewResponseController(w)}
	if err := c.sendUpdates(r, s, writer); err != nil {
		c.log.Debug("watch ended", "node", request.Node, "err", err)
	}
}

// parseWatchRequest parses and checks a watch request.
func (c *Controller) parseWatchRequest(r *http.Request) (configapi.WatchRequest, *configapi.Error) {
	request, err := configapi.ParseWatchRequest(r.URL.Query())
	if err != nil {
		return request, invalidError("%v", err)
	}
	for name, value := range map[string]string{"node": request.Node, "service": request.Service} {
		if !validName(value) {
			return request, invalidError("%s: %q is no name: 1 to %d visible ASCII characters", name, truncateQuoted(value), maxNameBytes)
		}
	}
	for name, value := range map[string]string{"region": request.Region, "zone": request.Zone, "cluster": string(request.Cluster)} {
		if value != "" && !validName(value) {
			return request, invalidError("%s: %q is no name: at most %d visible ASCII characters", name, truncateQuoted(value), maxNameBytes)
		}
	}
	return request, nil
}

// sendUpdates writes updates until the node disconnects, the session is closed, or a write fails. A slow node is not
// sent the versions between its last one and the newest one: it does not need them, and the controller queues none.
func (c *Controller) sendUpdates(r *http.Request, s *session, writer *watchWriter) error {
	heartbeat := time.NewTicker(c.config.HeartbeatInterval)
	defer heartbeat.Stop()
	current := c.views.load()
	if err := writer.write(c.updateLine(current, s, true)); err != nil {
		return err
	}
	for {
		line := heartbeatLine
		select {
		case <-current.superseded:
			previous := current
			current = c.views.load()
			if current.equalForNodes(previous) {
				continue
			}
			line = c.updateLine(current, s, false)
			heartbeat.Reset(c.config.HeartbeatInterval)
		case target := <-s.migrationTarget:
			line = migrationLine(current, s, target)
		case <-heartbeat.C:
		case <-s.done:
			return nil
		case <-r.Context().Done():
			return r.Context().Err()
		}
		if err := writer.write(line); err != nil {
			return err
		}
	}
}

// updateLine returns the encoded update of a view for a session.
func (c *Controller) updateLine(v *view, s *session, first bool) []byte {
	service := s.request.Service
	key := updateKey{
		service:      service,
		withConfig:   s.needsConfig(v.state.Cluster, v.configVersion(service)),
		firstOfWatch: first,
	}
	return v.encodedUpdate(key, c.controllerAddresses())
}

// migrationLine returns an encoded update without a configuration that asks a session's node to migrate.
func migrationLine(v *view, s *session, target configapi.ControllerAddress) []byte {
	u := v.update(updateKey{service: s.request.Service}, nil)
	u.MigrateTo = target.Address
	return encodeLine(u)
}

// watchWriter writes the lines of a watch, each within watchWriteTimeout.
type watchWriter struct {
	response http.ResponseWriter
	control  *http.ResponseController
}

func (w *watchWriter) write(line []byte) error {
	if err := w.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.response.Write(line); err != nil {
		return err
	}
	return w.control.Flush()
}
