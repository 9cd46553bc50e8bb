package sweep

import (
	"bytes"
	"fmt"
	"html/template"
	"math"

	svg "github.com/ajstarks/svgo"
)

// The plots are drawn with a plain SVG writer. The lab and the node are one program, and a plotting library would cost
// every node memory: the fonts and font parsers of gonum's library take 4.8 MB of the 32 MB that the smallest node has.

// Sizes in pixels of a plot, its margins and its legend.
const (
	width, height           = 900, 340                          // of the plot, including margins
	leftMargin, rightMargin = 70, 20                            // the left one holds the labels of values
	topMargin, bottomMargin = 15, 35                            // the bottom one holds the labels of seconds or settings
	legendLine              = 16                                // height
	legendBox               = 10                                // side of a color sample
	plotWidth               = width - leftMargin - rightMargin  // excluding margins
	plotHeight              = height - topMargin - bottomMargin // excluding margins
)

const (
	ticks     = 5 // intervals between labels on an axis
	faultRows = 8 // rows for labels of faults; further labels start at the top again
)

// Styles that are used more than once.
const (
	lineStyle   = "fill:none;stroke-width:1.5;stroke:" // of a series; the color is appended
	middleLabel = "text-anchor:middle"                 // centered at its position
	endLabel    = "text-anchor:end"                    // ends at its position
)

// colors are the colors of the series, in order.
var colors = []string{"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b", "#e377c2", "#17becf", "#bcbd22", "#7f7f7f", "#111111", "#aa7711"}

// series is a line or a bar of a chart.
type series struct {
	name   string
	values []float64
}

// chart collects the series of a plot and draws it.
type chart struct {
	unit      string
	series    []series
	maxValue  float64
	maxLength int
	positions []float64 // of the values on the horizontal axis; nil if there is a value per second
}

// newChart returns an empty chart of values with the unit.
func newChart(unit string) *chart { return &chart{unit: unit} }

// add adds a series.
func (c *chart) add(line series) {
	c.series = append(c.series, line)
	for _, y := range line.values {
		if y > c.maxValue { // false for a missing value, which is NaN
			c.maxValue = y
		}
	}
	c.maxLength = max(c.maxLength, len(line.values))
}

// yPixel returns the vertical position of a value.
func (c *chart) yPixel(v float64) int {
	return topMargin + plotHeight - int(math.Round(v/c.scale()*plotHeight))
}

// scale returns the value at the top of the chart: maxValue, rounded up to a round value.
func (c *chart) scale() float64 {
	if c.maxValue <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(c.maxValue)))
	for _, k := range []float64{1, 2, 5, 10} {
		if k*unit >= c.maxValue {
			return k * unit
		}
	}
	return 10 * unit
}

// drawAxes draws the axes and the legend below the plot.
func (c *chart) drawAxes(out *bytes.Buffer) *svg.SVG {
	s := svg.New(out)
	totalHeight := height + legendLine*len(c.series)
	s.Startview(width, totalHeight, 0, 0, width, totalHeight)
	s.Gstyle("font:12px sans-serif")
	for i := range ticks + 1 {
		v := c.scale() * float64(i) / ticks
		s.Line(leftMargin, c.yPixel(v), width-rightMargin, c.yPixel(v), "stroke:#ddd")
		s.Text(leftMargin-6, c.yPixel(v)+4, fmt.Sprintf("%.3g", v), endLabel)
	}
	s.Text(4, topMargin+8, c.unit)
	for i, line := range c.series {
		y := height + legendLine*i
		s.Rect(leftMargin, y-9, legendBox, legendBox, "fill:"+colors[i%len(colors)])
		s.Text(leftMargin+16, y, line.name)
	}
	return s
}

// finish returns the finished plot without its XML header, which is not allowed within a page.
func finish(s *svg.SVG, out *bytes.Buffer) template.HTML {
	s.Gend()
	s.End()
	text := out.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]) // svgo escapes texts
}

// timeline draws the series over time in seconds and shades the intervals of faults.
func (c *chart) timeline(faults []FaultInterval) template.HTML {
	var out bytes.Buffer
	s := c.drawAxes(&out)
	x := func(t float64) int {
		return leftMargin + int(math.Round(math.Min(t, float64(c.maxLength-1))/math.Max(1, float64(c.maxLength-1))*plotWidth))
	}
	for i, m := range faults {
		s.Rect(x(m.From), topMargin, max(2, x(m.To)-x(m.From)), plotHeight, "fill:#c85028;fill-opacity:.12")
		s.Text(x(m.From)+3, topMargin+12+13*(i%faultRows), m.Kind, "fill:#963214")
	}
	for i := range ticks + 1 {
		t := float64(c.maxLength-1) * float64(i) / ticks
		s.Text(x(t), height-bottomMargin+16, fmt.Sprintf("%.0f s", t), middleLabel)
	}
	for i, line := range c.series {
		xs, ys := make([]int, len(line.values)), make([]int, len(line.values))
		for t, v := range line.values {
			xs[t], ys[t] = x(float64(t)), c.yPixel(v)
		}
		s.Polyline(xs, ys, lineStyle+colors[i%len(colors)])
	}
	return finish(s, &out)
}

// bars draws a bar for the first value of each series, with a line from the second value to the third.
func (c *chart) bars() template.HTML {
	var out bytes.Buffer
	s := c.drawAxes(&out)
	step := plotWidth / max(1, len(c.series))
	for i, line := range c.series {
		x, barWidth := leftMargin+i*step+step/4, max(2, step/2)
		s.Rect(x, c.yPixel(line.values[0]), barWidth, max(0, c.yPixel(0)-c.yPixel(line.values[0])), "fill:"+colors[i%len(colors)])
		s.Line(x+barWidth/2, c.yPixel(line.values[1]), x+barWidth/2, c.yPixel(line.values[2]), "stroke:#000")
	}
	return finish(s, &out)
}

// linesOverSetting draws the series over the values of a setting. It skips missing values.
func (c *chart) linesOverSetting(path string) template.HTML {
	var out bytes.Buffer
	s := c.drawAxes(&out)
	first, last := c.positions[0], c.positions[len(c.positions)-1]
	x := func(v float64) int { return leftMargin + int(math.Round((v-first)/(last-first)*plotWidth)) }
	for _, v := range c.positions {
		s.Text(x(v), height-bottomMargin+16, fmt.Sprintf("%g", v), middleLabel)
	}
	s.Text(width-rightMargin, height-bottomMargin+30, path, endLabel)
	for i, line := range c.series {
		var xs, ys []int
		for k, v := range line.values {
			if !math.IsNaN(v) {
				xs, ys = append(xs, x(c.positions[k])), append(ys, c.yPixel(v))
				s.Circle(x(c.positions[k]), c.yPixel(v), 3, "fill:"+colors[i%len(colors)])
			}
		}
		s.Polyline(xs, ys, lineStyle+colors[i%len(colors)])
	}
	return finish(s, &out)
}
