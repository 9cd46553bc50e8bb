package proxyproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
)

// headerV2 returns a header of version 2 with a payload.
func headerV2(command, family byte, payload string) string {
	b := append([]byte(signatureV2), command, family)
	return string(binary.BigEndian.AppendUint16(b, uint16(len(payload)))) + payload
}

// Payloads of version 2: source and destination addresses and ports.
var (
	ip4 = string([]byte{10, 4, 0, 9, 10, 0, 0, 1, 1, 2, 3, 4})
	ip6 = string(append(append(netip.MustParseAddr("fd00:12::9").AsSlice(), netip.MustParseAddr("fd00::1").AsSlice()...), 1, 2, 3, 4))
)

// validHeaders maps a case name to a header and its source address; "": the header has none.
var validHeaders = map[string]struct{ header, source string }{
	"TCP4":                   {"PROXY TCP4 10.4.0.9 10.0.0.1 5000 80\r\n", "10.4.0.9"},
	"TCP6":                   {"PROXY TCP6 fd00:12::9 fd00::1 5000 65535\r\n", "fd00:12::9"},
	"TCP6, mapped":           {"PROXY TCP6 ::ffff:10.4.0.9 ::1 0 80\r\n", "10.4.0.9"},
	"UNKNOWN":                {"PROXY UNKNOWN\r\n", ""},
	"UNKNOWN with text":      {"PROXY UNKNOWN " + strings.Repeat("f", maxLineV1-16) + "\r\n", ""},
	"version 2, TCP4":        {headerV2(0x21, 0x11, ip4), "10.4.0.9"},
	"version 2, TCP6":        {headerV2(0x21, 0x21, ip6), "fd00:12::9"},
	"version 2, with TLVs":   {headerV2(0x21, 0x11, ip4+"\x04\x00\x03abc"), "10.4.0.9"},
	"version 2, many TLVs":   {headerV2(0x21, 0x21, ip6+strings.Repeat("x", maxPayloadV2-36)), "fd00:12::9"},
	"version 2, local":       {headerV2(0x20, 0x00, ""), ""},
	"version 2, local, more": {headerV2(0x20, 0x11, ip4), ""},
	"version 2, unspecified": {headerV2(0x21, 0x00, "\x04\x00\x01a"), ""},
}

// A header may arrive byte by byte, and no byte after it may be read, because the first request starts there. A header that
// is cut off at any byte is truncated, not malformed.
func TestValidHeaders(t *testing.T) {
	for name, c := range validHeaders {
		for _, rest := range []string{"GET / HTTP/1.1\r\n", "PROXY ", ""} {
			r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(c.header+rest)), 16)
			source, err := Read(r)
			if err != nil || c.source == "" && source.IsValid() || c.source != "" && source.String() != c.source {
				t.Errorf("%s: got %v, %v", name, source, err)
			}
			if left, err := io.ReadAll(r); err != nil || string(left) != rest {
				t.Errorf("%s: %q remains unread, want %q", name, left, rest)
			}
		}
		if isHeader, mayBecome := Starts([]byte(c.header)); !isHeader || mayBecome {
			t.Errorf("%s: Starts does not recognize the header", name)
		}
		for n := range len(c.header) {
			_, err := Read(bufio.NewReader(strings.NewReader(c.header[:n])))
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("%s cut after %d bytes: error %v, want io.ErrUnexpectedEOF", name, n, err)
			}
		}
	}
}

// A header that violates the protocol in any way is rejected. Otherwise two programs could interpret the same header
// differently.
func TestMalformedHeaders(t *testing.T) {
	for name, header := range map[string]string{
		"no signature":             "GET / HTTP/1.1\r\n",
		"similar start":            "PROPFIND / HTTP/1.1\r\n",
		"lower case":               "proxy TCP4 10.4.0.9 10.0.0.1 5000 80\r\n",
		"no CR":                    "PROXY TCP4 10.4.0.9 10.0.0.1 5000 80\n",
		"no end":                   "PROXY TCP4 " + strings.Repeat("1", 200),
		"one byte over":            "PROXY UNKNOWN " + strings.Repeat("f", maxLineV1-15) + "\r\n",
		"no protocol":              "PROXY \r\n",
		"UDP":                      "PROXY UDP4 10.4.0.9 10.0.0.1 5000 80\r\n",
		"missing field":            "PROXY TCP4 10.4.0.9 10.0.0.1 5000\r\n",
		"extra field":              "PROXY TCP4 10.4.0.9 10.0.0.1 5000 80 \r\n",
		"two spaces":               "PROXY TCP4  10.4.0.9 10.0.0.1 5000 80\r\n",
		"other family":             "PROXY TCP4 fd00::1 fd00::2 5000 80\r\n",
		"families mixed":           "PROXY TCP6 fd00::1 10.0.0.1 5000 80\r\n",
		"zone":                     "PROXY TCP6 fe80::1%eth0 fd00::2 5000 80\r\n",
		"name":                     "PROXY TCP4 localhost 10.0.0.1 5000 80\r\n",
		"port":                     "PROXY TCP4 10.4.0.9 10.0.0.1 65536 80\r\n",
		"port, signed":             "PROXY TCP4 10.4.0.9 10.0.0.1 +500 80\r\n",
		"port, zeros":              "PROXY TCP4 10.4.0.9 10.0.0.1 5000 080\r\n",
		"version 2, version":       headerV2(0x11, 0x11, ip4),
		"version 2, command":       headerV2(0x22, 0x11, ip4),
		"version 2, family":        headerV2(0x21, 0x12, ip4),
		"version 2, Unix":          headerV2(0x21, 0x31, strings.Repeat("x", 216)),
		"version 2, short":         headerV2(0x21, 0x21, ip4),
		"version 2, long":          headerV2(0x21, 0x11, ip4+strings.Repeat("x", maxPayloadV2)),
		"version 2, half a prefix": signatureV2[:8] + "GET /",
	} {
		if source, err := Read(bufio.NewReader(strings.NewReader(header))); !errors.Is(err, ErrMalformed) || source.IsValid() {
			t.Errorf("%s: got %v, %v", name, source, err)
		}
	}
}

// TestStarts checks inputs that are too short for a signature, as well as complete signatures.
func TestStarts(t *testing.T) {
	for head, want := range map[string][2]bool{"": {false, true}, "PROX": {false, true}, "PROXY": {false, true},
		"PROXY ": {true, false}, "PROPF": {false, false}, "\r\n\r": {false, true}, "GET": {false, false}, signatureV2: {true, false}} {
		if isHeader, mayBecome := Starts([]byte(head)); isHeader != want[0] || mayBecome != want[1] {
			t.Errorf("%q: %v, %v", head, isHeader, mayBecome)
		}
	}
}

// FuzzRead checks that any input is read as a complete header, rejected as malformed, or reported as truncated.
func FuzzRead(f *testing.F) {
	for _, c := range validHeaders {
		f.Add([]byte(c.header + "rest"))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		source, err := Read(bufio.NewReaderSize(strings.NewReader(string(text)), 16))
		if err != nil && (source.IsValid() || !errors.Is(err, ErrMalformed) && !errors.Is(err, io.ErrUnexpectedEOF)) {
			t.Errorf("%q: %v, %v", text, source, err)
		}
		if isHeader, _ := Starts(text); err == nil && !isHeader {
			t.Errorf("%q was read as a header, but Starts does not recognize it", text)
		}
	})
}
