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
	address    string          // of connection
	connection *controllerConn // nil: none
}

// send sends an acknowledgement and waits for its response. If the controller does not accept it, the error is a
// *configapi.Error.
//
// If the open connection fails, it is sent again on a new one: the controller has closed the old one meanwhile, as a
// rule, and an acknowledgement is idempotent.
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

// exchange sends a request over the connection and reads the response. It closes the connection unless that can be used
// again.
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

// close closes the open connection.
func (a *ackClient) close() {
	if a.connection != nil {
		a.connection.Close()
		a.connection = nil
	}
}
