package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// answer is what a client got: status 0 if its connection ended without one, or it waited in vain.
type answer struct {
	status    int
	body      []byte
	firstByte time.Time // when the head of the answer was there
	lastByte  time.Time
	err       error
}

// call is one request of a client, on a connection of its own.
type call struct {
	id, class, method, key string
	budget                 time.Duration
	body                   []byte
	patience               time.Duration // how long the client waits for the answer, from its last byte on

	sent    time.Time // when the last byte of the request was written
	arrived time.Time // when the node's machine had all bytes
}

// session is the connection that a client keeps; nil: it has none.
type session struct {
	conn net.Conn
	in   *bufio.Reader
}

// do sends the call to a node on a connection of its own and waits for the answer.
func (c *call) do(addr string) answer {
	var s session
	defer s.close()
	return s.do(c, addr)
}

// do sends a call on the kept connection, or on a new one if there is none. If the node has ended a kept connection without
// a byte of an answer, it sends the call one more time on a new connection.
func (s *session) do(c *call, addr string) answer {
	kept := s.conn != nil
	got := s.try(c, addr)
	if kept && got.status == 0 && !errors.Is(got.err, os.ErrDeadlineExceeded) {
		got = s.try(c, addr)
	}
	return got
}

func (s *session) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// try sends a call once. It closes the connection unless the answer came whole and the connection can be kept.
func (s *session) try(c *call, addr string) (got answer) {
	if s.conn == nil {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return answer{err: err}
		}
		s.conn, s.in = conn, bufio.NewReader(conn)
	}
	keep := false
	defer func() {
		if !keep {
			s.close()
		}
	}()
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: okanagan-ridge\r\nX-Budget: %dm\r\n",
		c.method, c.id, c.class, c.budget.Milliseconds())
	if c.key != "" {
		head += "Idempotency-Key: " + c.key + "\r\n"
	}
	if c.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	s.conn.SetWriteDeadline(time.Now().Add(30 * time.Second))
	if _, err := s.conn.Write(append([]byte(head+"\r\n"), c.body...)); err != nil {
		return answer{err: err}
	}
	c.sent, c.arrived = time.Now(), time.Time{}
	if waitTaken(s.conn, pieceTimeout) {
		c.arrived = time.Now()
	}
	s.conn.SetReadDeadline(c.sent.Add(c.patience))
	got, keep = receive(s.in)
	return got
}

// receive waits for the answer on a connection.
func (c *call) receive(conn net.Conn) answer {
	conn.SetReadDeadline(time.Now().Add(c.patience))
	got, _ := receive(bufio.NewReader(conn))
	return got
}

// receive reads an answer, and reports whether the connection can be kept.
func receive(in *bufio.Reader) (got answer, keep bool) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err, lastByte: time.Now()}, false
	}
	got = answer{status: response.StatusCode, firstByte: time.Now()}
	got.body, got.err = io.ReadAll(response.Body)
	got.lastByte = time.Now()
	return got, got.err == nil && !response.Close
}

// Figures of a chunked body.
const (
	bodyPiece     = 4 << 10
	pieceTimeout  = 3 * time.Second
	windowFallen  = 8 << 10               // so many bytes less than the widest window: the node may have stopped reading
	piecesUnread  = 6                     // with each of so many pieces in a row the window fell further: it has
	pieceInterval = 25 * time.Millisecond // between these pieces
)

// doChunked is do with a chunked body of up to limit bytes. Each piece is sent when the node's machine has the one before.
// The body ends sooner, with less than limit bytes, once the node has stopped reading it: then the last byte still fits into
// what the node's machine takes. It returns the length of the body.
func (c *call) doChunked(addr string, limit int) (got answer, length int) {
	dialed, err := net.Dial("tcp", addr)
	if err != nil {
		return answer{err: err}, 0
	}
	defer dialed.Close()
	conn := dialed.(*net.TCPConn)
	conn.SetWriteDeadline(time.Now().Add(60 * time.Second))
	fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: okanagan-ridge\r\n"+
		"X-Budget: %dm\r\nTransfer-Encoding: chunked\r\n\r\n", c.id, c.class, c.budget.Milliseconds())
	piece := strings.Repeat("0123456789abcdef", bodyPiece/16)
	fallen, last, widest := 0, uint32(0), uint32(0)
	for length = 0; length < limit && fallen < piecesUnread; length += bodyPiece {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", bodyPiece, piece)
		if !waitTaken(conn, pieceTimeout) {
			return answer{err: fmt.Errorf("the node's machine does not take more of the body")}, length
		}
		window := sendWindow(conn)
		widest = max(widest, window)
		switch {
		case window+windowFallen > widest || fallen > 0 && window >= last:
			fallen = 0 // the node reads
		default:
			fallen++
			time.Sleep(pieceInterval)
		}
		last = window
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	c.sent = time.Now()
	if !waitTaken(conn, pieceTimeout) {
		return answer{err: fmt.Errorf("the node's machine does not take the last byte of the body")}, length
	}
	c.arrived = time.Now()
	return c.receive(conn), length
}

// waitTaken waits until the other machine has taken all bytes that were written, and reports whether it has.
func waitTaken(conn net.Conn, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); unacknowledged(conn) != 0; time.Sleep(50 * time.Microsecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// sendWindow returns how many bytes the other machine takes now (tcpi_snd_wnd in TCP_INFO). The case can't run without it.
func sendWindow(conn *net.TCPConn) (window uint32) {
	const offset, size = 228, 232
	raw, err := conn.SyscallConn()
	must(err)
	raw.Control(func(fd uintptr) {
		var info [512]byte
		length := uint32(len(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&length)), 0)
		if errno != 0 || length < size {
			err = fmt.Errorf("no tcpi_snd_wnd on this system")
			return
		}
		window = binary.NativeEndian.Uint32(info[offset:size])
	})
	must(err)
	return window
}

// unacknowledged returns how many bytes of a connection the other machine has not taken yet (SIOCOUTQ), or -1.
func unacknowledged(conn net.Conn) int32 {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	pending := int32(-1)
	raw.Control(func(fd uintptr) {
		var n int32
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); errno == 0 {
			pending = n
		}
	})
	return pending
}

// summary describes an answer for the record.
func (a answer) summary() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	text := strings.TrimSpace(string(a.body[:min(len(a.body), 60)]))
	return fmt.Sprintf("%d, %d bytes %q, error %v", a.status, len(a.body), text, a.err)
}
