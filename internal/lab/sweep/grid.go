// Package sweep plays a grid of experiments in virtual time, keeps their results in a folder, and compares them. Every
// value of every setting, every policy and every seed is a cell of its own. The results of a cell are kept as soon as it
// has been played, so that a sweep that was stopped goes on where it was.
package sweep

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// maxCells is how many experiments a grid may have: more is a mistake in the settings.
const maxCells = 100000

// Grid says what is varied.
type Grid struct {
	File     string
	Settings []Setting
	Policies []string // none: the file's
	Seeds    int      // from the file's seed on
}

// Setting is a setting and the values that it takes.
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

// Cells are all experiments of a grid. Every scenario is read before any is played, so that a wrong value is an error at
// once.
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
	combinations, err := g.combinations(len(names) * g.Seeds)
	if err != nil {
		return nil, err
	}
	var cells []Cell
	for _, settings := range combinations {
		s, err := loadScenario(g.File, settings)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			for n := range g.Seeds {
				cells = append(cells, Cell{Scenario: s.Name, Settings: settings, Policy: name, Seed: s.Seed + uint64(n)})
			}
		}
	}
	return cells, nil
}

// combinations are all combinations of the settings' values, of which each has so many cells.
func (g Grid) combinations(cellsOfEach int) ([]map[string]string, error) {
	list := []map[string]string{{}}
	for _, s := range g.Settings {
		var extended []map[string]string
		for _, base := range list {
			for _, value := range s.Values {
				settings := maps.Clone(base)
				settings[s.Path] = value
				extended = append(extended, settings)
			}
		}
		list = extended
		if len(list)*cellsOfEach > maxCells {
			return nil, fmt.Errorf("over %d experiments", maxCells)
		}
	}
	return list, nil
}

// loadScenario reads a scenario with some settings changed.
func loadScenario(file string, settings map[string]string) (*scenario.Scenario, error) {
	var overrides []scenario.Override
	for _, path := range slices.Sorted(maps.Keys(settings)) {
		overrides = append(overrides, scenario.Override{Path: path, Value: settings[path]})
	}
	return scenario.Load(file, overrides...)
}
