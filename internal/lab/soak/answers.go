package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	endlessInterval = 50 * time.Millisecond // between two pieces of an endless answer
	maxEndlessTime  = 10 * time.Second      // limit of an endless answer, so that it cannot outlast the run; longer than any deadline
)

// answerBody returns the body of a server's answer to a request. The clients compare the body that they receive with it.
func answerBody(id string) string { return "ok " + id }

// secondAnswerBody returns the body of a second answer to a request.
func secondAnswerBody(id string) string { return secondAnswerPrefix + id }

// secondAnswerPrefix marks the body of a second answer, so that a client that receives it can name the request.
const secondAnswerPrefix = "second "

// answer writes the answer to a request, subject to the active faults.
func (s *server) answer(w http.ResponseWriter, r *http.Request, id string) {
	if f, hit := s.faults.hits(ServerLumps); hit {
		s.recorder.record(func(o *Observations) { o.recordLongAnswer(id) })
		writeInLumps(w, id, f.Wait)
		return
	}
	conn := connOf(r)
	if f, hit := s.faults.hits(AnswerSecond); hit {
		conn.writeAfterAnswer(f.Wait, answerText(http.StatusOK, secondAnswerBody(id)), id)
	}
	if f, hit := s.faults.hits(AnswerLateSecond); hit {
		conn.writeAfterAnswer(f.Wait, answerText(http.StatusOK, secondAnswerBody(id)), id)
	}
	if f, hit := s.faults.hits(AnswerSecondRejected); hit {
		conn.writeAfterAnswer(f.Wait, answerText(http.StatusServiceUnavailable, ""), id)
	}
	if _, hit := s.faults.hits(AnswerClose); hit {
		conn.closeAfterAnswer()
	}
	switch body := answerBody(id); {
	case s.hits(AnswerNoLength):
		writeWithoutLength(w, body)
	case s.hits(AnswerEndless):
		writeEndlessly(w, body)
	case s.hits(AnswerShort):
		w.Header().Set("Content-Length", fmt.Sprint(2*len(body)))
		io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	case s.hits(AnswerPieces):
		writeInPieces(w, body)
	default:
		io.WriteString(w, body)
	}
}

// hits reports whether a fault of a kind affects the current request.
func (s *server) hits(kind Kind) bool {
	_, hit := s.faults.hits(kind)
	return hit
}

// answerText returns a complete answer in its wire form. A 503 is marked as a rejection.
func answerText(status int, body string) string {
	rejected := ""
	if status == http.StatusServiceUnavailable {
		rejected = "X-Rejected: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), rejected, len(body), body)
}

// writeWithoutLength writes an answer without a length, which ends when the connection closes.
func writeWithoutLength(w http.ResponseWriter, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed
	}
	defer conn.Close()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
}

// writeEndlessly writes an answer without a length that continues until the node closes the connection, or for
// maxEndlessTime.
func writeEndlessly(w http.ResponseWriter, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
	for end := time.Now().Add(maxEndlessTime); err == nil && time.Now().Before(end); {
		<-time.After(endlessInterval)
		_, err = io.WriteString(conn, ".")
	}
}

// writeInPieces writes an answer byte by byte.
func writeInPieces(w http.ResponseWriter, body string) {
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	for i := range body {
		io.WriteString(w, body[i:i+1])
		http.NewResponseController(w).Flush()
	}
}

// answerTrailer is what a connection does after the answer that is being written.
type answerTrailer struct {
	mu     sync.Mutex
	text   string        // a second answer; "" for none
	id     string        // of the request that the second answer repeats
	wait   time.Duration // from the answer to the second answer
	closes bool
}

// writeAfterAnswer schedules a second answer to a request, to be written on the connection wait after the next answer.
func (c *timestampingConn) writeAfterAnswer(wait time.Duration, text, id string) {
	c.trailer.mu.Lock()
	defer c.trailer.mu.Unlock()
	c.trailer.text, c.trailer.wait, c.trailer.id = text, wait, id
}

// closeAfterAnswer closes the connection after the next answer.
func (c *timestampingConn) closeAfterAnswer() {
	c.trailer.mu.Lock()
	defer c.trailer.mu.Unlock()
	c.trailer.closes = true
}

// Write writes an answer and then applies the trailer. It relies on net/http writing a small answer in a single call.
func (c *timestampingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.trailer.mu.Lock()
	defer c.trailer.mu.Unlock()
	if text := c.trailer.text; text != "" {
		c.trailer.text = ""
		c.writeSecondAnswer(c.trailer.wait, text, c.trailer.id)
	}
	if c.trailer.closes {
		c.Conn.Close()
	}
	return n, err
}

// writeSecondAnswer writes a second answer after a wait, in a single write, and records its delay after the first answer.
func (c *timestampingConn) writeSecondAnswer(wait time.Duration, text, id string) {
	answeredAt := c.recorder.now()
	write := func(conn net.Conn) {
		io.WriteString(conn, text)
		c.recorder.record(func(o *Observations) { o.recordSecondAnswer(id, c.recorder.now()-answeredAt) })
	}
	if wait == 0 {
		write(c.Conn)
		return
	}
	time.AfterFunc(wait, func() { write(c.Conn) })
}
