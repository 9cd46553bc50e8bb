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

const limit = 1 << 10

type object struct {
	Number int    `json:"number"`
	Text   string `json:"text,omitempty"`
}

type counts struct{ blanks, begun, parts int }

func (c *counts) Blank() { c.blanks++ }
func (c *counts) Begun() { c.begun++ }
func (c *counts) Part()  { c.parts++ }

const twoObjects = "\n\n" + `{"number":1}` + "\n\r\n" + `{
  "number": 2,
  "text": "b\n{", "later": [1, {}]
}` + "\n"

// Objects on one line or many, in pieces of any size, are what they are; heartbeats are heard as such.
func TestObjectsInAnyForm(t *testing.T) {
	for name, in := range map[string]io.Reader{
		"whole":            strings.NewReader(twoObjects),
		"byte by byte":     iotest.OneByteReader(strings.NewReader(twoObjects)),
		"halves":           iotest.HalfReader(strings.NewReader(twoObjects)),
		"no last line end": strings.NewReader(strings.TrimSpace(twoObjects)),
	} {
		heard := &counts{}
		r := NewReader[object](in, limit, heard)
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
		if heard.begun != 2 || name == "byte by byte" && heard.blanks != 6 {
			t.Errorf("%s: heard %+v", name, heard)
		}
	}
}

// What can't be taken says what it is.
func TestFaults(t *testing.T) {
	reset := errors.New("reset")
	for name, c := range map[string]struct {
		in              io.Reader
		cut, unreadable bool
		is              error
	}{
		"another type":           {in: strings.NewReader(`{"number":"x"}`), unreadable: true},
		"no object":              {in: strings.NewReader(`[1]`), unreadable: true},
		"no JSON":                {in: strings.NewReader(`nonsense`), unreadable: true},
		"a stray end":            {in: strings.NewReader(`]`), unreadable: true},
		"too large":              {in: strings.NewReader(`{"text":"` + strings.Repeat("x", limit) + `"}`), unreadable: true, is: TooLargeError{limit}},
		"cut within an object":   {in: strings.NewReader(`{"number":1,"te`), cut: true},
		"reset within an object": {in: io.MultiReader(strings.NewReader(`{"number":1,`), iotest.ErrReader(reset)), cut: true, is: reset},
		"reset between objects":  {in: io.MultiReader(strings.NewReader("\n"), iotest.ErrReader(reset)), is: reset},
		"ended between objects":  {in: strings.NewReader("\n"), is: io.EOF},
	} {
		_, err := NewReader[object](c.in, limit, &counts{}).Next()
		if errors.As(err, new(*TruncatedError)) != c.cut || errors.As(err, new(*UnreadableError)) != c.unreadable {
			t.Errorf("%s: %v", name, err)
		}
		if c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("%s: %v, want %v", name, err, c.is)
		}
	}
}

// Objects that follow one another each have the whole limit, and space between them costs nothing of it.
func TestEachObjectHasItsLimit(t *testing.T) {
	text := `{"text":"` + strings.Repeat("x", limit/2) + `"}` + strings.Repeat("\n", 4*limit)
	r := NewReader[object](iotest.HalfReader(strings.NewReader(strings.Repeat(text, 5))), limit, &counts{})
	for n := range 5 {
		if _, err := r.Next(); err != nil {
			t.Fatalf("object %d: %v", n, err)
		}
	}
}

// Whatever comes, reading ends, and an object that is taken reads the same again.
func FuzzReader(f *testing.F) {
	f.Add([]byte(twoObjects), 3)
	f.Add([]byte(`{"number":1,`), 1)
	f.Add([]byte("\n\n]"), 2)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		r := NewReader[object](&pieces{text, 1 + (piece&0x7fffffff)%7}, limit, &counts{})
		for n := 0; ; n++ {
			read, err := r.Next()
			if err != nil {
				return
			}
			again, err := json.Marshal(read)
			if err != nil {
				t.Fatal(err)
			}
			same, err := NewReader[object](bytes.NewReader(again), 8*limit, &counts{}).Next()
			if err != nil || same != read {
				t.Fatalf("%+v became %+v, %v", read, same, err)
			}
			if n > len(text) {
				t.Fatal("more objects than bytes")
			}
		}
	})
}

// pieces is a stream that comes in pieces of one size.
type pieces struct {
	rest []byte
	size int
}

func (p *pieces) Read(buf []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.rest[:min(p.size, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}
