// Package proxyproto reads headers of the PROXY protocol, versions 1 and 2, in which a proxy sends the address of the client
// whose connection it forwards.
//
// Common libraries do not meet the requirements: a header can arrive in pieces, no byte after it may be read, and a header
// without an address is not an error.
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

// Signatures at the start of a header. An HTTP request can't begin with either of them.
const (
	signatureV1 = "PROXY "                 // of version 1, a line of text
	signatureV2 = "\r\n\r\n\x00\r\nQUIT\n" // of version 2, which is binary
)

// Sizes in bytes. They limit how much data a peer can make the node read before the client is known.
const (
	maxLineV1    = 107     // a header of version 1 with its line end, according to the protocol
	fixedSizeV2  = 16      // a header of version 2 up to its payload
	maxPayloadV2 = 4 << 10 // a payload of version 2: the addresses and the extensions (TLVs) that a proxy adds

	ipv4AddressesV2 = 2 * (4 + 2)  // source and destination addresses and ports
	ipv6AddressesV2 = 2 * (16 + 2) // source and destination addresses and ports
)

// Offsets in the fixed part of a header of version 2.
const (
	commandOffsetV2 = 12 // version and command
	familyOffsetV2  = 13 // address family and protocol
	lengthOffsetV2  = 14 // of the payload, two bytes
)

// Values of the version and command in a header of version 2.
const (
	commandLocal = 0x20 // a connection of the proxy itself, such as a health check: it has no client
	commandProxy = 0x21 // a forwarded connection of a client
)

// Values of the address family and protocol in a header of version 2.
const (
	familyUnspecified = 0x00 // the header has no client address
	familyTCPv4       = 0x11 // TCP over IPv4
	familyTCPv6       = 0x21 // TCP over IPv6
)

// fieldsV1 is the number of fields in a header of version 1 with addresses: PROXY, family, two addresses, two ports.
const fieldsV1 = 6

// ErrMalformed is wrapped by errors for a header that violates the protocol. The connection can't be used.
var ErrMalformed = errors.New("malformed PROXY header")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// truncated wraps the error for an incomplete header: io.ErrUnexpectedEOF, or an error of the connection such as a timeout.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("PROXY header: %w", err)
}

// Starts reports whether the bytes received so far start with the signature of a header, or may do so when more bytes
// arrive.
func Starts(head []byte) (isHeader, mayBecomeHeader bool) {
	for _, signature := range []string{signatureV1, signatureV2} {
		n := min(len(head), len(signature))
		if string(head[:n]) == signature[:n] {
			return n == len(signature), n < len(signature)
		}
	}
	return false, false
}

// Read reads one header from the start of r, and no byte after it. The buffer of r must hold at least a signature (12
// bytes), because Read peeks at the signature first. If the header has no client address, source is invalid, and the
// caller must use the address of the connection. The error wraps ErrMalformed, io.ErrUnexpectedEOF or an error of the
// connection.
func Read(r *bufio.Reader) (source netip.Addr, err error) {
	for n := 1; ; n++ {
		head, err := r.Peek(n)
		if err != nil {
			return netip.Addr{}, truncated(err)
		}
		switch isHeader, mayBecomeHeader := Starts(head); {
		case isHeader && n == len(signatureV1):
			return readV1(r)
		case isHeader:
			return readV2(r)
		case !mayBecomeHeader:
			return netip.Addr{}, malformed("no signature")
		}
	}
}

// readV1 reads a header of version 1: a line of text.
func readV1(r *bufio.Reader) (source netip.Addr, err error) {
	line, err := readLine(r)
	if err != nil {
		return netip.Addr{}, err
	}
	fields := strings.Split(line, " ")
	family := fields[1]
	if family == "UNKNOWN" { // the rest of the line must be ignored
		return netip.Addr{}, nil
	}
	if len(fields) != fieldsV1 {
		return netip.Addr{}, malformed("%d fields, want %d", len(fields), fieldsV1)
	}
	sourceText, destinationText, ports := fields[2], fields[3], fields[4:]
	source, err = parseAddress(family, sourceText, ports[0])
	if err != nil {
		return netip.Addr{}, err
	}
	if _, err := parseAddress(family, destinationText, ports[1]); err != nil {
		return netip.Addr{}, err
	}
	return source.Unmap(), nil
}

// readLine reads a line of at most maxLineV1 bytes and returns it without its line end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\n")) {
		if len(line) == maxLineV1 {
			return "", malformed("line longer than %d bytes", maxLineV1)
		}
		b, err := r.ReadByte()
		if err != nil {
			return "", truncated(err)
		}
		line = append(line, b)
	}
	text, ok := strings.CutSuffix(string(line), "\r\n")
	if !ok {
		return "", malformed("no CR before LF")
	}
	return text, nil
}

// parseAddress parses an address and checks its port, in the only notation that the protocol allows.
func parseAddress(family, address, port string) (netip.Addr, error) {
	addr, err := netip.ParseAddr(address)
	fits := family == "TCP4" && addr.Is4() || family == "TCP6" && addr.Is6()
	if err != nil || addr.Zone() != "" || !fits {
		return netip.Addr{}, malformed("family %.20q with address %.40q", family, address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || strconv.FormatUint(number, 10) != port {
		return netip.Addr{}, malformed("invalid port %.10q", port)
	}
	return addr, nil
}

// readV2 reads a header of version 2: a fixed part and a payload that begins with the addresses.
func readV2(r *bufio.Reader) (source netip.Addr, err error) {
	var fixed [fixedSizeV2]byte
	if _, err := io.ReadFull(r, fixed[:]); err != nil {
		return netip.Addr{}, truncated(err)
	}
	payloadSize := int(binary.BigEndian.Uint16(fixed[lengthOffsetV2:]))
	if payloadSize > maxPayloadV2 {
		return netip.Addr{}, malformed("payload of %d bytes, more than %d", payloadSize, maxPayloadV2)
	}
	addressSize, err := addressSizeV2(fixed[commandOffsetV2], fixed[familyOffsetV2])
	if err != nil {
		return netip.Addr{}, err
	}
	if payloadSize < addressSize {
		return netip.Addr{}, malformed("payload of %d bytes, less than the addresses (%d)", payloadSize, addressSize)
	}
	addresses := make([]byte, addressSize)
	if _, err := io.ReadFull(r, addresses); err != nil {
		return netip.Addr{}, truncated(err)
	}
	if _, err := r.Discard(payloadSize - addressSize); err != nil {
		return netip.Addr{}, truncated(err)
	}
	switch addressSize {
	case ipv4AddressesV2:
		return netip.AddrFrom4([4]byte(addresses[:4])), nil
	case ipv6AddressesV2:
		return netip.AddrFrom16([16]byte(addresses[:16])).Unmap(), nil
	}
	return netip.Addr{}, nil
}

// addressSizeV2 returns the size in bytes of the addresses in a payload of version 2; 0: the header has no client address.
func addressSizeV2(command, family byte) (int, error) {
	switch {
	case command != commandLocal && command != commandProxy:
		return 0, malformed("unsupported version and command %#x", command)
	case command == commandLocal || family == familyUnspecified:
		return 0, nil
	case family == familyTCPv4:
		return ipv4AddressesV2, nil
	case family == familyTCPv6:
		return ipv6AddressesV2, nil
	}
	return 0, malformed("unsupported family and protocol %#x", family)
}
