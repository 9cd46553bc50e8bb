// Package paper reproduces the results of "The Asymptotics of Selecting the Shortest of Two, Improved" (Mitzenmacher
// and Vöcking). It integrates the equations of the fluid limits and runs the simulation with an event queue. Comparing
// the results with the published ones checks the lab's understanding of the design against its source.
package paper

import "math"

// stepper integrates a differential equation with the classical fourth-order Runge-Kutta method.
type stepper struct {
	derivative         func(x, dx []float64)
	k1, k2, k3, k4, at []float64
}

// newStepper returns a stepper for vectors of length n.
func newStepper(n int, f func(x, dx []float64)) *stepper {
	v := make([][]float64, 5)
	for i := range v {
		v[i] = make([]float64, n)
	}
	return &stepper{f, v[0], v[1], v[2], v[3], v[4]}
}

// step advances x by h.
func (s *stepper) step(x []float64, h float64) {
	shift := func(k []float64, by float64) {
		for i := range x {
			s.at[i] = x[i] + by*k[i]
		}
	}
	s.derivative(x, s.k1)
	shift(s.k1, h/2)
	s.derivative(s.at, s.k2)
	shift(s.k2, h/2)
	s.derivative(s.at, s.k3)
	shift(s.k3, h)
	s.derivative(s.at, s.k4)
	for i := range x {
		x[i] += h / 6 * (s.k1[i] + 2*s.k2[i] + 2*s.k3[i] + s.k4[i])
	}
}

// maxLoad is the number of loads that are computed. Shares of higher loads are below the smallest float64.
const maxLoad = 24

// ballSteps is the number of integration steps from 0 to n balls.
const ballSteps = 4096

// Parameters of the integration of queues up to their fixed point.
const (
	queueStep           = 0.1    // units of time; stable, because the fastest rate is about the number of groups
	convergedMovement   = 1e-13  // relative movement per unit of time below which a point counts as fixed
	convergenceInterval = 64     // steps between checks for convergence
	maxQueueSteps       = 200000 // limit in case it does not converge
	negligibleLoad      = 1e-200 // the movement of smaller shares is rounding error
)

// The search range for the best share of the left group, in thousandths. It contains the minimum of all times that the
// paper publishes.
const (
	thousandths     = 1000 // in a share of 1
	minBestShare    = 500  // half: the groups are equal
	maxBestShare    = 650  // greater than all published best shares
	exhaustiveRange = 2    // up to this width of the range, each share is tried
)

// BallsRandom returns, for each i, the share of bins with at least i balls after n balls have been placed into n bins.
// Each ball is placed into the least loaded of d random bins.
func BallsRandom(d int) []float64 {
	w := make([]float64, maxLoad)
	w[0] = 1
	s := newStepper(maxLoad, func(x, dx []float64) {
		dx[0] = 0
		for i := 1; i < maxLoad; i++ {
			dx[i] = math.Pow(x[i-1], float64(d)) - math.Pow(x[i], float64(d))
		}
	})
	for range ballSteps {
		s.step(w, 1.0/ballSteps)
	}
	return w
}

// BallsLeft returns the same shares if each ball chooses between a random bin of each of two groups, with ties going
// left. alpha is the share of the bins in the left group. This is equation 5 of the paper.
func BallsLeft(alpha float64) []float64 {
	x := make([]float64, 2*maxLoad)
	x[0], x[1] = alpha, 1-alpha
	s := newStepper(len(x), func(x, dx []float64) {
		dx[0], dx[1] = 0, 0
		for i := 2; i < len(x); i++ {
			dx[i] = (x[i-2] - x[i]) * x[i-1] / (alpha * (1 - alpha))
		}
	})
	for range ballSteps {
		s.step(x, 1.0/ballSteps)
	}
	return sumGroups(x, 2)
}

// sumGroups returns the sum of the shares of all d groups for each load.
func sumGroups(x []float64, d int) []float64 {
	u := make([]float64, len(x)/d)
	for i, v := range x {
		u[i/d] += v
	}
	return u
}

// QueuesRandom returns the fixed point of the queues if each customer joins the shortest of d random queues: for each
// i, the share of servers with at least i customers. lambda is the arrival rate per server.
func QueuesRandom(d int, lambda float64) []float64 {
	w := make([]float64, maxLoad)
	for i := range w {
		w[i] = math.Pow(lambda, (math.Pow(float64(d), float64(i))-1)/float64(d-1))
	}
	return w
}

// QueuesLeft returns the fixed point with groups of the given shares, with ties going left. It integrates equations 10
// and 14 of the paper until they converge.
func QueuesLeft(lambda float64, shares ...float64) []float64 {
	d := len(shares)
	x := make([]float64, d*maxLoad)
	copy(x, shares)
	derivative := queueDerivative(lambda, shares)
	s := newStepper(len(x), derivative)
	dx := make([]float64, len(x))
	for n := range maxQueueSteps {
		s.step(x, queueStep)
		if n%convergenceInterval > 0 {
			continue
		}
		derivative(x, dx)
		if movement(x[d:], dx[d:]) < convergedMovement {
			break
		}
	}
	return sumGroups(x, d)
}

// queueDerivative returns the derivative of the shares of queues. The shares are ordered by load, then by group.
func queueDerivative(lambda float64, shares []float64) func(x, dx []float64) {
	d := len(shares)
	rate := lambda
	for _, a := range shares {
		rate /= a
	}
	return func(x, dx []float64) {
		for i := range d {
			dx[i] = 0
		}
		for i := d; i < len(x); i++ {
			in := rate * (x[i-d] - x[i])
			for j := i - d + 1; j < i; j++ {
				in *= x[j]
			}
			above := 0.0
			if i+d < len(x) {
				above = x[i+d]
			}
			dx[i] = in - (x[i] - above)
		}
	}
}

// movement returns the largest relative movement of the shares that are not negligible.
func movement(x, dx []float64) float64 {
	largest := 0.0
	for i := range x {
		if x[i] > negligibleLoad {
			largest = math.Max(largest, math.Abs(dx[i])/x[i])
		}
	}
	return largest
}

// ExpectedTime returns the expected time in the system at a fixed point, by Little's law.
func ExpectedTime(u []float64, lambda float64) float64 {
	sum := 0.0
	for _, v := range u[1:] {
		sum += v
	}
	return sum / lambda
}

// BestLeftShare returns the share of the left group with the minimum expected time, in steps of a thousandth, and that
// time. It uses ternary search, because the time first falls and then rises with the share.
func BestLeftShare(lambda float64) (share, least float64) {
	times := map[int]float64{}
	timeAt := func(k int) float64 {
		if _, ok := times[k]; !ok {
			left := float64(k) / thousandths
			times[k] = ExpectedTime(QueuesLeft(lambda, left, 1-left), lambda)
		}
		return times[k]
	}
	low, high := minBestShare, maxBestShare
	for high-low > exhaustiveRange {
		first, second := low+(high-low)/3, high-(high-low)/3
		if timeAt(first) < timeAt(second) {
			high = second
		} else {
			low = first
		}
	}
	best := low
	for k := low; k <= high; k++ {
		if timeAt(k) < timeAt(best) {
			best = k
		}
	}
	return float64(best) / thousandths, timeAt(best)
}
