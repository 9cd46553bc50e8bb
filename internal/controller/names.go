package controller

import "strings"

// maxNameBytes is the length of the name of a service, a node, a region or a zone.
const maxNameBytes = 256

// validName reports whether a text can be a name: visible ASCII characters, and spaces between them, as in nodes'
// settings.
func validName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && text == strings.TrimSpace(text) &&
		!strings.ContainsFunc(text, func(c rune) bool { return c < ' ' || c > '~' })
}

// maxQuotedBytes is how much of a client's text a message quotes: it goes into logs.
const maxQuotedBytes = 40

// truncateQuoted shortens a client's text for a message.
func truncateQuoted(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
