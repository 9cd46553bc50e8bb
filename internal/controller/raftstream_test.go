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

// A connection is meant for another server or cluster, as after a disk was emptied. It is closed.
func TestStreamChecksTheGreeting(t *testing.T) {
	for name, c := range map[string]struct {
		serverID, dialedID     string
		cluster, dialerCluster configapi.Cluster
		disabled               bool
		accepted               bool
	}{
		"the right one":                  {"c1", "c1", "x", "x", false, true},
		"the cluster is not known yet":   {"c1", "c1", "", "x", false, true},
		"the asker knows no cluster yet": {"c1", "c1", "x", "", false, true},
		"an old server of an empty disk": {"c1/new", "c1", "x", "x", false, false},
		"another cluster":                {"c1", "c1", "x", "y", false, false},
		"not open yet":                   {"c1", "c1", "x", "x", true, false},
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

// It is not clear yet whether the disk is an old copy. Nothing is sent or read, so that the controller can not vote.
func TestDisabledStreamFailsDialsAndWrites(t *testing.T) {
	s := newTestStream(t, "c1", "")
	conn, err := s.Dial(dialAddress(s.listener.Addr().String(), "c1"), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s.enabled.Store(false)
	if _, err := conn.Write([]byte("word")); err == nil {
		t.Error("wrote to a stream that is not open")
	}
	if _, err := s.Dial(dialAddress(s.listener.Addr().String(), "c1"), time.Minute); err == nil {
		t.Error("dialled from a stream that is not open")
	}
}

// A client that is no controller sends a line without end. The connection is closed.
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
		t.Error("a connection without a first line was served")
	}
}
