package requesthead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// readInPieces returns a reader that returns a text in pieces of at most n bytes.
func readInPieces(text string, n int) io.Reader {
	r := strings.NewReader(text)
	return readFunc(func(b []byte) (int, error) { return r.Read(b[:min(n, len(b))]) })
}

// A Read never returns bytes beyond the request in which it starts, however the input is divided, and no bytes are lost.
func TestReadStopsAtRequestEnd(t *testing.T) {
	a := "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"
	b := "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
	c := "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for n := 1; n < len(a)+len(b)+len(c); n++ {
		h := NewReader(readInPieces(a+"\r\n"+b+b+c, n))
		for _, want := range []string{a, b, b, c} {
			var one []byte
			for len(one) < len(want) {
				buf := make([]byte, 4096)
				k, err := h.Read(buf)
				if err != nil {
					t.Fatalf("pieces of %d: %v after %q", n, err, one)
				}
				one = append(one, buf[:k]...)
			}
			if string(one) != want || h.Findings().Fault != "" {
				t.Fatalf("pieces of %d: read %q, want %q; fault %q", n, one, want, h.Findings().Fault)
			}
		}
		if h.Count() != 4 || !h.Findings().TransferEncoding {
			t.Fatalf("pieces of %d: %d heads, %+v", n, h.Count(), h.Findings())
		}
	}
}

// FuzzRequestHead checks that any input is read completely, and that net/http and the Reader agree on the length of each
// request without a fault. If they disagreed, a request could be smuggled.
func FuzzRequestHead(f *testing.F) {
	for _, s := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\nHost: h\r\nContent-Length:\r\n 4\r\n\r\n", "\r", "\n\n", ":",
		"POST / HTTP/0.1\r\n000000000000:00\r\nTrAnsfer-EnCoding:00000000\r\n\r\n00000",
	} {
		f.Add(s, 3)
	}
	f.Fuzz(func(t *testing.T, text string, n int) {
		var got bytes.Buffer
		if _, err := io.Copy(&got, NewReader(readInPieces(text, max(n, 1)))); err != nil {
			t.Fatal(err)
		}
		left := strings.NewReplacer("\r", "", "\n", "")
		if left.Replace(got.String()) != left.Replace(text) {
			t.Fatalf("read %q of %q", got.String(), text)
		}
		first := NewReader(readInPieces(text, 1))
		br := bufio.NewReaderSize(iotest.OneByteReader(first), 16)
		req, err := http.ReadRequest(br)
		if err != nil || first.Count() != 1 || first.Findings().Fault != "" {
			return
		}
		findings := first.Findings()
		unknownLength := req.ContentLength < 0
		if !req.ProtoAtLeast(1, 1) {
			// net/http ignores Transfer-Encoding before HTTP/1.1, but the Reader must not: it treats all further bytes as
			// the body of this request, and the ingress rejects the version with 505 and closes the connection.
			unknownLength = unknownLength || findings.TransferEncoding
		}
		if req.ContentLength > 0 && req.ContentLength != findings.ContentLength || unknownLength != findings.TransferEncoding {
			t.Fatalf("%q: net/http found length %d and encoding %v, the Reader %+v", text, req.ContentLength, req.TransferEncoding, findings)
		}
	})
}

// readFunc is a function that implements io.Reader.
type readFunc func([]byte) (int, error)

func (f readFunc) Read(b []byte) (int, error) { return f(b) }
