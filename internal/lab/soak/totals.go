package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Totals counts the observations of one or more runs.
type Totals struct {
	Faults, Requests, Served, Rejected, Failed, Unanswered, Canceled int
	Attempts, Drains, Deliveries, AddressChanges                     int
	Restarts, Kills, Series, Floods                                  int // Kills includes those that end a restart
	LongAnswers, Uploads, UploadsServed                              int // long answers that a server began
	Excused                                                          map[Excuse]int
	Delays                                                           Delays
}

// Delays holds the longest delays of requests outside the nodes, and one that includes the node. They distinguish a late
// soak process from a late node.
type Delays struct {
	Write  time.Duration // from the client's start to the last byte written
	Node   time.Duration // from the last byte written until a server has read the head of the first attempt
	Handle time.Duration // from the head being read until the server handles the attempt
	Stall  time.Duration // longest stall of the soak process
}

// String returns the delays as a part of a run's output.
func (d Delays) String() string {
	return fmt.Sprintf("longest delay to write %v, to a server %v, to its handler %v, longest stall %v", d.Write.Round(time.Millisecond),
		d.Node.Round(time.Millisecond), d.Handle.Round(time.Millisecond), d.Stall.Round(time.Millisecond))
}

// longest returns the longer of each delay.
func (d Delays) longest(other Delays) Delays {
	return Delays{max(d.Write, other.Write), max(d.Node, other.Node), max(d.Handle, other.Handle), max(d.Stall, other.Stall)}
}

// delays returns the longest delays that were observed.
func (o *Observations) delays() (longest Delays) {
	for _, s := range o.Stalls {
		longest.Stall = max(longest.Stall, s.To-s.From)
	}
	first := map[string]*Attempt{}
	for _, a := range o.Attempts {
		longest.Handle = max(longest.Handle, a.At-a.HeadRead)
		if first[a.ID] == nil || a.HeadRead < first[a.ID].HeadRead {
			first[a.ID] = a
		}
	}
	for _, r := range o.Requests {
		if r.Written == 0 {
			continue
		}
		longest.Write = max(longest.Write, r.Written-r.At)
		if a := first[r.ID]; a != nil {
			longest.Node = max(longest.Node, a.HeadRead-r.Written)
		}
	}
	return longest
}

// Totals returns the totals of the run.
func (r *Result) Totals() Totals {
	o := r.Observations
	t := Totals{Faults: len(r.Plan.Faults), Requests: len(o.Requests), Attempts: len(o.Attempts), Drains: len(o.Drains),
		Deliveries: len(o.Deliveries), AddressChanges: len(o.AddressChanges), Series: o.Series, Floods: len(o.Floods), Excused: r.Excused(), Delays: o.delays()}
	t.LongAnswers = len(o.LongAnswers)
	for _, request := range o.Requests {
		if request.Upload {
			t.Uploads++
		}
		if request.Upload && request.Status == http.StatusOK {
			t.UploadsServed++
		}
		switch {
		case request.ClientGone > 0:
			t.Canceled++
		case request.Status == http.StatusOK:
			t.Served++
		case request.Status == http.StatusServiceUnavailable:
			t.Rejected++
		case request.Status == 0:
			t.Unanswered++
		default:
			t.Failed++
		}
	}
	for _, i := range o.Incarnations {
		if i.Terminated != 0 {
			t.Restarts++
		}
		if i.Killed != 0 && i.Killed <= r.Plan.Length {
			t.Kills++
		}
	}
	return t
}

// Add adds the totals of another run.
func (t *Totals) Add(other Totals) {
	for _, sum := range []struct {
		to   *int
		from int
	}{
		{&t.Faults, other.Faults}, {&t.Requests, other.Requests}, {&t.Served, other.Served}, {&t.Rejected, other.Rejected},
		{&t.Failed, other.Failed}, {&t.Unanswered, other.Unanswered}, {&t.Canceled, other.Canceled}, {&t.Attempts, other.Attempts},
		{&t.Drains, other.Drains}, {&t.Deliveries, other.Deliveries}, {&t.AddressChanges, other.AddressChanges},
		{&t.Restarts, other.Restarts}, {&t.Kills, other.Kills}, {&t.Series, other.Series}, {&t.Floods, other.Floods},
		{&t.LongAnswers, other.LongAnswers}, {&t.Uploads, other.Uploads}, {&t.UploadsServed, other.UploadsServed},
	} {
		*sum.to += sum.from
	}
	t.Delays = t.Delays.longest(other.Delays)
	if t.Excused == nil {
		t.Excused = map[Excuse]int{}
	}
	for excuse, count := range other.Excused {
		t.Excused[excuse] += count
	}
}

// String returns the totals as one line of a run's output.
func (t Totals) String() string {
	excused := make([]string, len(excuses))
	for i, excuse := range excuses {
		excused[i] = fmt.Sprintf("%d %s", t.Excused[excuse], excuse)
	}
	return fmt.Sprintf("%d faults, %d restarts, %d kills, %d series, %d crowds; %d requests: %d served, %d rejected, %d failed, %d canceled, %d without an answer; excused: %s; %d attempts, %d drains, %d lists delivered, %d address changes; %d long answers, %d of %d long bodies served; %v",
		t.Faults, t.Restarts, t.Kills, t.Series, t.Floods, t.Requests, t.Served, t.Rejected, t.Failed, t.Canceled, t.Unanswered,
		strings.Join(excused, ", "), t.Attempts, t.Drains, t.Deliveries, t.AddressChanges, t.LongAnswers, t.UploadsServed, t.Uploads, t.Delays)
}
