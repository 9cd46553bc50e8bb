package capture

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// writeDifference writes a line for each request of an event that is decided otherwise now than recorded.
func writeDifference(out io.Writer, r *record, now []action) {
	found := false
	for _, subject := range subjects(r.Actions, now) {
		before, after := actionsFor(r.Actions, subject), actionsFor(now, subject)
		if slices.Equal(before, after) {
			continue
		}
		found = true
		was, is := describe(before, brief), describe(after, brief)
		if was == is {
			was, is = describe(before, detailed), describe(after, detailed)
		}
		fmt.Fprintf(out, "%s was %s now %s\n", subject, was, is)
	}
	if !found {
		fmt.Fprintf(out, "record %d was %s now in another order\n", r.Seq, describe(r.Actions, detailed))
	}
}

// The token of a balancer's timer for a request is one of these, a colon and the request's ID. They repeat queueTimer and
// delayTimer of balancer/timers.go, which the balancer does not export.
const (
	queueTimer = "r" // of a queued request
	delayTimer = "d" // of a request that a fault injection delays
)

// subject is the request that an action is about; of one that is about none, its timer or its kind.
func (a action) subject() string {
	if a.Kind != actionSetTimer {
		if a.ID == "" {
			return string(a.Kind)
		}
		return a.ID
	}
	if timer, id, ok := strings.Cut(a.Name, ":"); ok && (timer == queueTimer || timer == delayTimer) {
		return id
	}
	return a.Name
}

// subjects are those of all actions, each once, in the order in which they first come.
func subjects(lists ...[]action) (found []string) {
	for _, list := range lists {
		for _, a := range list {
			if subject := a.subject(); !slices.Contains(found, subject) {
				found = append(found, subject)
			}
		}
	}
	return found
}

// actionsFor are the actions with a subject.
func actionsFor(list []action, subject string) (found []action) {
	for _, a := range list {
		if a.subject() == subject {
			found = append(found, a)
		}
	}
	return found
}

// detail is how much describe says.
type detail int

// The levels of detail.
const (
	brief    detail = iota // what became of a request
	detailed               // also times
)

// describe says what became of a request: the server that it was sent to, or the status of its answer.
func describe(list []action, level detail) string {
	var parts []string
	for _, a := range list {
		if a.Kind == actionSetTimer && level == brief && len(list) > 1 {
			continue // beside another action a timer says nothing
		}
		text := a.describe(level)
		if level == detailed && a.Duration != 0 {
			text += " for " + a.Duration.Round(time.Nanosecond).String()
		}
		parts = append(parts, text)
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, " then ")
}

// describe names one action, without its Duration.
func (a action) describe(level detail) string {
	switch {
	case a.Kind == actionSend:
		return a.Server
	case a.Status != 0:
		return strconv.Itoa(a.Status)
	case a.Kind == actionFaultInjected:
		return "drill " + a.Name
	case a.Kind == actionSetTimer && level == detailed:
		return "held to " + strconv.FormatInt(int64(a.At), 10)
	case a.Kind == actionSetTimer:
		return "held"
	}
	return string(a.Kind)
}
