package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

const (
	// maxAckBytes is the maximum size of an acknowledgement.
	maxAckBytes = 16 << 10
	// maxPublishBytes is the maximum size of a publish request: the document, and the other fields of the request.
	maxPublishBytes = configapi.MaxDocumentBytes + 64<<10
)

// statusCodes maps the kind of a configapi.Error to its HTTP status code.
var statusCodes = map[configapi.ErrorKind]int{
	configapi.ErrorInvalid:        http.StatusBadRequest,
	configapi.ErrorTooLarge:       http.StatusRequestEntityTooLarge,
	configapi.ErrorRateLimited:    http.StatusTooManyRequests,
	configapi.ErrorNotLeader:      http.StatusMisdirectedRequest,
	configapi.ErrorNoQuorum:       http.StatusServiceUnavailable,
	configapi.ErrorOutcomeUnknown: http.StatusGatewayTimeout,
	configapi.ErrorNoCapacity:     http.StatusServiceUnavailable,
}

// routes returns the handler of the HTTP API, which package configapi documents.
func (c *Controller) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configapi.PathWatch, c.serveWatch)
	mux.HandleFunc("POST "+configapi.PathAck, c.serveAck)
	mux.HandleFunc("POST "+configapi.PathPublish, c.servePublish)
	mux.HandleFunc("GET "+configapi.PathStatus, c.serveStatus)
	mux.HandleFunc("GET "+configapi.PathLoad, c.serveLoad)
	return mux
}

func (c *Controller) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, c.buildStatus())
}

func (c *Controller) serveLoad(w http.ResponseWriter, r *http.Request) {
	writeReply(w, c.buildReport(r.URL.Query().Get("server")))
}

func (c *Controller) serveAck(w http.ResponseWriter, r *http.Request) {
	var ack configapi.Acknowledgement
	if err := readBody(w, r, maxAckBytes, &ack); err != nil {
		writeError(w, err)
		return
	}
	if err := checkAck(&ack); err != nil {
		writeError(w, err)
		return
	}
	if err := c.nodes.acknowledge(ack, time.Now()); err != nil {
		writeError(w, err)
		return
	}
	writeReply(w, struct{}{})
}

// checkAck checks the form of an acknowledgement, and truncates its reason.
func checkAck(ack *configapi.Acknowledgement) *configapi.Error {
	if ack.Outcome != configapi.Applied && ack.Outcome != configapi.Rejected {
		return invalidError("outcome must be %s or %s", configapi.Applied, configapi.Rejected)
	}
	if ack.Cluster != "" && !validName(string(ack.Cluster)) {
		return invalidError("%q is not a cluster's identity", truncateQuoted(string(ack.Cluster)))
	}
	if ack.Rejection != nil {
		ack.Rejection.Kind = configapi.RejectionKind(truncateQuoted(string(ack.Rejection.Kind)))
		ack.Rejection.Message = truncateReason(ack.Rejection.Message)
	}
	return nil
}

func (c *Controller) servePublish(w http.ResponseWriter, r *http.Request) {
	var request configapi.PublishRequest
	if err := readBody(w, r, maxPublishBytes, &request); err != nil {
		writeError(w, err)
		return
	}
	reply, err := c.publish(r, request)
	if err != nil {
		c.log.Info("publish request rejected", "id", truncateQuoted(request.ID), "kind", err.Kind, "err", err.Message)
		writeError(w, err)
		return
	}
	c.log.Info("published", "id", request.ID, "version", reply.Version)
	writeReply(w, reply)
}

func (c *Controller) publish(r *http.Request, request configapi.PublishRequest) (configapi.PublishReply, *configapi.Error) {
	if err := checkPublishRequest(request); err != nil {
		return configapi.PublishReply{}, err
	}
	document, err := readDocument(request.Document)
	if err != nil {
		return configapi.PublishReply{}, err
	}
	if len(document.Services) == 0 && len(request.Replaces) == 0 {
		return configapi.PublishReply{}, invalidError("the document names no service")
	}
	running := c.consensus.Load()
	if running == nil {
		return configapi.PublishReply{}, &configapi.Error{Kind: configapi.ErrorNoQuorum,
			Message: "this controller waits for a majority of the others; nothing was taken"}
	}
	return running.proposeVersion(publishCommand{ID: request.ID, Document: document, Replaces: request.Replaces}, r.Context().Done())
}

// readBody decodes a request's JSON body of at most maxBytes, which has to arrive within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, into any) *configapi.Error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &configapi.Error{Kind: configapi.ErrorTooLarge, Message: fmt.Sprintf("the request is over %d bytes; a document has %d at most", maxBytes, configapi.MaxDocumentBytes)}
	case err != nil:
		return invalidError("the request can't be read: %v", err)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return invalidError("the request is not of the form expected: %v", err)
	}
	return nil
}

func writeReply(w http.ResponseWriter, reply any) { writeJSON(w, http.StatusOK, reply) }

// writeError writes an error and closes the connection: rejected nodes must not leave connections open.
func writeError(w http.ResponseWriter, err *configapi.Error) {
	w.Header().Set("Connection", "close")
	writeJSON(w, statusCodes[err.Kind], err)
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
