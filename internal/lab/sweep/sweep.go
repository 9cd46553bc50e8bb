// Package sweep plays a grid of experiments in virtual time, keeps their results in a folder, and compares them:
// every value of every setting, every policy, every seed is a cell of its own. A cell that is done is kept, so a
// sweep that was stopped goes on where it was.
package sweep

import (
	"cmp"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
	"hookwalk.example/hookwalk/internal/lab/simulation"
)

// Grid says what is varied.
type Grid struct {
	File     string
	Settings []Setting
	Policies []string // none: the file's
	Seeds    int      // from the file's seed on
}

// Settings is a setting and the values that it takes.
type Setting struct {
	Path   string
	Values []string
}

// ParseSetting reads PATH=VALUE[,VALUE], with as many values as are given.
func ParseSetting(text string) (Setting, error) {
	path, values, ok := strings.Cut(text, "=")
	s := Setting{Path: path, Values: strings.Split(values, ",")}
	if !ok || path == "" || slices.Contains(s.Values, "") {
		return s, fmt.Errorf("--set %s: want PATH=VALUE[,VALUE]", text)
	}
	return s, nil
}

// Cell is one experiment and its results.
type Cell struct {
	Scenario    string             `json:"scenario"`
	Settings    map[string]string  `json:"set"`
	Policy      string             `json:"policy"`
	Seed        uint64             `json:"seed"`
	Metrics     map[string]float64 `json:"figures,omitempty"`
	ValueShares []float64          `json:"worth_by_second,omitempty"`
	Latencies   []float64          `json:"latency_ms_by_second,omitempty"`
	Faults      []FaultInterval    `json:"troubles,omitempty"`
}

// FaultInterval is a trouble's time.
type FaultInterval struct {
	Kind string  `json:"kind"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

// Group names what cells have in common but for the seed.
func (c Cell) Group() string {
	text := c.Policy
	for _, path := range slices.Sorted(maps.Keys(c.Settings)) {
		text += " " + path + "=" + c.Settings[path]
	}
	return text
}

func (c Cell) fileName() string {
	safe := strings.Map(func(r rune) rune {
		if r == '=' || r == '.' || r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, c.Scenario+" "+c.Group())
	return safe + "_seed-" + strconv.FormatUint(c.Seed, 10) + ".json"
}

const maxCells = 100000

// Cells are all experiments of a grid. Every one is read before any is played: a wrong value is told at once.
func (g Grid) Cells() ([]Cell, error) {
	first, err := scenario.Load(g.File)
	if err != nil {
		return nil, err
	}
	names := g.Policies
	if len(names) == 0 {
		names = []string{first.Policy}
	}
	for _, name := range names {
		if !slices.Contains(policies.Names, name) {
			return nil, fmt.Errorf("unknown policy %q", name)
		}
	}
	sets := []map[string]string{{}}
	for _, s := range g.Settings {
		var more []map[string]string
		for _, base := range sets {
			for _, v := range s.Values {
				m := maps.Clone(base)
				m[s.Path] = v
				more = append(more, m)
			}
		}
		sets = more
		if len(sets)*len(names)*g.Seeds > maxCells {
			return nil, fmt.Errorf("over %d experiments", maxCells)
		}
	}
	var cells []Cell
	for _, set := range sets {
		s, err := loadScenario(g.File, set)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			for n := range g.Seeds {
				cells = append(cells, Cell{Scenario: s.Name, Settings: set, Policy: name, Seed: s.Seed + uint64(n)})
			}
		}
	}
	return cells, nil
}

func loadScenario(file string, set map[string]string) (*scenario.Scenario, error) {
	var list []scenario.Override
	for _, path := range slices.Sorted(maps.Keys(set)) {
		list = append(list, scenario.Override{Path: path, Value: set[path]})
	}
	return scenario.Load(file, list...)
}

// Run plays the cells that the folder does not have yet, on all cores, and then writes results.jsonl and
// results.csv from all of them. progress is told of each cell that is done; it may be called from any goroutine.
func Run(ctx context.Context, g Grid, dir string, progress func(done, of int)) ([]Cell, error) {
	cells, err := g.Cells()
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(dir, "cells")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var all sync.WaitGroup
	var mu sync.Mutex
	done := 0
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range next {
				if err := cells[i].loadOrPlay(g.File, folder); err != nil {
					stop(err)
					continue
				}
				mu.Lock()
				done++
				progress(done, len(cells))
				mu.Unlock()
			}
		}()
	}
feed:
	for i := range cells {
		select {
		case next <- i:
		case <-ctx.Done():
			break feed
		}
	}
	close(next)
	all.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	return cells, Write(dir, cells)
}

// loadOrPlay takes a cell's results from the folder, or plays it and keeps them there.
func (c *Cell) loadOrPlay(file, folder string) error {
	path := filepath.Join(folder, c.fileName())
	if text, err := os.ReadFile(path); err == nil {
		var kept Cell
		if json.Unmarshal(text, &kept) == nil && kept.fileName() == c.fileName() && len(kept.Metrics) > 0 {
			*c = kept
			return nil
		}
	}
	s, err := loadScenario(file, c.Settings)
	if err != nil {
		return err
	}
	s.Policy, s.Seed = c.Policy, c.Seed
	w, err := simulation.New(s, policies.New)
	if err != nil {
		return err
	}
	got, auditor, err := w.Run(nil)
	if err != nil {
		return err
	}
	c.Metrics = got.Metrics(auditor.Count())
	c.ValueShares, c.Latencies = got.Timeline()
	for _, t := range s.Faults {
		c.Faults = append(c.Faults, FaultInterval{t.Kind, t.At.Seconds(), (t.At + t.Duration).Seconds()})
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return replaceFile(path, text)
}

// replaceFile writes a file whole or not at all: what a stopped sweep leaves can be trusted.
func replaceFile(path string, text []byte) error {
	half := path + ".part"
	if err := os.WriteFile(half, text, 0o644); err != nil {
		return err
	}
	return os.Rename(half, path)
}

// Write puts all results into one file of JSON lines and one of CSV, in the order of the grid.
func Write(dir string, cells []Cell) error {
	var lines, table strings.Builder
	out := csv.NewWriter(&table)
	figures := MetricNames(cells)
	if err := out.Write(append([]string{"scenario", "group", "seed"}, figures...)); err != nil {
		return err
	}
	for _, c := range cells {
		text, err := json.Marshal(c)
		if err != nil {
			return err
		}
		lines.Write(append(text, '\n'))
		row := []string{c.Scenario, c.Group(), strconv.FormatUint(c.Seed, 10)}
		for _, f := range figures {
			row = append(row, strconv.FormatFloat(c.Metrics[f], 'g', -1, 64))
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return errors.Join(out.Error(), replaceFile(filepath.Join(dir, "results.jsonl"), []byte(lines.String())),
		replaceFile(filepath.Join(dir, "results.csv"), []byte(table.String())))
}

// MetricNames are the figures that cells have, sorted.
func MetricNames(cells []Cell) []string {
	if len(cells) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(cells[0].Metrics))
}

// Read reads the results of a folder.
func Read(dir string) (cells []Cell, err error) {
	path := filepath.Join(dir, "results.jsonl")
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := json.NewDecoder(f)
	for n := 1; ; n++ {
		var c Cell
		switch err := in.Decode(&c); {
		case err == io.EOF && n > 1:
			return cells, nil
		case err == io.EOF:
			return nil, fmt.Errorf("%s: no results", path)
		case err != nil:
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		case len(c.Metrics) == 0 || c.Policy == "":
			return nil, fmt.Errorf("%s:%d: not a result", path, n)
		}
		cells = append(cells, c)
	}
}

// ByGroup sorts cells into groups that differ in the seed alone, in the order in which they first come.
func ByGroup(cells []Cell) (groups [][]Cell) {
	at := map[string]int{}
	for _, c := range cells {
		key := c.Scenario + " " + c.Group()
		i, ok := at[key]
		if !ok {
			i = len(groups)
			at[key] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], c)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b Cell) int { return cmp.Compare(a.Seed, b.Seed) })
	}
	return groups
}
