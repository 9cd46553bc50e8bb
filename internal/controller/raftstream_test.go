package controller

import (
	"net"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

func newTestStream(t *testing.T, server string, cluster configapi.Cluster) *raftStream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newRaftStream(listener, "c1", server, func() configapi.Cluster { return cluster })
	s.enabled.Store(true)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// A connection is intended for another server or cluster, for example after a disk was emptied. It is closed.
func TestStreamChecksTheGreeting(t *testing.T) {
	for name, c := range map[string]struct {
		serverID, dialedID     string
		cluster, dialerCluster configapi.Cluster
		disabled               bool
		accepted               bool
	}{
		"the intended server and cluster":  {"c1", "c1", "x", "x", false, true},
		"the server has no cluster yet":    {"c1", "c1", "", "x", false, true},
		"the dialer has no cluster yet":    {"c1", "c1", "x", "", false, true},
		"the server ID of an emptied disk": {"c1/new", "c1", "x", "x", false, false},
		"another cluster":                  {"c1", "c1", "x", "y", false, false},
		"the stream is disabled":           {"c1", "c1", "x", "x", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			server, dialer := newTestStream(t, c.serverID, c.cluster), newTestStream(t, "c2", c.dialerCluster)
			server.enabled.Store(!c.disabled)
			read := make(chan string, 1)
			go func() {
				conn, err := server.Accept()
				if err != nil {
					read <- err.Error()
					return
				}
				defer conn.Close()
				buffer := make([]byte, 4)
				n, err := conn.Read(buffer)
				if err != nil {
					read <- err.Error()
					return
				}
				read <- string(buffer[:n])
			}()
			conn, err := dialer.Dial(dialAddress(server.listener.Addr().String(), c.dialedID), time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write([]byte("word")); err != nil {
				t.Fatal(err)
			}
			if got := <-read; (got == "word") != c.accepted {
				t.Errorf("the server read %q", got)
			}
			_ = conn.Close()
		})
	}
}

// A controller does not know yet whether its disk is an old copy. Its stream neither dials nor writes, so that the
// controller can't vote.
func TestDisabledStreamFailsDialsAndWrites(t *testing.T) {
	s := newTestStream(t, "c1", "")
	conn, err := s.Dial(dialAddress(s.listener.Addr().String(), "c1"), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s.enabled.Store(false)
	if _, err := conn.Write([]byte("word")); err == nil {
		t.Error("writing to a connection of a disabled stream succeeded")
	}
	if _, err := s.Dial(dialAddress(s.listener.Addr().String(), "c1"), time.Minute); err == nil {
		t.Error("dialing from a disabled stream succeeded")
	}
}

// A client that is not a controller sends a line that does not end. The connection is closed.
func TestStreamRejectsLongGreeting(t *testing.T) {
	server := newTestStream(t, "c1", "")
	failed := make(chan error, 1)
	go func() {
		conn, err := server.Accept()
		if err == nil {
			defer conn.Close()
			_, err = conn.Read(make([]byte, 1))
		}
		failed <- err
	}()
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(strings.Repeat("x", 2*maxGreetingBytes))); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil {
		t.Error("a connection with an endless greeting was served")
	}
}
