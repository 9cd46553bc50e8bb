package scale

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// minFitSizes is the minimum number of distinct sizes that determine a line.
const minFitSizes = 2

// Point is one measurement: the size of the system, or a rate, and the value measured at it.
type Point struct {
	Size  float64
	Value float64
}

// Fit is the least-squares line through measured points: value = Slope x size + Constant.
type Fit struct {
	Slope       float64
	Constant    float64
	RMSResidual float64 // root mean square distance of the points from the line, in units of the value
	MaxResidual float64 // largest distance of a point from the line, in units of the value
}

// ErrTooFewSizes is returned if the points have too few distinct sizes to determine a line.
var ErrTooFewSizes = errors.New("scale: fitting a line needs points of at least two different sizes; measure more sizes")

// FitLine fits a line to points by least squares. All points have the same weight.
func FitLine(points []Point) (Fit, error) {
	sizes, values := splitPoints(points)
	if countDistinct(sizes) < minFitSizes {
		return Fit{}, ErrTooFewSizes
	}
	constant, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := Fit{Slope: slope, Constant: constant}
	fit.RMSResidual, fit.MaxResidual = fit.residuals(points)
	return fit, nil
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Slope*size + f.Constant }

// String formats the line's equation and its residuals as one line of text.
func (f Fit) String() string {
	return fmt.Sprintf("%s x size %s; residual RMS %s, max %s",
		FormatNumber(f.Slope), signed(f.Constant), FormatNumber(f.RMSResidual), FormatNumber(f.MaxResidual))
}

// residuals returns the RMS distance and the largest distance of the points from the line.
func (f Fit) residuals(points []Point) (rms, largest float64) {
	var squares float64
	for _, p := range points {
		distance := math.Abs(p.Value - f.At(p.Size))
		squares += distance * distance
		largest = max(largest, distance)
	}
	return math.Sqrt(squares / float64(len(points))), largest
}

// splitPoints returns the sizes and the values of points.
func splitPoints(points []Point) (sizes, values []float64) {
	for _, p := range points {
		sizes = append(sizes, p.Size)
		values = append(values, p.Value)
	}
	return sizes, values
}

// countDistinct counts the countDistinct sizes.
func countDistinct(sizes []float64) int {
	seen := map[float64]bool{}
	for _, size := range sizes {
		seen[size] = true
	}
	return len(seen)
}

// signed formats a summand with its sign.
func signed(v float64) string {
	if v < 0 {
		return "- " + FormatNumber(-v)
	}
	return "+ " + FormatNumber(v)
}
