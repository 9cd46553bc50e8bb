package capture

import (
	"testing"
)

// IDs that are not valid UTF-8 are restored unchanged, and different IDs stay different.
func TestEscapeText(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []string{"", "id", "\xff", "\xfe", "\ufffd", "\ufffdff", "a\xffbb", "a\xff\xbb", "\xef\xbf", "é"} {
		p := escapeText(s)
		if unescapeText(p) != s || seen[p] {
			t.Errorf("%q was escaped to %q and restored to %q", s, p, unescapeText(p))
		}
		seen[p] = true
	}
}
