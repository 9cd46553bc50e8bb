package scale

import (
	"flag"
	"testing"
)

// large selects the long forms of the rigs, which print the tables of docs/CAPACITY.md.
var large = flag.Bool("scale.large", false, "run the large forms of the scale rigs and print their tables")

// largeOnly ends a test that is a program for the tables of docs/CAPACITY.md, unless -scale.large asks for it. What must
// hold is checked by the small forms, which always run.
func largeOnly(t *testing.T) {
	t.Helper()
	if !*large {
		t.Skip("prints tables: run it with -scale.large -v")
	}
}
