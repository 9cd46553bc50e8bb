package sweep

import (
	"fmt"
	"html/template"
	"io"
)

// maxSeries is the maximum number of series in a plot. More can't be distinguished.
const maxSeries = 12

// pageTemplate is the template of the report. The page loads no other files.
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Lab report</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
<h1>{{.Title}}</h1>
<p>Medians over seeds, with minimum and maximum in parentheses. Faults are shaded.</p>
<table><tr><th>experiment</th><th>seeds</th>{{range .Metrics}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Seeds}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}</html>
`))

// page is the data of pageTemplate.
type page struct {
	Title   string
	Metrics []string
	Rows    []tableRow
	Plots   []plot
}

// tableRow is the row of a group in the report's table.
type tableRow struct {
	Name  string
	Seeds int
	Cells []string
}

// plot is a finished plot with its title.
type plot struct {
	Title string
	SVG   template.HTML
}

// Report writes a self-contained HTML page with a table of the metrics, value and latency over time, and comparisons of
// the groups.
func Report(w io.Writer, cells []Cell, metrics []string) error {
	groups := ByGroup(cells)
	data := page{Title: "Lab report", Metrics: metrics}
	for _, g := range groups {
		data.Rows = append(data.Rows, newTableRow(g, metrics))
	}
	data.Plots = append(data.Plots,
		plot{"Value share over time", timelinePlot(groups, "share", func(c Cell) []float64 { return c.ValueShares })},
		plot{"Mean latency over time", timelinePlot(groups, "ms", func(c Cell) []float64 { return c.Latencies })})
	for _, m := range metrics {
		data.Plots = append(data.Plots, plot{"Comparison of groups: " + m, barPlot(groups, m)})
	}
	for _, m := range metrics {
		data.Plots = append(data.Plots, settingPlots(groups, m)...)
	}
	return pageTemplate.Execute(w, data)
}

func newTableRow(group []Cell, metrics []string) tableRow {
	r := tableRow{Name: group[0].groupName(), Seeds: len(group)}
	for _, m := range metrics {
		s := Summarize(metricValues(group, m))
		r.Cells = append(r.Cells, fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Min, s.Max))
	}
	return r
}
