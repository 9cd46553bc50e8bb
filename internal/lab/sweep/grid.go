// Package sweep runs a grid of experiments in virtual time, stores their results in a folder and compares them. Each
// combination of values of the settings, policy and seed is a cell. The results of a cell are stored as soon as it has
// run, so that a stopped sweep can resume.
package sweep

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// maxCells is the maximum number of experiments in a grid. A larger number is a mistake in the settings.
const maxCells = 100000

// Grid defines the scenario of a sweep and what is varied.
type Grid struct {
	File     string
	Settings []Setting
	Policies []string // if empty, the scenario file's policy
	Seeds    int      // number of consecutive seeds, starting with the file's
}

// Setting is a setting that is varied, and its values.
type Setting struct {
	Path   string
	Values []string
}

// ParseSetting parses PATH=VALUE[,VALUE], with any number of values.
func ParseSetting(text string) (Setting, error) {
	path, values, ok := strings.Cut(text, "=")
	s := Setting{Path: path, Values: strings.Split(values, ",")}
	if !ok || path == "" || slices.Contains(s.Values, "") {
		return s, fmt.Errorf("--set %s: want PATH=VALUE[,VALUE]", text)
	}
	return s, nil
}

// Cells returns all experiments of a grid. It reads every scenario before any of them runs, so that an invalid value is
// reported at once.
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

// combinations returns all combinations of the settings' values. Each combination has cellsOfEach cells.
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
			return nil, fmt.Errorf("more than %d experiments", maxCells)
		}
	}
	return list, nil
}

// loadScenario reads a scenario file and overrides the settings.
func loadScenario(file string, settings map[string]string) (*scenario.Scenario, error) {
	var overrides []scenario.Override
	for _, path := range slices.Sorted(maps.Keys(settings)) {
		overrides = append(overrides, scenario.Override{Path: path, Value: settings[path]})
	}
	return scenario.Load(file, overrides...)
}
