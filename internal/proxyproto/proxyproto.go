// Package proxyproto reads the headers of the PROXY protocol, versions 1 and 2, by which a proxy names the client whose
// connection it passes on.
//
// The known libraries don't fit: a header may come in pieces here, nothing behind it may be read, and a header that names
// no address is not an error.
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

// What a header begins with. Neither can begin an HTTP request.
const (
	signatureV1 = "PROXY "                 // of version 1, a line of text
	signatureV2 = "\r\n\r\n\x00\r\nQUIT\n" // of version 2, which is binary
)

// Sizes in bytes. They bound what a peer can make the node read before it is known whose connection it is.
const (
	maxLineV1    = 107     // a header of version 1 with its line end, as the protocol has it
	fixedSizeV2  = 16      // a header of version 2 up to its payload
	maxPayloadV2 = 4 << 10 // a payload of version 2: the addresses and whatever a proxy adds

	ipv4AddressesV2 = 2 * (4 + 2)  // source and destination with their ports
	ipv6AddressesV2 = 2 * (16 + 2) // source and destination with their ports
)

// Offsets in the fixed part of a header of version 2.
const (
	commandOffsetV2 = 12 // version and command
	familyOffsetV2  = 13 // address family and protocol
	lengthOffsetV2  = 14 // of the payload, two bytes
)

// Values of the version and command in a header of version 2.
const (
	commandLocal = 0x20 // the proxy's own connection, such as a health check: it names no client
	commandProxy = 0x21 // the connection of a client
)

// Values of the address family and protocol in a header of version 2.
const (
	familyUnspecified = 0x00 // the header names no client
	familyTCPv4       = 0x11 // TCP over IPv4
	familyTCPv6       = 0x21 // TCP over IPv6
)

// fieldsV1 is how many words a header of version 1 with addresses has: PROXY, family, two addresses, two ports.
const fieldsV1 = 6

// ErrMalformed is wrapped by the error for a header that breaks the protocol. The connection can't be used.
var ErrMalformed = errors.New("malformed PROXY header")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// truncated is the error for a header that did not come completely: io.ErrUnexpectedEOF, or that of the connection, such
// as its timeout.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("PROXY header: %w", err)
}

// Starts reports whether what has come begins with a header, or may yet turn out to.
func Starts(head []byte) (isHeader, mayBecomeHeader bool) {
	for _, signature := range []string{signatureV1, signatureV2} {
		n := min(len(head), len(signature))
		if string(head[:n]) == signature[:n] {
			return n == len(signature), n < len(signature)
		}
	}
	return false, false
}

// Read reads one header from the start of r, and not a byte more. r's buffer must have room for
// a signature at least (12 bytes): it is peeked at, and read only once it is known. An invalid source means
// that the header names none: then the address of the connection itself counts. The error wraps ErrMalformed,
// io.ErrUnexpectedEOF or that of the connection.
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
			return netip.Addr{}, malformed("it is none")
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
	if family == "UNKNOWN" { // what follows is to be ignored
		return netip.Addr{}, nil
	}
	if len(fields) != fieldsV1 {
		return netip.Addr{}, malformed("%d words", len(fields))
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

// readLine reads a line without its end, no more than maxLineV1 bytes.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for !bytes.HasSuffix(line, []byte("\n")) {
		if len(line) == maxLineV1 {
			return "", malformed("over %d bytes", maxLineV1)
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

// parseAddress parses an address with its port, in the one form that the protocol allows.
func parseAddress(family, address, port string) (netip.Addr, error) {
	addr, err := netip.ParseAddr(address)
	fits := family == "TCP4" && addr.Is4() || family == "TCP6" && addr.Is6()
	if err != nil || addr.Zone() != "" || !fits {
		return netip.Addr{}, malformed("%.20q with address %.40q", family, address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || strconv.FormatUint(number, 10) != port {
		return netip.Addr{}, malformed("port %.10q", port)
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
		return netip.Addr{}, malformed("%d bytes announced, more than %d", payloadSize, maxPayloadV2)
	}
	addressSize, err := addressSizeV2(fixed[commandOffsetV2], fixed[familyOffsetV2])
	if err != nil {
		return netip.Addr{}, err
	}
	if payloadSize < addressSize {
		return netip.Addr{}, malformed("%d bytes announced, less than %d", payloadSize, addressSize)
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

// addressSizeV2 is the size in bytes of the addresses in a payload of version 2; 0: the header names no client.
func addressSizeV2(command, family byte) (int, error) {
	switch {
	case command != commandLocal && command != commandProxy:
		return 0, malformed("version and command %#x", command)
	case command == commandLocal || family == familyUnspecified:
		return 0, nil
	case family == familyTCPv4:
		return ipv4AddressesV2, nil
	case family == familyTCPv6:
		return ipv6AddressesV2, nil
	}
	return 0, malformed("family and protocol %#x", family)
}
