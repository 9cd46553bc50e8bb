package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"hookwalk.example/hookwalk/internal/configapi"
)

// readDocument decodes a published document and checks its form. The content of the settings is checked by the nodes of
// each service.
func readDocument(text []byte) (configapi.Document, *configapi.Error) {
	if len(text) > configapi.MaxDocumentBytes {
		return configapi.Document{}, &configapi.Error{Kind: configapi.ErrorTooLarge,
			Message: fmt.Sprintf("the document has %d bytes, at most %d are taken: publish the services in several documents", len(text), configapi.MaxDocumentBytes)}
	}
	var document configapi.Document
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return configapi.Document{}, invalidError("the document can't be read: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return configapi.Document{}, invalidError("more text stands behind the document's end")
	}
	for name, service := range document.Services {
		if err := checkService(name, service); err != nil {
			return configapi.Document{}, err
		}
	}
	return document, nil
}

func checkService(name string, service configapi.ServiceConfig) *configapi.Error {
	if !validName(name) {
		return invalidError("%q is not a service's name: 1 to %d visible ASCII characters", truncateQuoted(name), maxNameBytes)
	}
	if len(service.Settings) == 0 {
		return invalidError("service %s has no settings", name)
	}
	if service.Discovery == "" {
		return nil
	}
	if host, port, err := net.SplitHostPort(service.Discovery); err != nil || host == "" || port == "" {
		return invalidError("service %s: discovery must be HOST:PORT", name)
	}
	return nil
}

// invalidError returns an error of kind ErrorInvalid.
func invalidError(format string, args ...any) *configapi.Error {
	return &configapi.Error{Kind: configapi.ErrorInvalid, Message: fmt.Sprintf(format, args...)}
}
