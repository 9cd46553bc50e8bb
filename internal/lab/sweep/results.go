package sweep

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Names of the results files in a sweep's folder.
const (
	resultsJSON = "results.jsonl" // one cell a line
	resultsCSV  = "results.csv"   // one cell a row
)

// Write writes all results to a file of JSON lines and to a CSV file, in the order of the grid.
func Write(dir string, cells []Cell) error {
	var lines, table strings.Builder
	out := csv.NewWriter(&table)
	metrics := MetricNames(cells)
	if err := out.Write(append([]string{"scenario", "group", "seed"}, metrics...)); err != nil {
		return err
	}
	for _, c := range cells {
		text, err := json.Marshal(c)
		if err != nil {
			return err
		}
		lines.Write(append(text, '\n'))
		row := []string{c.Scenario, c.Group(), strconv.FormatUint(c.Seed, 10)}
		for _, m := range metrics {
			row = append(row, strconv.FormatFloat(c.Metrics[m], 'g', -1, 64))
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return errors.Join(out.Error(), replaceFile(filepath.Join(dir, resultsJSON), []byte(lines.String())),
		replaceFile(filepath.Join(dir, resultsCSV), []byte(table.String())))
}

// MetricNames returns the sorted names of the cells' metrics.
func MetricNames(cells []Cell) []string {
	if len(cells) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(cells[0].Metrics))
}

// Read reads the results in a folder. An error names the file and the line.
func Read(dir string) (cells []Cell, err error) {
	path := filepath.Join(dir, resultsJSON)
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := json.NewDecoder(f)
	for n := 1; ; n++ {
		var c Cell
		switch err := in.Decode(&c); {
		case errors.Is(err, io.EOF) && n > 1:
			return cells, nil
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("%s: the file holds no results", path)
		case err != nil:
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		case len(c.Metrics) == 0 || c.Policy == "":
			return nil, fmt.Errorf("%s:%d: the line is not a result: it has no policy or no figures", path, n)
		}
		cells = append(cells, c)
	}
}

// ByGroup divides cells into groups whose cells differ only in the seed. Groups are in the order of their first cells,
// and the cells of a group are sorted by seed.
func ByGroup(cells []Cell) (groups [][]Cell) {
	indexes := map[string]int{}
	for _, c := range cells {
		key := c.groupName()
		i, ok := indexes[key]
		if !ok {
			i = len(groups)
			indexes[key] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], c)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b Cell) int { return cmp.Compare(a.Seed, b.Seed) })
	}
	return groups
}
