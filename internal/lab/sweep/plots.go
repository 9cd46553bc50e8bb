package sweep

import (
	"html/template"
	"maps"
	"math"
	"slices"
	"strconv"
)

// timelinePlot plots the mean over seeds, second by second, with the faults of the first group marked.
func timelinePlot(groups [][]Cell, unit string, valuesOf func(Cell) []float64) template.HTML {
	c := newChart(unit)
	for _, g := range groups[:min(len(groups), maxSeries)] {
		line := series{name: g[0].groupName()}
		for second := range valuesOf(g[0]) {
			line.values = append(line.values, meanAt(second, g, valuesOf))
		}
		c.add(line)
	}
	return c.timeline(groups[0][0].Faults)
}

// meanAt is the mean of a second over the cells that have it.
func meanAt(second int, group []Cell, valuesOf func(Cell) []float64) float64 {
	sum, n := 0.0, 0
	for _, cell := range group {
		if v := valuesOf(cell); second < len(v) {
			sum += v[second]
			n++
		}
	}
	return sum / float64(n)
}

// barPlot plots a metric's median for each group, and the range from the least to the most as a line across it.
func barPlot(groups [][]Cell, metric string) template.HTML {
	c := newChart(metric)
	for _, g := range groups[:min(len(groups), maxSeries)] {
		s := Summarize(metricValues(g, metric))
		c.add(series{g[0].groupName(), []float64{s.Median, s.Min, s.Max}})
	}
	return c.bars()
}

// settingPlots plots a metric against each setting that was varied and is a number: value and cost against the rate, or
// against the number of servers. Groups that differ only in that setting are one line.
func settingPlots(groups [][]Cell, metric string) (plots []plot) {
	varied := variedNumbers(groups)
	for _, path := range slices.Sorted(maps.Keys(varied)) {
		if positions := slices.Sorted(maps.Keys(varied[path])); len(positions) > 1 {
			plots = append(plots, plot{metric + " against " + path, settingPlot(groups, metric, path, positions)})
		}
	}
	return plots
}

// variedNumbers are the values of all settings that are numbers.
func variedNumbers(groups [][]Cell) map[string]map[float64]bool {
	varied := map[string]map[float64]bool{}
	for _, g := range groups {
		for path, text := range g[0].Settings {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				continue
			}
			if varied[path] == nil {
				varied[path] = map[float64]bool{}
			}
			varied[path][value] = true
		}
	}
	return varied
}

// settingPlot plots the medians of a metric over the values of one setting.
func settingPlot(groups [][]Cell, metric, path string, positions []float64) template.HTML {
	c := newChart(metric)
	c.positions = positions
	lines := map[string]int{}
	for _, g := range groups {
		value, err := strconv.ParseFloat(g[0].Settings[path], 64)
		if err != nil {
			continue
		}
		name := g[0].without(path).groupName()
		i, ok := lines[name]
		if !ok {
			if len(c.series) == maxSeries {
				continue
			}
			i = len(c.series)
			lines[name] = i
			c.add(series{name: name, values: slices.Repeat([]float64{math.NaN()}, len(positions))})
		}
		median := Summarize(metricValues(g, metric)).Median
		c.series[i].values[slices.Index(positions, value)] = median
		c.maxValue = math.Max(c.maxValue, median)
	}
	return c.overSetting(path)
}

// without is the cell as it would be named if a setting were not varied.
func (c Cell) without(path string) Cell {
	c.Settings = maps.Clone(c.Settings)
	delete(c.Settings, path)
	return c
}
