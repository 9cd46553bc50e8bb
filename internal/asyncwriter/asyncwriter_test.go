package asyncwriter

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// The pipe is not read for a while. Writes do not block, memory stays bounded, and Write returns an error for each dropped
// line. Once the pipe is read, all accepted lines arrive whole and in order, and no goroutine remains.
func TestPipeThatIsNotRead(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	writer := New(w)
	var accepted []string
	dropped := 0
	for i := range 2000 {
		line := fmt.Sprintf("%04d %s\n", i, strings.Repeat("x", 10+i*7%6000))
		if _, err := writer.Write([]byte(line)); errors.Is(err, ErrFull) {
			dropped++
		} else {
			accepted = append(accepted, line)
		}
	}
	writer.mu.Lock()
	if dropped == 0 || writer.queuedBytes > maxQueuedBytes {
		t.Errorf("%d lines dropped, %d bytes queued", dropped, writer.queuedBytes)
	}
	writer.mu.Unlock()
	read := make(chan []string)
	go func() {
		var got []string
		in := bufio.NewReader(r)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				read <- got
				return
			}
			got = append(got, line)
		}
	}()
	writer.Flush(time.Minute)
	if _, err := writer.Write([]byte("last\n")); err != nil {
		t.Error(err)
	}
	writer.Flush(time.Minute)
	writer.mu.Lock()
	if writer.drained != nil || writer.queuedBytes != 0 {
		t.Errorf("%d bytes are queued after Flush", writer.queuedBytes)
	}
	writer.mu.Unlock()
	w.Close()
	if got := <-read; strings.Join(got, "") != strings.Join(accepted, "")+"last\n" {
		t.Errorf("%d of %d lines arrived, or lines were changed", len(got), len(accepted)+1)
	}
}

// A program ends while its standard error is not read: Flush waits no longer than its timeout.
func TestFlushTimesOut(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	writer := New(w)
	for range 100 {
		writer.Write(make([]byte, 8<<10))
	}
	writer.Flush(time.Millisecond)
	r.Close() // makes the blocked write return an error
	writer.Flush(time.Minute)
}
