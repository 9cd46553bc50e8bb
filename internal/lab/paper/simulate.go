package paper

import (
	"math"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/eventq"
	"hookwalk.example/hookwalk/internal/lab/model"
)

// Pick chooses a server by the customers that each holds.
type Pick func(rng *rand.Rand, held []int) int

// Random2 is the shorter of two random queues, any of equal ones. The two differ: drawn with replacement, one in a
// hundred customers would have no choice, and the mean time of table 4 would come out at 2.67 instead of 2.65.
func Random2(rng *rand.Rand, held []int) int {
	i := rng.IntN(len(held))
	j := (i + 1 + rng.IntN(len(held)-1)) % len(held)
	if held[j] < held[i] || held[j] == held[i] && rng.IntN(2) == 0 {
		return j
	}
	return i
}

// Left2 is the shorter of one queue of each group; ties go left. With zeroByShares, ties of empty queues are drawn
// by the groups' shares, as the module's ordinary path has it.
func Left2(alpha float64, emptyTiesByShares bool) Pick {
	return func(rng *rand.Rand, held []int) int {
		cut := int(math.Round(alpha * float64(len(held))))
		l, r := rng.IntN(cut), cut+rng.IntN(len(held)-cut)
		if held[r] < held[l] || emptyTiesByShares && held[l]+held[r] == 0 && rng.IntN(len(held)) >= cut {
			return r
		}
		return l
	}
}

// World is the paper's: servers with exponential service of mean 1, one Poisson stream of lambda a server, exact
// counts. A unit of time is a second.
type World struct {
	Servers       int
	Lambda        float64
	Units, WarmUp float64 // played, and discarded of them
}

// unit is the virtual time of a unit of the paper's.
const unit = float64(time.Second)

// arrival is the event of a customer's arrival; other events are the numbers of servers that have finished one.
const arrival = -1

// firstServerID begins the servers' numbers, so that all have as many digits and sort as they are numbered.
const firstServerID = 1000

// unreachableDeadline is a latency objective and deadline that nothing reaches, so that what the module does about lateness has no
// effect.
const unreachableDeadline = 24 * time.Hour

// upperQuantile is the quantile of Student's t that bounds a 95% interval from above.
const upperQuantile = 0.975

// Run plays one world and returns the mean time in the system of the customers that came after the warm-up.
func (w World) Run(seed uint64, pick Pick) float64 {
	rng := model.Stream(seed, "paper", 0)
	held := make([]int, w.Servers)
	return w.simulate(rng, func(time.Duration, int) int {
		i := pick(rng, held)
		held[i]++
		return i
	}, func(_ time.Duration, i, _ int) { held[i]-- })
}

// simulate runs the event queue: place puts customer n at a server, and done is its end there. It returns the mean time.
func (w World) simulate(rng *rand.Rand, place func(now time.Duration, n int) int, done func(now time.Duration, server, n int)) float64 {
	type customer struct {
		n         int
		arrivedAt time.Duration
	}
	var q eventq.Queue[int]
	queues := make([][]customer, w.Servers)
	gap := func(rate float64) time.Duration { return time.Duration(rng.ExpFloat64() / rate * unit) }
	q.Push(gap(w.Lambda*float64(w.Servers)), arrival)
	sum, served, n := 0.0, 0, 0
	end, warm := time.Duration(w.Units*unit), time.Duration(w.WarmUp*unit)
	for {
		now, i := q.Pop()
		if now >= end {
			return sum / float64(max(1, served)) / unit
		}
		if i == arrival {
			s := place(now, n)
			queues[s] = append(queues[s], customer{n, now})
			n++
			if len(queues[s]) == 1 {
				q.Push(now+gap(1), s)
			}
			q.Push(now+gap(w.Lambda*float64(w.Servers)), arrival)
			continue
		}
		c := queues[i][0]
		if queues[i] = queues[i][1:]; len(queues[i]) > 0 {
			q.Push(now+gap(1), i)
		}
		if c.arrivedAt >= warm {
			sum += float64(now - c.arrivedAt)
			served++
		}
		done(now, i, c.n)
	}
}

// RunModule plays the same world with the decision module in place of a pick: one instance that sees all.
func (w World) RunModule(seed uint64) (mean float64, err error) {
	b, err := balancer.New(balancer.Settings{Replicas: 1, Tier: 1, MaxAttempts: 1, TimerTolerance: time.Millisecond,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: unreachableDeadline, Deadline: unreachableDeadline, PriorityWeight: 1}}}, seed)
	if err != nil {
		return 0, err
	}
	list := balancer.EndpointUpdate{Complete: true}
	indexes := map[string]int{}
	names := make([]string, w.Servers)
	for i := range w.Servers {
		id := "s-" + strconv.Itoa(firstServerID+i)
		indexes[id], names[i] = i, id
		list.Servers = append(list.Servers, balancer.Server{ID: id})
	}
	b.Handle(0, list)
	rng := model.Stream(seed, "paper", 0)
	mean = w.simulate(rng, func(now time.Duration, n int) int {
		for _, a := range b.Handle(now, balancer.Request{ID: strconv.Itoa(n), Class: "c", Deadline: now + unreachableDeadline}) {
			if s, ok := a.(balancer.Send); ok {
				return indexes[s.Server]
			}
		}
		return rng.IntN(w.Servers) // it never queues a request here
	}, func(now time.Duration, server, n int) {
		b.Handle(now, balancer.AttemptEnded{ID: strconv.Itoa(n), Server: names[server], Outcome: balancer.Success, RequestDone: true})
	})
	return mean, nil
}

// Estimate is a mean over runs, with half its 95% interval and the runs' standard deviation.
type Estimate struct{ Mean, HalfInterval, StandardDeviation float64 }

// Repeat plays runs, each with a seed of its own, on all cores. The same seed gives the same estimate on any number of them.
func Repeat(runs int, seed uint64, run func(seed uint64) float64) Estimate {
	results := make([]float64, runs)
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				results[i] = run(seed + uint64(i))
			}
		})
	}
	for i := range results {
		next <- i
	}
	close(next)
	workers.Wait()
	return estimate(results)
}

// estimate is the mean of some results, at least one.
func estimate(results []float64) Estimate {
	runs := len(results)
	e := Estimate{}
	for _, v := range results {
		e.Mean += v / float64(runs)
	}
	for _, v := range results {
		e.StandardDeviation += (v - e.Mean) * (v - e.Mean) / float64(max(1, runs-1))
	}
	e.StandardDeviation = math.Sqrt(e.StandardDeviation)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(max(1, runs-1))}
	e.HalfInterval = t.Quantile(upperQuantile) * e.StandardDeviation / math.Sqrt(float64(runs))
	return e
}
