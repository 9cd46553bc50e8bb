package hotrestart

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrOtherProcessGone means that the other process has ended, or did not acknowledge a message in time.
var ErrOtherProcessGone = errors.New("the other process has ended, or did not acknowledge the message in time")

// Conn is the connection between two processes of a node. Send receives acknowledgements only while Run is running. All
// methods except Run and HandOver may be called from any goroutine.
type Conn struct {
	socket  *net.UnixConn
	decoder *json.Decoder

	mu      sync.Mutex            // serializes writes and guards lastID and pending
	lastID  int                   // ID of the last message sent
	pending map[int]chan struct{} // by message ID; closed when the acknowledgement is received

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

// Run calls receive for each message of the other process, in order, and acknowledges the message when receive has
// returned. It returns when the connection ends, and closes it.
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

// handleAck wakes the Send call that waits for the acknowledgement of a message, if there is one.
func (c *Conn) handleAck(id int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if acked := c.pending[id]; acked != nil {
		close(acked)
		delete(c.pending, id)
	}
}

// Send sends a message and waits until the other process has acknowledged it. It returns ErrOtherProcessGone if the
// connection ends or the timeout expires before that, and the error of the write if the message can't be written. The
// timeout is needed because an operator must get an answer within 1 s, even if the other process hangs.
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

// register returns a new message ID, and a channel that is closed when the message is acknowledged.
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
	c.socket.SetWriteDeadline(time.Now().Add(handoverTimeout)) // the other process may hang and not read
	return json.NewEncoder(c.socket).Encode(message)
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Close ends the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.socket.Close()
	})
}
