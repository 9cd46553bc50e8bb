package capture

import (
	"testing"
)

// IDs that are not UTF-8 come back from a record as they were, and no two of them become one.
func TestEscapeText(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []string{"", "id", "\xff", "\xfe", "\ufffd", "\ufffdff", "a\xffbb", "a\xff\xbb", "\xef\xbf", "é"} {
		p := escapeText(s)
		if unescapeText(p) != s || seen[p] {
			t.Errorf("%q became %q and %q", s, p, unescapeText(p))
		}
		seen[p] = true
	}
}
