package requesthead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// consumed returns a Reader that has read a whole text in pieces of at most n bytes.
func consumed(text string, n int) *Reader {
	r := NewReader(readInPieces(text, n))
	io.Copy(io.Discard, r)
	return r
}

// The state of a request depends only on the bytes that have arrived, not on how they were divided into reads.
func TestState(t *testing.T) {
	for _, tc := range []struct {
		name, text      string
		begun, complete bool
	}{
		{"nothing", "", false, false},
		{"empty lines", "\r\n\r\n", false, false},
		{"part of the request line", "G", true, false},
		{"part of the header", "GET / HTTP/1.1\r\n", true, false},
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, true},
		{"no body, empty line after it", "GET / HTTP/1.1\r\nHost: h\r\n\r\n\r\n", false, true},
		{"part of a body", "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", false, false},
		{"a body", "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", false, true},
		{"part of the next head", "GET / HTTP/1.1\r\nHost: h\r\n\r\nG", true, false},
		{"invalid Content-Length", "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", false, false},
		{"part of a chunk size", chunkedHead + "1", false, false},
		{"part of a chunk", chunkedHead + "2;x=\"y\"\r\na", false, false},
		{"a chunk", chunkedHead + "2\r\nab\r\n", false, false},
		{"unterminated trailer section", chunkedHead + "2\r\nab\r\n0\r\n", false, false},
		{"chunks", chunkedHead + "2\r\nab\r\n0A\r\n0123456789\r\n0\r\n\r\n", false, true},
		{"chunks and part of the next head", chunkedHead + "0\r\n\r\nGET", false, true},
		{"a trailer", chunkedHead + "0\r\nA: b\r\nC: d\r\n\r\n", false, true},
		{"LF alone", chunkedHead + "0\n\n", false, false},
		{"invalid chunk size", chunkedHead + "x\r\n\r\n", false, false},
	} {
		for n := 1; n <= len(tc.text)+1; n++ {
			if r := consumed(tc.text, n); r.HeadBegun() != tc.begun || r.Complete() != tc.complete {
				t.Errorf("%s in pieces of %d: head begun %v, complete %v", tc.name, n, r.HeadBegun(), r.Complete())
			}
		}
	}
}

// FuzzChunkedBody checks that net/http and the Reader agree on the end of a chunked body. If a body is complete for the
// Reader, net/http does not wait for more bytes; if net/http has read a body to its end, it is complete for the Reader.
func FuzzChunkedBody(f *testing.F) {
	for _, body := range []string{"0\r\n\r\n", "1;a=b\r\nx\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nA: b\r\n\r\n", "0\r\nA\n\r\n\r\n", "ffffffffffffffff\r\n",
		"1\r\nx\r0\r\n\r\n", "00000000000000001\r\nx\r\n0\r\n\r\n", "2 \r\nab\r\n0\r\n\r\n", "0\r\n \r\n\r\n", "0\r\n\r\r\n\r\n"} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(chunkedHead + body)))
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, request.Body)
		complete := consumed(chunkedHead+body, len(chunkedHead+body)).Complete()
		if complete && errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q is complete for the Reader, but net/http waits for more", body)
		}
		// net/http accepts white space and, in trailers, lines that end in LF alone; the Reader rejects both.
		strict := !strings.ContainsAny(strings.ReplaceAll(body, "\r\n", ""), " \t\r\n")
		if err == nil && strict && !complete {
			t.Errorf("%q is complete for net/http, but not for the Reader", body)
		}
	})
}
