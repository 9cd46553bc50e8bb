package controller

import "strings"

// maxNameBytes is the maximum length of the name of a service, a node, a region or a zone.
const maxNameBytes = 256

// validName reports whether a text is a valid name: visible ASCII characters, with spaces only between them, as in the
// settings of nodes.
func validName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && text == strings.TrimSpace(text) &&
		!strings.ContainsFunc(text, func(c rune) bool { return c < ' ' || c > '~' })
}

// maxQuotedBytes is how much of a client's text a message quotes, because messages are logged.
const maxQuotedBytes = 40

// truncateQuoted shortens a client's text to maxQuotedBytes, to quote it in a message.
func truncateQuoted(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
