package capture

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// writeDifference writes one line for each request whose actions differ between the record and this build. If only the
// order of the actions differs, it writes one line for the record.
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

// The token of a balancer's timer for a request is one of these, followed by a colon and the ID of the request. They are
// copies of queueTimer and delayTimer of balancer/timers.go, which the balancer does not export.
const (
	queueTimer = "r" // for a queued request
	delayTimer = "d" // for a request that a fault injection delays
)

// subject returns the ID of the request that an action belongs to. For an action without a request it returns the token
// of its timer, or else its kind.
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

// subjects returns the distinct subjects of all actions, in order of first occurrence.
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

// actionsFor returns the actions with a given subject.
func actionsFor(list []action, subject string) (found []action) {
	for _, a := range list {
		if a.subject() == subject {
			found = append(found, a)
		}
	}
	return found
}

// detail is the level of detail of a description.
type detail int

// The levels of detail.
const (
	brief    detail = iota // what happened to a request
	detailed               // also durations and times
)

// describe summarizes what happened to a request, such as the server that it was sent to or the status of its response.
func describe(list []action, level detail) string {
	var parts []string
	for _, a := range list {
		if a.Kind == actionSetTimer && level == brief && len(list) > 1 {
			continue // next to another action a timer adds no information
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

// describe summarizes one action without its Duration.
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
