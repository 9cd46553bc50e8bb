package scale

import (
	"flag"
	"testing"
)

// large selects the long forms of the rigs, which print the tables of docs/CAPACITY.md.
var large = flag.Bool("scale.large", false, "run the large forms of the scale rigs and print their tables")

// largeOnly skips a test that only prints tables of docs/CAPACITY.md, unless -scale.large is set. The requirements are
// checked by the small forms, which always run.
func largeOnly(t *testing.T) {
	t.Helper()
	if !*large {
		t.Skip("prints tables: run it with -scale.large -v")
	}
}
