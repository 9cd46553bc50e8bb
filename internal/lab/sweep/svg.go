package sweep

import (
	"bytes"
	"fmt"
	"html/template"
	"math"

	svg "github.com/ajstarks/svgo"
)

// The page's plots are drawn on a plain SVG writer. A plotting library would do more: gonum's was tried, and its
// fonts and their readers, linked into the one program, cost every node 4.8 MB of the 32 that the smallest has.

// Size of a plot and of what is left for axes and names, in pixels.
const (
	width, height         = 900, 340
	left, right           = 70, 20
	top, bottom           = 15, 35
	nameHeight            = 16
	ticks                 = 5
	plotWidth, plotHeight = width - left - right, height - top - bottom
)

var colors = []string{"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b", "#e377c2", "#17becf", "#bcbd22", "#7f7f7f", "#111111", "#aa7711"}

type series struct {
	name   string
	values []float64
}

// chart is a plot in the making.
type chart struct {
	unit      string
	series    []series
	maxValue  float64
	maxLength int
	positions []float64 // where the values of every line stand, where that is not by the second
}

func newChart(unit string) *chart { return &chart{unit: unit} }

func (f *chart) add(l series) {
	f.series = append(f.series, l)
	for _, y := range l.values {
		if y > f.maxValue { // never for what is not there
			f.maxValue = y
		}
	}
	f.maxLength = max(f.maxLength, len(l.values))
}

func (f *chart) yPixel(v float64) int {
	return top + plotHeight - int(math.Round(v/f.scale()*plotHeight))
}

// scale is the value at the top: the next round one.
func (f *chart) scale() float64 {
	if f.maxValue <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(f.maxValue)))
	for _, k := range []float64{1, 2, 5, 10} {
		if k*unit >= f.maxValue {
			return k * unit
		}
	}
	return 10 * unit
}

// begin draws the axes; names stand below.
func (f *chart) begin(out *bytes.Buffer) *svg.SVG {
	s := svg.New(out)
	tall := height + nameHeight*len(f.series)
	s.Startview(width, tall, 0, 0, width, tall)
	s.Gstyle("font:12px sans-serif")
	for i := range ticks + 1 {
		v := f.scale() * float64(i) / ticks
		s.Line(left, f.yPixel(v), width-right, f.yPixel(v), "stroke:#ddd")
		s.Text(left-6, f.yPixel(v)+4, fmt.Sprintf("%.3g", v), "text-anchor:end")
	}
	s.Text(4, top+8, f.unit)
	for i, l := range f.series {
		y := height + nameHeight*i
		s.Rect(left, y-9, 10, 10, "fill:"+colors[i%len(colors)])
		s.Text(left+16, y, l.name)
	}
	return s
}

// finish is the finished plot, without the head that has no place inside a page.
func finish(s *svg.SVG, out *bytes.Buffer) template.HTML {
	s.Gend()
	s.End()
	text := out.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]) // svgo escapes what it is given
}

// timeline draws lines over seconds, and shades what troubles there were.
func (f *chart) timeline(troubles []FaultInterval) template.HTML {
	var out bytes.Buffer
	s := f.begin(&out)
	x := func(t float64) int {
		return left + int(math.Round(math.Min(t, float64(f.maxLength-1))/math.Max(1, float64(f.maxLength-1))*plotWidth))
	}
	for i, m := range troubles {
		s.Rect(x(m.From), top, max(2, x(m.To)-x(m.From)), plotHeight, "fill:#c85028;fill-opacity:.12")
		s.Text(x(m.From)+3, top+12+13*(i%8), m.Kind, "fill:#963214")
	}
	for i := range ticks + 1 {
		t := float64(f.maxLength-1) * float64(i) / ticks
		s.Text(x(t), height-bottom+16, fmt.Sprintf("%.0f s", t), "text-anchor:middle")
	}
	for i, l := range f.series {
		xs, ys := make([]int, len(l.values)), make([]int, len(l.values))
		for t, v := range l.values {
			xs[t], ys[t] = x(float64(t)), f.yPixel(v)
		}
		s.Polyline(xs, ys, "fill:none;stroke-width:1.5;stroke:"+colors[i%len(colors)])
	}
	return finish(s, &out)
}

// barPlot draws a bar for each line's first value, with its least and most.
func (f *chart) bars() template.HTML {
	var out bytes.Buffer
	s := f.begin(&out)
	step := plotWidth / max(1, len(f.series))
	for i, l := range f.series {
		x, wide := left+i*step+step/4, max(2, step/2)
		s.Rect(x, f.yPixel(l.values[0]), wide, max(0, f.yPixel(0)-f.yPixel(l.values[0])), "fill:"+colors[i%len(colors)])
		s.Line(x+wide/2, f.yPixel(l.values[1]), x+wide/2, f.yPixel(l.values[2]), "stroke:#000")
	}
	return finish(s, &out)
}

// overSetting draws lines over the values of a setting; what a line has no value for is passed over.
func (f *chart) overSetting(path string) template.HTML {
	var out bytes.Buffer
	s := f.begin(&out)
	first, last := f.positions[0], f.positions[len(f.positions)-1]
	x := func(v float64) int { return left + int(math.Round((v-first)/(last-first)*plotWidth)) }
	for _, v := range f.positions {
		s.Text(x(v), height-bottom+16, fmt.Sprintf("%g", v), "text-anchor:middle")
	}
	s.Text(width-right, height-bottom+30, path, "text-anchor:end")
	for i, l := range f.series {
		var xs, ys []int
		for k, v := range l.values {
			if !math.IsNaN(v) {
				xs, ys = append(xs, x(f.positions[k])), append(ys, f.yPixel(v))
				s.Circle(x(f.positions[k]), f.yPixel(v), 3, "fill:"+colors[i%len(colors)])
			}
		}
		s.Polyline(xs, ys, "fill:none;stroke-width:1.5;stroke:"+colors[i%len(colors)])
	}
	return finish(s, &out)
}
