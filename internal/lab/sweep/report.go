package sweep

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
)

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Lab report</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
<h1>{{.Title}}</h1>
<p>Medians over seeds, from the least to the most in brackets. Shaded: troubles.</p>
<table><tr><th>experiment</th><th>seeds</th>{{range .Figures}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Seeds}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}</html>
`))

type plot struct {
	Title string
	SVG   template.HTML
}

type tableRow struct {
	Name  string
	Seeds int
	Cells []string
}

// Report writes one page that needs nothing else: tables, worth and latency over time, policies side by side.
func Report(w io.Writer, cells []Cell, figures []string) error {
	groups := ByGroup(cells)
	data := struct {
		Title   string
		Figures []string
		Rows    []tableRow
		Plots   []plot
	}{Title: "Lab report", Figures: figures}
	for _, g := range groups {
		r := tableRow{Name: g[0].Scenario + ": " + g[0].Group(), Seeds: len(g)}
		for _, f := range figures {
			s := Summarize(metricValues(g, f))
			r.Cells = append(r.Cells, fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Min, s.Max))
		}
		data.Rows = append(data.Rows, r)
	}
	for _, d := range []struct {
		title, unit string
		of          func(Cell) []float64
	}{{"Worth served over time", "share", func(c Cell) []float64 { return c.ValueShares }},
		{"Mean latency over time", "ms", func(c Cell) []float64 { return c.Latencies }}} {
		data.Plots = append(data.Plots, plot{d.title, timelinePlot(groups, d.unit, d.of)})
	}
	for _, f := range figures {
		data.Plots = append(data.Plots, plot{"Side by side: " + f, barPlot(groups, f)})
	}
	for _, f := range figures {
		data.Plots = append(data.Plots, settingPlots(groups, f)...)
	}
	return pageTemplate.Execute(w, data)
}

const maxSeries = 12 // more can't be told apart

// timelinePlot plots the mean over seeds, second by second, with the troubles of the first group marked.
func timelinePlot(groups [][]Cell, unit string, of func(Cell) []float64) template.HTML {
	f := newChart(unit)
	for _, g := range groups[:min(len(groups), maxSeries)] {
		l := series{name: g[0].Scenario + ": " + g[0].Group()}
		for t := range of(g[0]) {
			sum, n := 0.0, 0
			for _, c := range g {
				if v := of(c); t < len(v) {
					sum += v[t]
					n++
				}
			}
			l.values = append(l.values, sum/float64(n))
		}
		f.add(l)
	}
	return f.timeline(groups[0][0].Faults)
}

// barPlot plots a figure's median for each group, and the least and the most as a line across it.
func barPlot(groups [][]Cell, figure string) template.HTML {
	f := newChart(figure)
	for _, g := range groups[:min(len(groups), maxSeries)] {
		s := Summarize(metricValues(g, figure))
		f.add(series{g[0].Scenario + ": " + g[0].Group(), []float64{s.Median, s.Min, s.Max}})
	}
	return f.bars()
}

// settingPlots plots a figure against each setting that was varied and is a number: worth and cost against the rate, or
// overSetting the count of boxes. Groups that differ in that setting alone are one line.
func settingPlots(groups [][]Cell, figure string) (plots []plot) {
	varied := map[string]map[float64]bool{}
	for _, g := range groups {
		for path, text := range g[0].Settings {
			v, err := strconv.ParseFloat(text, 64)
			if err != nil {
				continue
			}
			if varied[path] == nil {
				varied[path] = map[float64]bool{}
			}
			varied[path][v] = true
		}
	}
	for _, path := range slices.Sorted(maps.Keys(varied)) {
		at := slices.Sorted(maps.Keys(varied[path]))
		if len(at) < 2 {
			continue
		}
		f := newChart(figure)
		f.positions = at
		lines := map[string]int{}
		for _, g := range groups {
			v, err := strconv.ParseFloat(g[0].Settings[path], 64)
			if err != nil {
				continue
			}
			rest := g[0]
			rest.Settings = maps.Clone(rest.Settings)
			delete(rest.Settings, path)
			name := rest.Scenario + ": " + rest.Group()
			i, ok := lines[name]
			if !ok {
				if len(f.series) == maxSeries {
					continue
				}
				i = len(f.series)
				lines[name] = i
				f.add(series{name: name, values: slices.Repeat([]float64{math.NaN()}, len(at))})
			}
			median := Summarize(metricValues(g, figure)).Median
			f.series[i].values[slices.Index(at, v)] = median
			f.maxValue = math.Max(f.maxValue, median)
		}
		plots = append(plots, plot{figure + " against " + path, f.overSetting(path)})
	}
	return plots
}
