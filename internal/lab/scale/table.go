package scale

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// significantDigits is how many digits of a measurement are printed.
const significantDigits = 4

// Table is a table of measurements. It is printed as Markdown, so that it can be copied into a page unchanged.
type Table struct {
	Title  string
	Header []string
	rows   [][]string
}

// Add appends a row. Floating-point numbers are formatted by FormatNumber, integers with grouped thousands, and all other
// values by fmt.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = formatCell(cell)
	}
	t.rows = append(t.rows, row)
}

// Print writes the table to w.
func (t *Table) Print(w io.Writer) {
	fmt.Fprintf(w, "%s\n\n", t.Title)
	printRow(w, t.Header)
	rule := make([]string, len(t.Header))
	for i := range rule {
		rule[i] = "---"
	}
	printRow(w, rule)
	for _, row := range t.rows {
		printRow(w, row)
	}
	fmt.Fprintln(w)
}

// printRow prints one line of a table.
func printRow(w io.Writer, cells []string) {
	fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
}

// formatCell returns the printed form of a cell.
func formatCell(cell any) string {
	switch v := cell.(type) {
	case float64:
		return FormatNumber(v)
	case int:
		return groupThousands(strconv.Itoa(v))
	case int64:
		return groupThousands(strconv.FormatInt(v, 10))
	default:
		return fmt.Sprint(v)
	}
}

// FormatNumber formats a number with four significant digits, thousands grouped by commas.
func FormatNumber(v float64) string {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	decimals := max(0, significantDigits-1-int(math.Floor(math.Log10(math.Abs(v)))))
	s := strconv.FormatFloat(v, 'f', decimals, 64)
	whole, fraction, _ := strings.Cut(s, ".")
	fraction = strings.TrimRight(fraction, "0")
	if fraction == "" {
		return groupThousands(whole)
	}
	return groupThousands(whole) + "." + fraction
}

// groupThousands separates the thousands of a decimal integer by commas.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// Origin describes where measurements come from: the commit, whether the working copy differs from it, the machine, the
// time, and the load average of the last minute, which shows whether the machine was busy with other work.
func Origin() string {
	return fmt.Sprintf("commit %s, %d cores, %s, %s/%s, %s, load average %s",
		commit(), runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH, time.Now().UTC().Format(time.RFC3339), loadAverage())
}

// loadAverage returns the kernel's load average of the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	minute, _, _ := strings.Cut(string(text), " ")
	return minute
}

// commit returns the commit of the working copy, with the suffix "-dirty" if files differ from it.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
