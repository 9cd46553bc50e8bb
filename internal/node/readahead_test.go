package node

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against reading a long input in pieces of peekSize: once a look ahead had found bytes behind a short read, each read returned
// no more than the next look ahead had found, until the client paused.
func TestReadsAfterALookAheadAreNotShort(t *testing.T) {
	const input, maxReads = 4 << 20, 1000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go client.Write(make([]byte, input))
	readAhead := newReadAheadBuffer(server)
	eventually(t, "input has arrived", func() bool { return readAhead.unreadBytes() > streamChunk })
	readAhead.peek()
	server.SetReadDeadline(time.Now().Add(time.Minute))
	reads, got := 0, 0
	for b := make([]byte, streamChunk); got < input; reads++ {
		n, err := readAhead.Read(b)
		if got += n; err != nil && err != io.EOF {
			t.Fatal(err)
		}
	}
	if reads > maxReads {
		t.Errorf("%d reads for %d bytes", reads, got)
	}
}
