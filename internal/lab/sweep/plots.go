package sweep

import (
	"html/template"
	"maps"
	"math"
	"slices"
	"strconv"
)

// timelinePlot plots each group's mean over the seeds, second by second, and marks the faults of the first group.
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

// meanAt returns the mean of the values at a second, over the cells that have a value for it.
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

// barPlot plots a metric's median as a bar for each group, with a line from the minimum to the maximum.
func barPlot(groups [][]Cell, metric string) template.HTML {
	c := newChart(metric)
	for _, g := range groups[:min(len(groups), maxSeries)] {
		s := Summarize(metricValues(g, metric))
		c.add(series{g[0].groupName(), []float64{s.Median, s.Min, s.Max}})
	}
	return c.bars()
}

// settingPlots plots a metric against each numeric setting with more than one value, such as the rate or the number of
// servers. Groups that differ only in that setting form one line.
func settingPlots(groups [][]Cell, metric string) (plots []plot) {
	varied := variedNumbers(groups)
	for _, path := range slices.Sorted(maps.Keys(varied)) {
		if positions := slices.Sorted(maps.Keys(varied[path])); len(positions) > 1 {
			plots = append(plots, plot{metric + " against " + path, settingPlot(groups, metric, path, positions)})
		}
	}
	return plots
}

// variedNumbers returns the numeric values of each setting.
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
	return c.linesOverSetting(path)
}

// without returns the cell without a setting, for the name of the line that it belongs to.
func (c Cell) without(path string) Cell {
	c.Settings = maps.Clone(c.Settings)
	delete(c.Settings, path)
	return c
}
