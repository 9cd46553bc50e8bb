package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"
)

// longAnswerBody returns the body of an answer of a size to a request. It names its size, so that a client can tell a cut one.
func longAnswerBody(id string, size int) string {
	text := fmt.Sprintf("%s %d ", answerBody(id), size)
	return text + strings.Repeat(".", max(size-len(text), 0))
}

// isAnswerTo reports whether a body is a whole answer to a request, of any size.
func isAnswerTo(body, id string) bool {
	return body == answerBody(id) || body == longAnswerBody(id, len(body))
}

// readBody reads the body of a request, slowly if the server has that fault.
func (s *server) readBody(body io.Reader) error {
	for {
		f, slow := s.faults.find(ServerSlowRead)
		if !slow {
			_, err := io.Copy(io.Discard, body)
			return err
		}
		_, err := io.CopyN(io.Discard, body, int64(f.Count*slowReadPiece))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(f.Wait)
	}
}

// writeInLumps writes a long answer at lumpyRate, in pieces with pauses, in one of the framings.
func writeInLumps(w http.ResponseWriter, id string, pause time.Duration) {
	body := longAnswerBody(id, minLongAnswer+rand.IntN(maxLongAnswer-minLongAnswer))
	out, flush := io.Writer(w), func() { http.NewResponseController(w).Flush() }
	switch rand.IntN(3) {
	case 0:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	case 1:
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		out, flush = buffered, func() { buffered.Flush() }
	}
	for piece := int(pause * lumpyRate / time.Second); ; time.Sleep(pause) { // a piece pays for the pause behind it
		n, err := io.WriteString(out, body[:min(piece, len(body))])
		if err != nil {
			return
		}
		flush()
		if body = body[n:]; body == "" {
			return
		}
	}
}

// slowBody is the body of a request that is long, or comes in pieces.
type slowBody struct {
	size    int
	chunked bool
	pause   time.Duration // between two pieces; 0: all of it is written at once
}

// slowBody draws the body of a non-idempotent request, or returns false if none of the faults hits it.
func (c *clients) slowBody() (slowBody, bool) {
	if f, hit := c.faults.hits(ClientUpload); hit {
		return slowBody{size: f.Count * uploadBytesPerUnit, chunked: rand.IntN(3) > 0}, true
	}
	if f, hit := c.faults.hits(ClientLumps); hit {
		return slowBody{size: minLumpyUpload + rand.IntN(maxLumpyUpload-minLumpyUpload), chunked: rand.IntN(2) > 0, pause: f.Wait}, true
	}
	return slowBody{}, false
}

// framing returns the header field that announces the body.
func (b slowBody) framing() string {
	if b.chunked {
		return "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("Content-Length: %d", b.size)
}

// wire returns the body as it is sent.
func (b slowBody) wire() []byte {
	if !b.chunked {
		return make([]byte, b.size)
	}
	const chunk = 32 << 10
	var text bytes.Buffer
	chunks := httputil.NewChunkedWriter(&text)
	for left := b.size; left > 0; left -= chunk {
		chunks.Write(make([]byte, min(left, chunk)))
	}
	chunks.Close()
	text.WriteString("\r\n")
	return text.Bytes()
}

// writeTo writes the body, and reports whether all of it was written.
func (b slowBody) writeTo(conn io.Writer) bool {
	rest := b.wire()
	piece := len(rest)
	if b.pause > 0 {
		piece = max(int(b.pause*lumpyRate/time.Second), 1)
	}
	for {
		n, err := conn.Write(rest[:min(piece, len(rest))])
		rest = rest[n:]
		if err != nil || len(rest) == 0 {
			return err == nil
		}
		time.Sleep(b.pause)
	}
}

// upload sends a request with a slow body, and reads its response meanwhile: the node may answer before it has all of the body.
func (c *clients) upload(conn *clientConn, request *Request, body slowBody) (response *http.Response, text string, err error) {
	head := newHTTPRequest(request, c.nodes[request.Node])
	var wire bytes.Buffer
	fmt.Fprintf(&wire, "POST /api HTTP/1.1\r\nHost: soak\r\n%s\r\n", body.framing())
	head.Header.Write(&wire)
	wire.WriteString("\r\n")
	if _, err := conn.Write(wire.Bytes()); err != nil {
		return nil, "", err
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		if body.writeTo(conn) {
			c.recordWritten(request)
		}
	}()
	response, text, err = conn.receive(head, func() { c.recordFirstByte(request, conn) })
	conn.SetWriteDeadline(time.Now()) // ends a write that the node does not read
	<-written
	return response, text, err
}
