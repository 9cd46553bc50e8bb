package sweep

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
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
		svg, err := course(groups, d.unit, d.of)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, drawing{d.title, svg})
	}
	for _, f := range figures {
		svg, err := bars(groups, f)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, drawing{"Side by side: " + f, svg})
	}
	return page.Execute(w, data)
}

const mostLines = 12 // more can't be told apart

// course plots the mean over seeds, second by second, with the troubles of the first group marked.
func course(groups [][]Cell, unit string, of func(Cell) []float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	p.Legend.Top = false
	top := 0.0
	for i, g := range groups[:min(len(groups), mostLines)] {
		line := plotter.XYs{}
		for t := range of(g[0]) {
			sum, n := 0.0, 0
			for _, c := range g {
				if v := of(c); t < len(v) {
					sum += v[t]
					n++
				}
			}
			line = append(line, plotter.XY{X: float64(t), Y: sum / float64(n)})
			top = max(top, sum/float64(n))
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return "", err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(l)
		p.Legend.Add(g[0].Scenario+": "+g[0].Group(), l)
	}
	for _, m := range groups[0][0].Troubles {
		shade, err := plotter.NewPolygon(plotter.XYs{{X: m.From, Y: 0}, {X: m.To, Y: 0}, {X: m.To, Y: top}, {X: m.From, Y: top}})
		if err != nil {
			return "", err
		}
		shade.Color, shade.LineStyle.Width = color.NRGBA{200, 80, 40, 30}, 0
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.From, Y: 0}}, Labels: []string{m.Kind}})
		if err != nil {
			return "", err
		}
		p.Add(shade, name)
	}
	return svg(p)
}

// bars plots a figure's median for each group.
func bars(groups [][]Cell, figure string) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = figure
	var heights plotter.Values
	var names []string
	for _, g := range groups[:min(len(groups), mostLines)] {
		heights = append(heights, Summarize(values(g, figure)).Median)
		names = append(names, g[0].Group())
	}
	b, err := plotter.NewBarChart(heights, vg.Points(18))
	if err != nil {
		return "", err
	}
	b.Color = plotutil.Color(2)
	p.Add(b)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = -0.6
	p.X.Tick.Label.XAlign = draw.XLeft
	return svg(p)
}

func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(22*vg.Centimeter, 10*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // the XML head has no place inside a page
		text = text[i:]
	}
	return template.HTML(text), nil
}
