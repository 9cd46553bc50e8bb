package discoveryapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// countingWatchdog counts the calls of its methods.
type countingWatchdog struct{ heartbeats, objects, progress int }

func (w *countingWatchdog) Heartbeat()   { w.heartbeats++ }
func (w *countingWatchdog) ObjectBegan() { w.objects++ }
func (w *countingWatchdog) Progress()    { w.progress++ }

// twoLists is a complete list on one line and changes on several lines, with heartbeats between them.
const twoLists = "\n\n" + `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"in_service"}]}` + "\n\r\n" + `{
  "seq": 2,
  "hosts": [
    { "host": "b\n{", "health": "terminating", "later": [1, {}] }
  ]
}` + "\n"

// Lists on one line or on several lines, read in pieces of any size, give the same result, and heartbeats are recognized.
func TestListsInAnyForm(t *testing.T) {
	for name, in := range map[string]io.Reader{"in one piece": strings.NewReader(twoLists), "byte by byte": iotest.OneByteReader(strings.NewReader(twoLists)),
		"halves": iotest.HalfReader(strings.NewReader(twoLists)), "no final newline": strings.NewReader(strings.TrimSpace(twoLists))} {
		watchdog := &countingWatchdog{}
		r := NewReader(in, watchdog)
		first, firstErr := r.Next()
		second, secondErr := r.Next()
		_, end := r.Next()
		if firstErr != nil || first.Version != 1 || !first.Complete {
			t.Errorf("%s: first %+v, %v", name, first, firstErr)
		}
		if secondErr != nil || second.Version != 2 || second.Complete || len(second.Endpoints) != 1 || second.Endpoints[0].ID != "b\n{" {
			t.Errorf("%s: second %+v, %v", name, second, secondErr)
		}
		if end != io.EOF {
			t.Errorf("%s: ended with %v", name, end)
		}
		if watchdog.objects != 2 || name == "byte by byte" && watchdog.heartbeats != 6 {
			t.Errorf("%s: watchdog counted %+v", name, watchdog)
		}
	}
}

// The Reader distinguishes truncated lists from unreadable ones. After a truncated list the node polls from its version
// again; after an unreadable one it needs the complete list. Mistaking the first for the second would cost discovery
// needless work, and the reverse would let the node apply changes across a gap.
func TestTruncatedAndUnreadableLists(t *testing.T) {
	reset := errors.New("reset")
	for text, want := range map[string]any{
		`{"seq":1,"whole":true}`: &UnreadableError{},
		`{"seq":1,}`:             &UnreadableError{},
		`nonsense`:               &UnreadableError{},
		`[1]`:                    &UnreadableError{},
		`]`:                      &UnreadableError{},
		`{"seq":1,"hosts":[{"ho`: &TruncatedError{},
		`{"seq":"` + strings.Repeat("x", MaxListBytes) + `"}`: &UnreadableError{},
	} {
		_, err := NewReader(strings.NewReader(text), &countingWatchdog{}).Next()
		_, truncated := want.(*TruncatedError)
		if errors.As(err, new(*TruncatedError)) != truncated || errors.As(err, new(*UnreadableError)) == truncated {
			t.Errorf("%.30q: %v", text, err)
		}
	}
	r := NewReader(io.MultiReader(strings.NewReader(`{"seq":1,`), iotest.ErrReader(reset)), &countingWatchdog{})
	if _, err := r.Next(); !errors.As(err, new(*TruncatedError)) || !errors.Is(err, reset) {
		t.Errorf("a reset within a list: %v", err)
	}
	r = NewReader(io.MultiReader(strings.NewReader("\n"), iotest.ErrReader(reset)), &countingWatchdog{})
	if _, err := r.Next(); err != reset {
		t.Errorf("a reset between lists: %v", err)
	}
}

// A watch without changes sends nothing but heartbeats for days. They must not accumulate in memory.
func TestHeartbeatsAreNotBuffered(t *testing.T) {
	heartbeats := bytes.Repeat([]byte("\n"), 2*MaxListBytes)
	r := NewReader(io.MultiReader(iotest.HalfReader(bytes.NewReader(heartbeats)), strings.NewReader(`{"seq":3}`)), &countingWatchdog{})
	if list, err := r.Next(); err != nil || list.Version != 3 {
		t.Errorf("%+v, %v", list, err)
	}
}

// Whatever the input, reading ends, and a list that is accepted can be encoded and read again with the same result.
func FuzzReader(f *testing.F) {
	f.Add([]byte(twoLists), 3)
	f.Add([]byte(`{"seq":1,`), 1)
	f.Add([]byte("\n\n]"), 2)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		r := NewReader(&chunkReader{text, 1 + (piece&0x7fffffff)%7}, &countingWatchdog{})
		for n := 0; ; n++ {
			list, err := r.Next()
			if err != nil {
				return
			}
			again, err := json.Marshal(list)
			if err != nil {
				t.Fatal(err)
			}
			same, err := NewReader(bytes.NewReader(again), &countingWatchdog{}).Next()
			if err != nil || fmt.Sprint(same) != fmt.Sprint(list) {
				t.Fatalf("%+v became %+v, %v", list, same, err)
			}
			if n > len(text) {
				t.Fatal("more lists than bytes")
			}
		}
	})
}

// chunkReader returns its data in chunks of one size.
type chunkReader struct {
	remaining []byte
	size      int
}

func (p *chunkReader) Read(buf []byte) (int, error) {
	if len(p.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.remaining[:min(p.size, len(p.remaining))])
	p.remaining = p.remaining[n:]
	return n, nil
}
