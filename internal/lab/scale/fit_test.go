package scale

import (
	"errors"
	"math"
	"testing"
)

func TestFitLineOnALineHasNoResidual(t *testing.T) {
	fit, err := FitLine([]Point{{10, 25}, {28, 61}, {100, 205}, {300, 605}})
	if err != nil {
		t.Fatal(err)
	}
	const tolerance = 1e-9
	for name, got := range map[string]float64{
		"slope": fit.Slope - 2, "constant": fit.Constant - 5, "RMS": fit.RMSResidual, "max": fit.MaxResidual,
		"at 1,900": fit.At(1900) - 3805,
	} {
		if math.Abs(got) > tolerance {
			t.Errorf("%s is off by %g", name, got)
		}
	}
}

func TestFitLineGivesResiduals(t *testing.T) {
	// The fitted line is 0 x size + 1; each point is at distance 1 from it.
	fit, err := FitLine([]Point{{1, 0}, {1, 2}, {3, 0}, {3, 2}})
	if err != nil {
		t.Fatal(err)
	}
	if want := (Fit{Slope: 0, Constant: 1, RMSResidual: 1, MaxResidual: 1}); fit != want {
		t.Errorf("fit is %+v, want %+v", fit, want)
	}
}

func TestFitLineRejectsOneSize(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}}, {{4, 1}, {4, 2}}} {
		if _, err := FitLine(points); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("%v: error is %v", points, err)
		}
	}
}

func TestFitPrints(t *testing.T) {
	fit := Fit{Slope: 1234.5678, Constant: -0.0123456, RMSResidual: 2, MaxResidual: 3}
	if got, want := fit.String(), "1,235 x size - 0.01235; residual RMS 2, max 3"; got != want {
		t.Errorf("fit prints as %q, want %q", got, want)
	}
}
