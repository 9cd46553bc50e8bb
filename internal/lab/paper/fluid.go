// Package paper computes what "The Asymptotics of Selecting the Shortest of Two, Improved" (Mitzenmacher and
// Vöcking) publishes: its fluid limits by integrating the equations, and its simulation by the event queue. The
// published figures stand beside them, so that the lab's idea of the design can be checked against its source.
package paper

import "math"

// step advances x by h under f, by the classical Runge-Kutta method of fourth order.
type stepper struct {
	derivative         func(x, dx []float64)
	k1, k2, k3, k4, at []float64
}

func newStepper(n int, f func(x, dx []float64)) *stepper {
	v := make([][]float64, 5)
	for i := range v {
		v[i] = make([]float64, n)
	}
	return &stepper{f, v[0], v[1], v[2], v[3], v[4]}
}

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

const maxLoad = 24 // loads that are followed; beyond, all shares are under the least number there is

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
	const steps = 4096
	for range steps {
		s.step(w, 1.0/steps)
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
	const steps = 4096
	for range steps {
		s.step(x, 1.0/steps)
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

// QueuesLeft is the fixed point with d groups of the given shares, ties going left: the paper's equations 10 and 14,
// integrated until nothing moves.
func QueuesLeft(lambda float64, shares ...float64) []float64 {
	d := len(shares)
	x := make([]float64, d*maxLoad)
	copy(x, shares)
	rate := lambda
	for _, a := range shares {
		rate /= a
	}
	f := func(x, dx []float64) {
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
	s := newStepper(len(x), f)
	dx := make([]float64, len(x))
	const (
		h     = 0.1   // the fastest rate is about d, so this is well within what is stable
		still = 1e-13 // relative movement a unit of time at which it counts as fixed
		most  = 200000
	)
	for n := range most {
		s.step(x, h)
		if n%64 > 0 {
			continue
		}
		f(x, dx)
		moving := 0.0
		for i := d; i < len(x); i++ {
			if x[i] > 1e-200 {
				moving = math.Max(moving, math.Abs(dx[i])/x[i])
			}
		}
		if moving < still {
			break
		}
	}
	return sumGroups(x, d)
}

// ExpectedTime is the expected time in the system of a fixed point, by Little's law.
func ExpectedTime(u []float64, lambda float64) float64 {
	sum := 0.0
	for _, v := range u[1:] {
		sum += v
	}
	return sum / lambda
}

// BestLeftShare is the share of the left group, to the thousandth, at which the expected time is least. The time falls and
// then rises with the share, so thirds of the range are dropped.
func BestLeftShare(lambda float64) (alpha, least float64) {
	at := map[int]float64{}
	time := func(k int) float64 {
		if _, ok := at[k]; !ok {
			a := float64(k) / 1000
			at[k] = ExpectedTime(QueuesLeft(lambda, a, 1-a), lambda)
		}
		return at[k]
	}
	lo, hi := 500, 650
	for hi-lo > 2 {
		m, n := lo+(hi-lo)/3, hi-(hi-lo)/3
		if time(m) < time(n) {
			hi = n
		} else {
			lo = m
		}
	}
	best := lo
	for k := lo; k <= hi; k++ {
		if time(k) < time(best) {
			best = k
		}
	}
	return float64(best) / 1000, time(best)
}
