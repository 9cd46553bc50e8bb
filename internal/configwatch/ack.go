package configwatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"hookwalk.example/hookwalk/internal/configapi"
)

// ackClient sends acknowledgements, one at a time, over a connection that it keeps open.
type ackClient struct {
	options    *Options
	address    string          // of the controller to which connection is open
	connection *controllerConn // nil: not connected
}

// send sends an acknowledgement and waits for the response. If the controller does not accept it, the error is a
// *configapi.Error.
//
// If the kept connection fails, send repeats the request on a new one. Usually the controller has closed the old
// connection in the meantime. A repeated acknowledgement is harmless, because acknowledgements are idempotent.
func (a *ackClient) send(ctx context.Context, address string, ack configapi.Acknowledgement) error {
	body, err := json.Marshal(ack)
	if err != nil {
		return err
	}
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		configapi.PathAck, address, len(body), body)
	if a.address != address {
		a.close()
	}
	if a.connection != nil {
		err = a.exchange(ctx, text)
		var apiError *configapi.Error
		if err == nil || errors.As(err, &apiError) || ctx.Err() != nil {
			return err
		}
	}
	if a.connection, err = connect(ctx, address, a.options); err != nil {
		return err
	}
	a.address = address
	return a.exchange(ctx, text)
}

// exchange sends a request over the connection and reads the response. It closes the connection if it cannot be reused.
func (a *ackClient) exchange(ctx context.Context, text []byte) error {
	c := a.connection
	defer context.AfterFunc(ctx, func() { c.Close() })()
	reusable := false
	defer func() {
		if !reusable {
			a.close()
		}
	}()
	c.timeout = ackTimeout
	response, err := c.exchangeHead(text, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		apiError, err := readError(response)
		if err != nil {
			return err
		}
		return apiError
	}
	_, err = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	reusable = errors.Is(err, io.EOF) && !response.Close
	return nil
}

// close closes the connection, if any.
func (a *ackClient) close() {
	if a.connection != nil {
		a.connection.Close()
		a.connection = nil
	}
}
