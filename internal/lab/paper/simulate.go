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

// Pick chooses a server. held is the number of customers at each server.
type Pick func(rng *rand.Rand, held []int) int

// Random2 chooses the shorter of two different random queues. Ties are broken at random. If the queues were drawn with
// replacement, one in a hundred customers would have no choice, and the mean time of table 4 would be 2.67 instead of
// 2.65.
func Random2(rng *rand.Rand, held []int) int {
	i := rng.IntN(len(held))
	j := (i + 1 + rng.IntN(len(held)-1)) % len(held)
	if held[j] < held[i] || held[j] == held[i] && rng.IntN(2) == 0 {
		return j
	}
	return i
}

// Left2 chooses the shorter of two random queues, one from each group. Ties go left. With emptyTiesByShares, ties of
// empty queues are broken at random by the groups' shares, as on the module's ordinary path.
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

// QueueSystem is the system of the paper: servers with exponential service times of mean 1, and a Poisson stream with
// rate Lambda per server. The numbers of customers are exact. A unit of time is a second.
type QueueSystem struct {
	Servers       int
	Lambda        float64
	Units, WarmUp float64 // duration of a run, and the initial part of it that is discarded
}

// unit is the virtual time of the paper's unit of time.
const unit = float64(time.Second)

// arrival is the event of a customer's arrival. Any other event is the index of a server that has finished a customer.
const arrival = -1

// firstServerID is the number of the first server. It gives the numbers of up to 9000 servers the same number of
// digits, so that the IDs sort in numerical order.
const firstServerID = 1000

// unreachableDeadline is a latency objective and a deadline that no customer reaches, so that the module never acts on
// lateness.
const unreachableDeadline = 24 * time.Hour

// upperQuantile is the quantile of Student's t-distribution at the upper bound of a 95% confidence interval.
const upperQuantile = 0.975

// Run simulates one run and returns the mean time in the system of the customers that arrived after the warm-up.
func (w QueueSystem) Run(seed uint64, pick Pick) float64 {
	rng := model.Stream(seed, "paper", 0)
	held := make([]int, w.Servers)
	return w.simulate(rng, func(time.Duration, int) int {
		i := pick(rng, held)
		held[i]++
		return i
	}, func(_ time.Duration, i, _ int) { held[i]-- })
}

// simulate runs the event queue and returns the mean time in the system. place chooses the server of customer n, and
// done is called when the customer leaves the server.
func (w QueueSystem) simulate(rng *rand.Rand, place func(now time.Duration, n int) int, done func(now time.Duration, server, n int)) float64 {
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

// RunModule simulates the same system with the decision module instead of a Pick. A single instance handles all
// customers.
func (w QueueSystem) RunModule(seed uint64) (mean float64, err error) {
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
		return rng.IntN(w.Servers) // not reached: the module does not queue requests here
	}, func(now time.Duration, server, n int) {
		b.Handle(now, balancer.AttemptEnded{ID: strconv.Itoa(n), Server: names[server], Outcome: balancer.Success, RequestDone: true})
	})
	return mean, nil
}

// Estimate is the mean over runs, with half the width of its 95% confidence interval and the standard deviation of the
// runs.
type Estimate struct{ Mean, HalfInterval, StandardDeviation float64 }

// Repeat executes runs with consecutive seeds on all cores. The estimate depends only on the seed, not on the number of
// cores.
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

// estimate returns the estimate from the results of runs, of which there must be at least one.
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
