package metrics

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A client sends a thousand classes and tenants that the settings don't have. Only a few tenants are told apart, so that neither
// the node's memory nor the operators' database grows with them; those of the settings always are, and nothing is lost from the
// sums.
func TestClientTagsAreBounded(t *testing.T) {
	r, out := newReporter(nil)
	for i := range 1000 {
		r.Count(r.Tags("bin-weighin", fmt.Sprint("t", i)), Requests)
		r.Count(r.Tags(fmt.Sprint("c", i), strings.Repeat("x", 1+i)), Requests)
	}
	r.Count(r.Tags("brix-update", "okanagan-ridge"), Requests)
	r.Count(r.Tags("", ""), Requests)
	r.flush()
	got := out.lines()
	if len(r.series) > (maxUnlistedTenants+3)*4 || len(got) > len(r.series) {
		t.Errorf("%d pairs of tags, %d lines", len(r.series), len(got))
	}
	sum := 0
	for _, line := range got {
		n, err := strconv.Atoi(strings.TrimPrefix(strings.Split(line, "|")[0], "hookwalk.requests:"))
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	if sum != 2002 {
		t.Errorf("%d requests in all, want 2002", sum)
	}
	for _, want := range []string{"1|c|#class:brix-update,tenant:okanagan-ridge", "1|c|#class:none,tenant:none"} {
		if !slices.Contains(got, "hookwalk.requests:"+want) {
			t.Errorf("no %s in %q", want, got)
		}
	}
	if !strings.Contains(strings.Join(got, "\n"), "|c|#class:bin-weighin,tenant:other") {
		t.Errorf("no tenant other in %q", got)
	}
}
