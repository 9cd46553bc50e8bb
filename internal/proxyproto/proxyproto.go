// Package proxyproto reads the headers of the PROXY protocol, versions 1 and 2, by which a front tells whose
// connection it passes on. It is own code for what the known libraries don't do: a header may come in pieces, and
// one that names no address is no fault.
package proxyproto

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
)

const (
	signature1 = "PROXY "
	signature2 = "\r\n\r\n\x00\r\nQUIT\n"

	maxLine    = 107     // of version 1, with its end
	maxPayload = 4 << 10 // of version 2: addresses and all that a front may add
	fixed      = 16      // bytes of version 2 before that
)

// ErrMalformed is what a header's fault is.
var ErrMalformed = errors.New("malformed PROXY header")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrMalformed, fmt.Errorf(format, args...))
}

// Starts tells whether what has come begins with a header, or may yet turn out to.
func Starts(head []byte) (is, may bool) {
	for _, s := range []string{signature1, signature2} {
		n := min(len(head), len(s))
		if string(head[:n]) == s[:n] {
			return n == len(s), n < len(s)
		}
	}
	return false, false
}

// Read takes one header off the front of r, and not a byte more. An invalid source means that the header names
// none: the address of the connection itself counts.
func Read(r *bufio.Reader) (source netip.Addr, err error) {
	for n := 1; ; n++ {
		head, err := r.Peek(n)
		if err != nil {
			return netip.Addr{}, cut(err)
		}
		switch is, may := Starts(head); {
		case is && n == len(signature1):
			return readLine(r)
		case is:
			return readBinary(r)
		case !may:
			return netip.Addr{}, malformed("it is none")
		}
	}
}

// cut says that a header did not come whole.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("PROXY header: %w", err)
}

// readLine reads version 1.
func readLine(r *bufio.Reader) (source netip.Addr, err error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\n")) {
		if len(line) == maxLine {
			return netip.Addr{}, malformed("over %d bytes", maxLine)
		}
		b, err := r.ReadByte()
		if err != nil {
			return netip.Addr{}, cut(err)
		}
		line = append(line, b)
	}
	text, ok := strings.CutSuffix(string(line), "\r\n")
	if !ok {
		return netip.Addr{}, malformed("no CR before LF")
	}
	words := strings.Split(text, " ")
	if words[1] == "UNKNOWN" { // what follows is to be ignored
		return netip.Addr{}, nil
	}
	if len(words) != 6 {
		return netip.Addr{}, malformed("%d words", len(words))
	}
	var addrs [2]netip.Addr
	for i := range addrs {
		if addrs[i], err = netip.ParseAddr(words[2+i]); err != nil || addrs[i].Zone() != "" ||
			!(words[1] == "TCP4" && addrs[i].Is4() || words[1] == "TCP6" && addrs[i].Is6()) {
			return netip.Addr{}, malformed("%.20q with address %.40q", words[1], words[2+i])
		}
		if port, err := strconv.ParseUint(words[4+i], 10, 16); err != nil || strconv.FormatUint(port, 10) != words[4+i] {
			return netip.Addr{}, malformed("port %.10q", words[4+i])
		}
	}
	return addrs[0].Unmap(), nil
}

// readBinary reads version 2.
func readBinary(r *bufio.Reader) (source netip.Addr, err error) {
	var head [fixed]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return netip.Addr{}, cut(err)
	}
	command, family, left := head[12], head[13], int(binary.BigEndian.Uint16(head[14:]))
	if left > maxPayload {
		return netip.Addr{}, malformed("%d bytes announced, more than %d", left, maxPayload)
	}
	var need int // source and destination address with their ports
	const local, proxied = 0x20, 0x21
	switch {
	case command != local && command != proxied:
		return netip.Addr{}, malformed("version and command %#x", command)
	case command == local || family == 0x00:
	case family == 0x11:
		need = 2 * (4 + 2)
	case family == 0x21:
		need = 2 * (16 + 2)
	default:
		return netip.Addr{}, malformed("family and protocol %#x", family)
	}
	if left < need {
		return netip.Addr{}, malformed("%d bytes announced, less than %d", left, need)
	}
	payload := make([]byte, need)
	if _, err := io.ReadFull(r, payload); err != nil {
		return netip.Addr{}, cut(err)
	}
	if _, err := r.Discard(left - need); err != nil {
		return netip.Addr{}, cut(err)
	}
	switch need {
	case 0:
		return netip.Addr{}, nil
	case 12:
		return netip.AddrFrom4([4]byte(payload[:4])), nil
	}
	return netip.AddrFrom16([16]byte(payload[:16])).Unmap(), nil
}
