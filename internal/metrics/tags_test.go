package metrics

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A client sends a thousand classes and tenants that are not in the settings. Only a few of these tenants get a separate
// tag, so that neither the node's memory nor the operators' database grows with them. Names in the settings always get
// one, and the sums still include all requests.
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
		t.Errorf("%d requests in total, want 2002", sum)
	}
	for _, want := range []string{"1|c|#class:brix-update,tenant:okanagan-ridge", "1|c|#class:none,tenant:none"} {
		if !slices.Contains(got, "hookwalk.requests:"+want) {
			t.Errorf("no line with %s in %q", want, got)
		}
	}
	if !strings.Contains(strings.Join(got, "\n"), "|c|#class:bin-weighin,tenant:other") {
		t.Errorf("no line with the tenant other in %q", got)
	}
}
