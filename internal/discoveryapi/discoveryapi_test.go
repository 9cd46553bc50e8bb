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

type dog struct{ blanks, begun, parts int }

func (e *dog) Blank() { e.blanks++ }
func (e *dog) Begun() { e.begun++ }
func (e *dog) Part()  { e.parts++ }

const two = "\n\n" + `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"in_service"}]}` + "\n\r\n" + `{
  "seq": 2,
  "hosts": [
    { "host": "b\n{", "health": "terminating", "later": [1, {}] }
  ]
}` + "\n"

// Lists on one line or many, in pieces of any size, are what they are; keep-alive lines are heard as such.
func TestListsInAnyForm(t *testing.T) {
	for name, in := range map[string]io.Reader{"whole": strings.NewReader(two), "byte by byte": iotest.OneByteReader(strings.NewReader(two)),
		"halves": iotest.HalfReader(strings.NewReader(two)), "no last line end": strings.NewReader(strings.TrimSpace(two))} {
		e := &dog{}
		r := NewReader(in, e)
		a, err := r.Next()
		b, err2 := r.Next()
		_, end := r.Next()
		if err != nil || err2 != nil || a.Seq != 1 || !a.Complete || b.Seq != 2 || b.Complete || len(b.Endpoints) != 1 || b.Endpoints[0].Host != "b\n{" || end != io.EOF {
			t.Errorf("%s: %+v %v, %+v %v, %v", name, a, err, b, err2, end)
		}
		if e.begun != 2 || name == "byte by byte" && e.blanks != 6 {
			t.Errorf("%s: heard %+v", name, e)
		}
	}
}

// What can't be taken says what it is: each kind is answered in its own way.
func TestWhatIsNoList(t *testing.T) {
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
		_, err := NewReader(strings.NewReader(text), &dog{}).Next()
		cut, bad := new(*TruncatedError), new(*UnreadableError)
		if _, isCut := want.(*TruncatedError); errors.As(err, cut) != isCut || errors.As(err, bad) == isCut {
			t.Errorf("%.30q: %v", text, err)
		}
	}
	r := NewReader(io.MultiReader(strings.NewReader(`{"seq":1,`), iotest.ErrReader(reset)), &dog{})
	if _, err := r.Next(); !errors.As(err, new(*TruncatedError)) || !errors.Is(err, reset) {
		t.Errorf("a reset within a list: %v", err)
	}
	r = NewReader(io.MultiReader(strings.NewReader("\n"), iotest.ErrReader(reset)), &dog{})
	if _, err := r.Next(); err != reset {
		t.Errorf("a reset between lists: %v", err)
	}
}

// A watch in which nothing changes for days holds no more than at its start.
func TestSpaceIsNotKept(t *testing.T) {
	space := bytes.Repeat([]byte("\n"), 2*MaxListBytes)
	r := NewReader(io.MultiReader(iotest.HalfReader(bytes.NewReader(space)), strings.NewReader(`{"seq":3}`)), &dog{})
	if n, err := r.Next(); err != nil || n.Seq != 3 {
		t.Errorf("%+v, %v", n, err)
	}
}

// Whatever comes, reading ends, and a list that is taken reads the same again.
func FuzzReader(f *testing.F) {
	f.Add([]byte(two), 3)
	f.Add([]byte(`{"seq":1,`), 1)
	f.Add([]byte("\n\n]"), 2)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		r := NewReader(&pieces{text, 1 + (piece&0x7fffffff)%7}, &dog{})
		for n := 0; ; n++ {
			l, err := r.Next()
			if err != nil {
				return
			}
			again, err := json.Marshal(l)
			if err != nil {
				t.Fatal(err)
			}
			m, err := NewReader(bytes.NewReader(again), &dog{}).Next()
			if err != nil || fmt.Sprint(m) != fmt.Sprint(l) {
				t.Fatalf("%+v became %+v, %v", l, m, err)
			}
			if n > len(text) {
				t.Fatal("more lists than bytes")
			}
		}
	})
}

type pieces struct {
	rest []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:min(p.size, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}
