package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerer answers one whole request on a connection. It reports whether the connection stays open.
type answerer func(conn net.Conn, req *http.Request, body []byte) (keep bool)

// startServer starts a server and adds it to discovery's list. Each whole request is recorded before it is answered.
func (r *rig) startServer(name string, answer answerer) host {
	return r.startRawServer(name, func(conn net.Conn) { r.serveConn(name, conn, answer) })
}

// startRawServer is startServer for a server that serves each connection as it likes. The connection is closed afterwards.
func (r *rig) startRawServer(name string, serve func(net.Conn)) host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	h := host{Host: name, Dial: ln.Addr().String(), Site: "kelowna-dc", Class: "front-fast", Health: "in_service", Share: 1}
	r.discovery.set(h)
	return h
}

func (r *rig) serveConn(name string, conn net.Conn, answer answerer) {
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			r.note("server %s: a request broke off: %s", name, req.Header.Get("X-Call-Id"))
			return
		}
		r.ran(req.Header.Get("X-Call-Id"), name)
		if !answer(conn, req, body) {
			return
		}
	}
}

// answerAfter answers each request with 200 and its own ID, after a time.
func answerAfter(wait time.Duration) answerer {
	return func(conn net.Conn, req *http.Request, _ []byte) bool {
		time.Sleep(wait)
		id := req.Header.Get("X-Call-Id")
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		return err == nil
	}
}
