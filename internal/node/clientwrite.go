package node

import "time"

// beginStream limits the writes that follow by what the client takes, until endStream. It has no effect if the system does not tell
// that.
func (c *clientConn) beginStream() {
	if _, known := unacknowledgedBytes(c.readAhead.raw); known {
		c.writeLimit = newWriteLimit(c.readAhead.raw)
	}
}

// endStream ends the limit, and sets the write deadline for what net/http still writes.
func (c *clientConn) endStream() {
	c.writeLimit = nil
	c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// writeStream writes a part of a streamed response within its limit.
func (c *clientConn) writeStream(b []byte) (int, error) { return c.writeLimit.write(c.Conn, b) }
