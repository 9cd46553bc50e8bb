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

var page = template.Must(template.New("report").Parse(`<!doctype html>
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

type drawing struct {
	Title string
	SVG   template.HTML
}

type row struct {
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
		Rows    []row
		Plots   []drawing
	}{Title: "Lab report", Figures: figures}
	for _, g := range groups {
		r := row{Name: g[0].Scenario + ": " + g[0].Group(), Seeds: len(g)}
		for _, f := range figures {
			s := Summarize(values(g, f))
			r.Cells = append(r.Cells, fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Least, s.Most))
		}
		data.Rows = append(data.Rows, r)
	}
	for _, d := range []struct {
		title, unit string
		of          func(Cell) []float64
	}{{"Worth served over time", "share", func(c Cell) []float64 { return c.Worth }},
		{"Mean latency over time", "ms", func(c Cell) []float64 { return c.Latency }}} {
		data.Plots = append(data.Plots, drawing{d.title, course(groups, d.unit, d.of)})
	}
	for _, f := range figures {
		data.Plots = append(data.Plots, drawing{"Side by side: " + f, bars(groups, f)})
	}
	for _, f := range figures {
		data.Plots = append(data.Plots, sizes(groups, f)...)
	}
	return page.Execute(w, data)
}

const mostLines = 12 // more can't be told apart

// course plots the mean over seeds, second by second, with the troubles of the first group marked.
func course(groups [][]Cell, unit string, of func(Cell) []float64) template.HTML {
	f := newFrame(unit)
	for _, g := range groups[:min(len(groups), mostLines)] {
		l := line{name: g[0].Scenario + ": " + g[0].Group()}
		for t := range of(g[0]) {
			sum, n := 0.0, 0
			for _, c := range g {
				if v := of(c); t < len(v) {
					sum += v[t]
					n++
				}
			}
			l.y = append(l.y, sum/float64(n))
		}
		f.add(l)
	}
	return f.courses(groups[0][0].Troubles)
}

// bars plots a figure's median for each group, and the least and the most as a line across it.
func bars(groups [][]Cell, figure string) template.HTML {
	f := newFrame(figure)
	for _, g := range groups[:min(len(groups), mostLines)] {
		s := Summarize(values(g, figure))
		f.add(line{g[0].Scenario + ": " + g[0].Group(), []float64{s.Median, s.Least, s.Most}})
	}
	return f.bars()
}

// sizes plots a figure against each setting that was varied and is a number: worth and cost against the rate, or
// against the count of boxes. Groups that differ in that setting alone are one line.
func sizes(groups [][]Cell, figure string) (plots []drawing) {
	varied := map[string]map[float64]bool{}
	for _, g := range groups {
		for path, text := range g[0].Set {
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
		f := newFrame(figure)
		f.at = at
		lines := map[string]int{}
		for _, g := range groups {
			v, err := strconv.ParseFloat(g[0].Set[path], 64)
			if err != nil {
				continue
			}
			rest := g[0]
			rest.Set = maps.Clone(rest.Set)
			delete(rest.Set, path)
			name := rest.Scenario + ": " + rest.Group()
			i, ok := lines[name]
			if !ok {
				if len(f.lines) == mostLines {
					continue
				}
				i = len(f.lines)
				lines[name] = i
				f.add(line{name: name, y: slices.Repeat([]float64{math.NaN()}, len(at))})
			}
			median := Summarize(values(g, figure)).Median
			f.lines[i].y[slices.Index(at, v)] = median
			f.most = math.Max(f.most, median)
		}
		plots = append(plots, drawing{figure + " against " + path, f.against(path)})
	}
	return plots
}
