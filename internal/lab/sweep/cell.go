package sweep

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/lab/simulation"
)

// Cell is one experiment and its results, as stored in results files.
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

// FaultInterval is the time during which a fault was active, in seconds from the start of the run.
type FaultInterval struct {
	Kind string  `json:"kind"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

// Group returns the policy and the settings, which all cells of a group have in common.
func (c Cell) Group() string {
	text := c.Policy
	for _, path := range slices.Sorted(maps.Keys(c.Settings)) {
		text += " " + path + "=" + c.Settings[path]
	}
	return text
}

// groupName returns the group with the name of its scenario.
func (c Cell) groupName() string { return c.Scenario + ": " + c.Group() }

// fileName returns the name of the cell's results file.
func (c Cell) fileName() string {
	safe := strings.Map(func(r rune) rune {
		if r == '=' || r == '.' || r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, c.Scenario+" "+c.Group())
	return safe + "_seed-" + strconv.FormatUint(c.Seed, 10) + ".json"
}

// loadOrRun loads the cell's results from the folder. If there are none, it runs the cell and stores them.
func (c *Cell) loadOrRun(file, folder string) error {
	path := filepath.Join(folder, c.fileName())
	if c.load(path) {
		return nil
	}
	if err := c.run(file); err != nil {
		return err
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return replaceFile(path, text)
}

// load reads the results of this cell from a file. It reports whether the file has them.
func (c *Cell) load(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var stored Cell
	if json.Unmarshal(text, &stored) != nil || stored.fileName() != c.fileName() || len(stored.Metrics) == 0 {
		return false
	}
	*c = stored
	return true
}

// run simulates the cell in virtual time.
func (c *Cell) run(file string) error {
	s, err := loadScenario(file, c.Settings)
	if err != nil {
		return err
	}
	s.Policy, s.Seed = c.Policy, c.Seed
	w, err := simulation.New(s, policies.New)
	if err != nil {
		return err
	}
	score, checked, err := w.Run(nil)
	if err != nil {
		return err
	}
	c.Metrics = score.Metrics(checked.Count())
	c.ValueShares, c.Latencies = score.Timeline()
	for _, f := range s.Faults {
		c.Faults = append(c.Faults, FaultInterval{f.Kind, f.At.Seconds(), (f.At + f.Duration).Seconds()})
	}
	return nil
}

// replaceFile writes a file completely or not at all, so that the results of a stopped sweep can be trusted.
func replaceFile(path string, text []byte) error {
	partial := path + ".part"
	if err := os.WriteFile(partial, text, 0o644); err != nil {
		return err
	}
	return os.Rename(partial, path)
}
