package scale

import (
	"math"
	"strings"
	"testing"
)

func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 1: "1", 0.5: "0.5", 12.3456: "12.35", 999.96: "1,000", 1234567: "1,234,567", -1234.5: "-1,234", 0.00012346: "0.0001235",
		math.Inf(1): "+Inf",
	} {
		if got := FormatNumber(v); got != want {
			t.Errorf("%v is printed as %q, want %q", v, got, want)
		}
	}
}

func TestTablePrintsMarkdown(t *testing.T) {
	table := Table{Title: "bytes by list size", Header: []string{"servers", "bytes", "note"}}
	table.Add(10, 1234.5, "first")
	table.Add(1900, int64(2500000), "last")
	var out strings.Builder
	table.Print(&out)
	want := `bytes by list size

| servers | bytes | note |
| --- | --- | --- |
| 10 | 1,234 | first |
| 1,900 | 2,500,000 | last |

`
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestOriginNamesTheCommit(t *testing.T) {
	if got := Origin(); !strings.HasPrefix(got, "commit ") {
		t.Errorf("origin is %q", got)
	}
}
