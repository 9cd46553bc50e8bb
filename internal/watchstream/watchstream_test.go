package watchstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// limit is the maximum size of an object, in bytes.
const limit = 1 << 10

// object is the type of the objects in the streams of these tests.
type object struct {
	Number int    `json:"number"`
	Text   string `json:"text,omitempty"`
}

// countingWatchdog counts the calls of its methods.
type countingWatchdog struct{ heartbeats, objects, progress int }

func (w *countingWatchdog) Heartbeat()   { w.heartbeats++ }
func (w *countingWatchdog) ObjectBegan() { w.objects++ }
func (w *countingWatchdog) Progress()    { w.progress++ }

// twoObjects is an object on one line and one on several lines, with heartbeats between them.
const twoObjects = "\n\n" + `{"number":1}` + "\n\r\n" + `{
  "number": 2,
  "text": "b\n{", "later": [1, {}]
}` + "\n"

// Objects on one line or on several lines, read in pieces of any size, give the same result, and heartbeats are
// recognized.
func TestObjectsInAnyForm(t *testing.T) {
	for name, in := range map[string]io.Reader{
		"in one piece":     strings.NewReader(twoObjects),
		"byte by byte":     iotest.OneByteReader(strings.NewReader(twoObjects)),
		"halves":           iotest.HalfReader(strings.NewReader(twoObjects)),
		"no final newline": strings.NewReader(strings.TrimSpace(twoObjects)),
	} {
		observed := &countingWatchdog{}
		r := NewReader[object](in, limit, observed)
		first, firstErr := r.Next()
		second, secondErr := r.Next()
		_, end := r.Next()
		if firstErr != nil || first != (object{Number: 1}) {
			t.Errorf("%s: first %+v, %v", name, first, firstErr)
		}
		if secondErr != nil || second != (object{Number: 2, Text: "b\n{"}) {
			t.Errorf("%s: second %+v, %v", name, second, secondErr)
		}
		if end != io.EOF {
			t.Errorf("%s: ended with %v", name, end)
		}
		if observed.objects != 2 || name == "byte by byte" && observed.heartbeats != 6 {
			t.Errorf("%s: watchdog counted %+v", name, observed)
		}
	}
}

// The errors distinguish a truncated object, an unreadable one, and a stream that ended between two objects.
func TestErrors(t *testing.T) {
	reset := errors.New("reset")
	for name, c := range map[string]struct {
		in                    io.Reader
		truncated, unreadable bool
		is                    error
	}{
		"another type":           {in: strings.NewReader(`{"number":"x"}`), unreadable: true},
		"not an object":          {in: strings.NewReader(`[1]`), unreadable: true},
		"not JSON":               {in: strings.NewReader(`nonsense`), unreadable: true},
		"a stray bracket":        {in: strings.NewReader(`]`), unreadable: true},
		"too large":              {in: strings.NewReader(`{"text":"` + strings.Repeat("x", limit) + `"}`), unreadable: true, is: TooLargeError{limit}},
		"end within an object":   {in: strings.NewReader(`{"number":1,"te`), truncated: true},
		"reset within an object": {in: io.MultiReader(strings.NewReader(`{"number":1,`), iotest.ErrReader(reset)), truncated: true, is: reset},
		"reset between objects":  {in: io.MultiReader(strings.NewReader("\n"), iotest.ErrReader(reset)), is: reset},
		"end between objects":    {in: strings.NewReader("\n"), is: io.EOF},
	} {
		_, err := NewReader[object](c.in, limit, &countingWatchdog{}).Next()
		if errors.As(err, new(*TruncatedError)) != c.truncated || errors.As(err, new(*UnreadableError)) != c.unreadable {
			t.Errorf("%s: %v", name, err)
		}
		if c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("%s: %v, want %v", name, err, c.is)
		}
	}
}

// The limit applies to each object separately, and whitespace between objects does not count.
func TestEachObjectHasItsLimit(t *testing.T) {
	text := `{"text":"` + strings.Repeat("x", limit/2) + `"}` + strings.Repeat("\n", 4*limit)
	r := NewReader[object](iotest.HalfReader(strings.NewReader(strings.Repeat(text, 5))), limit, &countingWatchdog{})
	for n := range 5 {
		if _, err := r.Next(); err != nil {
			t.Fatalf("object %d: %v", n, err)
		}
	}
}

// Whatever the input, reading ends, and an object that is accepted can be encoded and read again with the same result.
func FuzzReader(f *testing.F) {
	f.Add([]byte(twoObjects), 3)
	f.Add([]byte(`{"number":1,`), 1)
	f.Add([]byte("\n\n]"), 2)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		r := NewReader[object](&chunkReader{text, 1 + (piece&0x7fffffff)%7}, limit, &countingWatchdog{})
		for n := 0; ; n++ {
			read, err := r.Next()
			if err != nil {
				return
			}
			again, err := json.Marshal(read)
			if err != nil {
				t.Fatal(err)
			}
			same, err := NewReader[object](bytes.NewReader(again), 8*limit, &countingWatchdog{}).Next()
			if err != nil || same != read {
				t.Fatalf("%+v became %+v, %v", read, same, err)
			}
			if n > len(text) {
				t.Fatal("more objects than bytes")
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
