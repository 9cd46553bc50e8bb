package hotrestart

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrOtherProcessGone says that the other process has ended, or did not answer in time.
var ErrOtherProcessGone = errors.New("the other process is gone")

// Conn is the connection between two processes of a node. Run must run for Send to have its answers. All methods but Run and
// HandOver may be called from any goroutine.
type Conn struct {
	socket  *net.UnixConn
	decoder *json.Decoder

	mu      sync.Mutex            // of writes and of what follows
	lastID  int                   // of the Messages sent
	pending map[int]chan struct{} // by ID; closed as the acknowledgement comes

	closed    chan struct{}
	closeOnce sync.Once
}

func newConn(socket *net.UnixConn) *Conn {
	return &Conn{
		socket:  socket,
		decoder: json.NewDecoder(socket),
		pending: map[int]chan struct{}{},
		closed:  make(chan struct{}),
	}
}

// Run hands each Message of the other process to receive, in order, and acknowledges it after that, until the connection
// ends. It closes the connection.
func (c *Conn) Run(receive func(Message)) {
	defer c.Close()
	for {
		var message Message
		if c.decoder.Decode(&message) != nil {
			return
		}
		if message.AckID > 0 {
			c.handleAck(message.AckID)
			continue
		}
		receive(message)
		if message.ID > 0 && c.write(Message{AckID: message.ID}) != nil {
			return
		}
	}
}

// handleAck ends the wait of the Send with an ID, if it still waits.
func (c *Conn) handleAck(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if acked := c.pending[id]; acked != nil {
		close(acked)
		delete(c.pending, id)
	}
}

// Send sends a Message and waits until the other process has taken it. It fails with ErrOtherProcessGone when the connection ends or
// the timeout passes before, and with the connection's error when it can't be written. An operator is owed an answer in 1 s,
// so a process that hangs must not hold up the call.
func (c *Conn) Send(message Message, timeout time.Duration) error {
	id, acked := c.register()
	defer c.unregister(id)
	message.ID = id
	if err := c.write(message); err != nil {
		return err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-acked:
		return nil
	case <-c.closed:
	case <-timer.C:
	}
	return ErrOtherProcessGone
}

// register makes an ID whose acknowledgement is awaited.
func (c *Conn) register() (id int, acked <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	wait := make(chan struct{})
	c.pending[c.lastID] = wait
	return c.lastID, wait
}

func (c *Conn) unregister(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *Conn) write(message Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.socket.SetWriteDeadline(time.Now().Add(handoverTimeout)) // the other process may hang and read nothing
	return json.NewEncoder(c.socket).Encode(message)
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Close ends the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.socket.Close()
	})
}
