package capture

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// escapeText encodes a string so that JSON preserves it. Clients may send IDs that are not valid UTF-8, and JSON encoding
// would map different IDs to the same string. Each byte that is not part of valid UTF-8, and each byte of U+FFFD itself,
// is encoded as U+FFFD and two hexadecimal digits.
func escapeText(s string) string {
	if utf8.ValidString(s) && !strings.ContainsRune(s, utf8.RuneError) {
		return s
	}
	var escaped strings.Builder
	for size := 0; s != ""; s = s[size:] {
		var char rune
		if char, size = utf8.DecodeRuneInString(s); char != utf8.RuneError {
			escaped.WriteString(s[:size])
			continue
		}
		for _, octet := range []byte(s[:size]) {
			fmt.Fprintf(&escaped, "%c%02x", utf8.RuneError, octet)
		}
	}
	return escaped.String()
}

// unescapeText reverses escapeText.
func unescapeText(s string) string {
	const escape = string(utf8.RuneError) // before two hexadecimal digits
	if !strings.Contains(s, escape) {
		return s
	}
	var text strings.Builder
	for i, piece := range strings.Split(s, escape) {
		if i > 0 && len(piece) >= 2 {
			if octet, err := strconv.ParseUint(piece[:2], 16, 8); err == nil {
				text.WriteByte(byte(octet))
				piece = piece[2:]
			}
		}
		text.WriteString(piece)
	}
	return text.String()
}
