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

// While nobody reads, writing does not wait, memory stays bounded and what is dropped is told; once somebody does, all
// that was taken comes out whole and in order, and nothing runs on.
func TestNobodyReads(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s := New(w)
	var taken []string
	dropped := 0
	for i := range 2000 {
		line := fmt.Sprintf("%04d %s\n", i, strings.Repeat("x", 10+i*7%6000))
		if _, err := s.Write([]byte(line)); errors.Is(err, ErrFull) {
			dropped++
		} else {
			taken = append(taken, line)
		}
	}
	s.mu.Lock()
	if dropped == 0 || s.size > most {
		t.Errorf("%d lines dropped, %d bytes wait", dropped, s.size)
	}
	s.mu.Unlock()
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
	s.Flush(time.Minute)
	if _, err := s.Write([]byte("last\n")); err != nil {
		t.Error(err)
	}
	s.Flush(time.Minute)
	s.mu.Lock()
	if s.idle != nil || s.size != 0 {
		t.Errorf("%d bytes wait in the end", s.size)
	}
	s.mu.Unlock()
	w.Close()
	if got := <-read; strings.Join(got, "") != strings.Join(taken, "")+"last\n" {
		t.Errorf("%d lines came of %d", len(got), len(taken)+1)
	}
}

// Flush gives up on a reader that does not come.
func TestFlushEnds(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s := New(w)
	for range 100 {
		s.Write(make([]byte, 8<<10))
	}
	s.Flush(time.Millisecond)
	r.Close() // what is under way ends with an error
	s.Flush(time.Minute)
}
