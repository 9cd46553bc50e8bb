// Package paper computes what "The Asymptotics of Selecting the Shortest of Two, Improved" (Mitzenmacher and Vöcking)
// publishes: its fluid limits by integrating the equations, and its simulation by an event queue. The results are compared
// with the published ones, so that the lab's understanding of the design can be checked against its source.
package paper

import "math"

// stepper integrates a derivative by the classical Runge-Kutta method of fourth order.
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

// maxLoad is the number of loads that are followed: beyond, all shares are under the least number that there is.
const maxLoad = 24

// ballSteps is the number of integration steps from no ball to n balls.
const ballSteps = 4096

// The integration of queues up to their fixed point.
const (
	queueStep           = 0.1    // of time; the fastest rate is about the number of groups, so this is stable
	convergedMovement   = 1e-13  // relative movement a unit of time at which a point counts as fixed
	convergenceInterval = 64     // steps between two looks at the movement
	maxQueueSteps       = 200000 // should it never come to rest
	negligibleLoad      = 1e-200 // a share under which movement is rounding
)

// The search for the best share of the left group, in thousandths: the times that the paper prints have their least in it.
const (
	thousandths     = 1000 // of a share of 1
	minBestShare    = 500  // half: the groups are equal
	maxBestShare    = 650  // above all best shares published
	exhaustiveRange = 2    // under which each share is tried
)

// BallsRandom gives, after n balls into n bins by the lesser of d random ones, the share of bins with at least i
// balls.
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

// BallsLeft gives the same by two groups, the left one a share alpha of the bins, ties going left: the paper's
// equation 5.
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

// sumGroups adds up the shares of all groups by load.
func sumGroups(x []float64, d int) []float64 {
	u := make([]float64, len(x)/d)
	for i, v := range x {
		u[i/d] += v
	}
	return u
}

// QueuesRandom is the fixed point of servers that each customer picks the shorter of d random queues of: the share
// of servers with at least i customers, at a rate lambda a server.
func QueuesRandom(d int, lambda float64) []float64 {
	w := make([]float64, maxLoad)
	for i := range w {
		w[i] = math.Pow(lambda, (math.Pow(float64(d), float64(i))-1)/float64(d-1))
	}
	return w
}

// QueuesLeft is the fixed point with groups of the given shares, ties going left: the paper's equations 10 and 14,
// integrated until nothing moves.
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

// queueDerivative is how the shares of queues move, those of all groups of one load after those of the load below.
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

// movement is the largest relative movement of shares that are not negligible.
func movement(x, dx []float64) float64 {
	largest := 0.0
	for i := range x {
		if x[i] > negligibleLoad {
			largest = math.Max(largest, math.Abs(dx[i])/x[i])
		}
	}
	return largest
}

// ExpectedTime is the expected time in the system at a fixed point, by Little's law.
func ExpectedTime(u []float64, lambda float64) float64 {
	sum := 0.0
	for _, v := range u[1:] {
		sum += v
	}
	return sum / lambda
}

// BestLeftShare is the share of the left group, to the thousandth, at which the expected time is least, and that time. The
// time falls and then rises with the share, so thirds of the range are dropped.
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
