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
	width, height       = 900, 340
	left, right         = 70, 20
	top, bottom         = 15, 35
	nameHeight          = 16
	ticks               = 5
	plotWidth, plotTall = width - left - right, height - top - bottom
)

var colours = []string{"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b", "#e377c2", "#17becf", "#bcbd22", "#7f7f7f", "#111111", "#aa7711"}

type line struct {
	name string
	y    []float64
}

// frame is a plot in the making.
type frame struct {
	unit  string
	lines []line
	most  float64
	long  int
	at    []float64 // where the values of every line stand, where that is not by the second
}

func newFrame(unit string) *frame { return &frame{unit: unit} }

func (f *frame) add(l line) {
	f.lines = append(f.lines, l)
	for _, y := range l.y {
		if y > f.most { // never for what is not there
			f.most = y
		}
	}
	f.long = max(f.long, len(l.y))
}

func (f *frame) y(v float64) int {
	return top + plotTall - int(math.Round(v/f.scale()*plotTall))
}

// scale is the value at the top: the next round one.
func (f *frame) scale() float64 {
	if f.most <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(f.most)))
	for _, k := range []float64{1, 2, 5, 10} {
		if k*unit >= f.most {
			return k * unit
		}
	}
	return 10 * unit
}

// open draws the axes; names stand below.
func (f *frame) open(out *bytes.Buffer) *svg.SVG {
	s := svg.New(out)
	tall := height + nameHeight*len(f.lines)
	s.Startview(width, tall, 0, 0, width, tall)
	s.Gstyle("font:12px sans-serif")
	for i := range ticks + 1 {
		v := f.scale() * float64(i) / ticks
		s.Line(left, f.y(v), width-right, f.y(v), "stroke:#ddd")
		s.Text(left-6, f.y(v)+4, fmt.Sprintf("%.3g", v), "text-anchor:end")
	}
	s.Text(4, top+8, f.unit)
	for i, l := range f.lines {
		y := height + nameHeight*i
		s.Rect(left, y-9, 10, 10, "fill:"+colours[i%len(colours)])
		s.Text(left+16, y, l.name)
	}
	return s
}

// done is the finished plot, without the head that has no place inside a page.
func done(s *svg.SVG, out *bytes.Buffer) template.HTML {
	s.Gend()
	s.End()
	text := out.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]) // svgo escapes what it is given
}

// courses draws lines over seconds, and shades what troubles there were.
func (f *frame) courses(troubles []Mark) template.HTML {
	var out bytes.Buffer
	s := f.open(&out)
	x := func(t float64) int {
		return left + int(math.Round(math.Min(t, float64(f.long-1))/math.Max(1, float64(f.long-1))*plotWidth))
	}
	for i, m := range troubles {
		s.Rect(x(m.From), top, max(2, x(m.To)-x(m.From)), plotTall, "fill:#c85028;fill-opacity:.12")
		s.Text(x(m.From)+3, top+12+13*(i%8), m.Kind, "fill:#963214")
	}
	for i := range ticks + 1 {
		t := float64(f.long-1) * float64(i) / ticks
		s.Text(x(t), height-bottom+16, fmt.Sprintf("%.0f s", t), "text-anchor:middle")
	}
	for i, l := range f.lines {
		xs, ys := make([]int, len(l.y)), make([]int, len(l.y))
		for t, v := range l.y {
			xs[t], ys[t] = x(float64(t)), f.y(v)
		}
		s.Polyline(xs, ys, "fill:none;stroke-width:1.5;stroke:"+colours[i%len(colours)])
	}
	return done(s, &out)
}

// bars draws a bar for each line's first value, with its least and most.
func (f *frame) bars() template.HTML {
	var out bytes.Buffer
	s := f.open(&out)
	step := plotWidth / max(1, len(f.lines))
	for i, l := range f.lines {
		x, wide := left+i*step+step/4, max(2, step/2)
		s.Rect(x, f.y(l.y[0]), wide, max(0, f.y(0)-f.y(l.y[0])), "fill:"+colours[i%len(colours)])
		s.Line(x+wide/2, f.y(l.y[1]), x+wide/2, f.y(l.y[2]), "stroke:#000")
	}
	return done(s, &out)
}

// against draws lines over the values of a setting; what a line has no value for is passed over.
func (f *frame) against(path string) template.HTML {
	var out bytes.Buffer
	s := f.open(&out)
	first, last := f.at[0], f.at[len(f.at)-1]
	x := func(v float64) int { return left + int(math.Round((v-first)/(last-first)*plotWidth)) }
	for _, v := range f.at {
		s.Text(x(v), height-bottom+16, fmt.Sprintf("%g", v), "text-anchor:middle")
	}
	s.Text(width-right, height-bottom+30, path, "text-anchor:end")
	for i, l := range f.lines {
		var xs, ys []int
		for k, v := range l.y {
			if !math.IsNaN(v) {
				xs, ys = append(xs, x(f.at[k])), append(ys, f.y(v))
				s.Circle(x(f.at[k]), f.y(v), 3, "fill:"+colours[i%len(colours)])
			}
		}
		s.Polyline(xs, ys, "fill:none;stroke-width:1.5;stroke:"+colours[i%len(colours)])
	}
	return done(s, &out)
}
