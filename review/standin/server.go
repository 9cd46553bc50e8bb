package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// arrival is a request whose last byte has arrived at a server.
type arrival struct {
	server *serverStandIn
	conn   net.Conn
	id     string
	class  string
	key    string
	body   int
	at     time.Time
}

// serverStandIn is a server of the next tier. It keeps connections alive and closes idle ones after idle.
type serverStandIn struct {
	rig    *rig
	name   string
	addr   string
	ln     net.Listener
	idle   time.Duration
	handle func(*arrival) (keep bool) // answers a request; keep: the connection goes on

	// readBody, if set, reads the body in place of a plain copy. It returns false if the request is not taken.
	readBody func(s *serverStandIn, conn net.Conn, body io.Reader, r *http.Request) (n int64, ok bool)

	mu      sync.Mutex
	open    sync.Cond // signals that held has become false
	held    bool      // nothing is accepted: new connections do not come up once the queue is full
	fillers []net.Conn
}

// listenShort listens on a free loopback port with the shortest queue of pending connections.
func listenShort() net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must(err)
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	must(err)
	return ln
}

func (r *rig) startServer(name string, short bool, handle func(*arrival) bool) *serverStandIn {
	s := &serverStandIn{rig: r, name: name, idle: 30 * time.Second, handle: handle}
	s.open.L = &s.mu
	if short {
		s.ln = listenShort()
	} else {
		var err error
		s.ln, err = net.Listen("tcp", "127.0.0.1:0")
		must(err)
	}
	s.addr = s.ln.Addr().String()
	go s.accept()
	return s
}

func (s *serverStandIn) accept() {
	for {
		s.mu.Lock()
		for s.held {
			s.open.Wait()
		}
		s.mu.Unlock()
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// hold makes new connections come up late: it fills the queue of pending connections, so that the first packet of each
// further one is dropped. The caller's system sends it again after 1 s.
func (s *serverStandIn) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = true
	// The first connection may still be accepted, by an Accept that has begun: the queue is full after two failures in a row.
	for failures := 0; failures < 2; {
		conn, err := net.DialTimeout("tcp", s.addr, 60*time.Millisecond)
		if err != nil {
			failures++
			continue
		}
		failures = 0
		s.fillers = append(s.fillers, conn)
	}
}

// release ends hold.
func (s *serverStandIn) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
	for _, conn := range s.fillers {
		conn.Close()
	}
	s.fillers = nil
	s.open.Broadcast()
}

func (s *serverStandIn) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(s.idle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var n int64
		if s.readBody != nil {
			var ok bool
			if n, ok = s.readBody(s, conn, r.Body, r); !ok {
				return
			}
		} else if n, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		a := &arrival{server: s, conn: conn, id: r.Header.Get("X-Call-Id"), class: r.Header.Get("X-Call-Class"),
			key: r.Header.Get("Idempotency-Key"), body: int(n), at: time.Now()}
		s.rig.log("%s: request %s has arrived whole (class %s, body %d, X-Budget %s)", s.name, a.id, a.class, n, r.Header.Get("X-Budget"))
		if !s.handle(a) {
			return
		}
	}
}

// respond answers a request with 200.
func (a *arrival) respond(body string) bool {
	_, err := fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
