package capture

import (
	"fmt"
	"net/http"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// actionKind identifies the type of an action. The values are stored in captures and must not change.
type actionKind string

// The kinds of actions, one for each action type of the balancer.
const (
	actionSend          actionKind = "send"      // balancer.Send
	actionReject        actionKind = "refuse"    // balancer.Reject
	actionFail          actionKind = "fail"      // balancer.Fail
	actionDeny          actionKind = "deny"      // balancer.Deny
	actionAbort         actionKind = "abort"     // balancer.Abort
	actionFaultInjected actionKind = "drill"     // balancer.FaultInjected
	actionSetTimer      actionKind = "wake"      // balancer.SetTimer
	actionSubscribe     actionKind = "subscribe" // balancer.Subscribe
)

// action is the stored form of one action of the balancer. Actions can be compared with ==.
type action struct {
	Kind     actionKind    `json:"do"`
	ID       string        `json:"id,omitempty"` // of a request
	Server   string        `json:"server,omitempty"`
	Duration time.Duration `json:"for,omitempty"`    // the timeout of an attempt, or the Retry-After of a response
	At       time.Duration `json:"at,omitempty"`     // when a timer fires or until when a request may be written, by the same clock as the record's time
	Name     string        `json:"name,omitempty"`   // of a timer or a fault injection
	Status   int           `json:"status,omitempty"` // HTTP status of a response
}

// newAction converts an action of the balancer to its stored form.
func newAction(decided balancer.Action) action {
	switch a := decided.(type) {
	case balancer.Send:
		return action{Kind: actionSend, ID: escapeText(a.ID), Server: a.Server, Duration: a.Timeout, At: a.SendBy}
	case balancer.Reject:
		return action{Kind: actionReject, ID: escapeText(a.ID), Duration: a.RetryAfter, Status: http.StatusServiceUnavailable}
	case balancer.Fail:
		return action{Kind: actionFail, ID: escapeText(a.ID), Status: http.StatusBadGateway}
	case balancer.Deny:
		return action{Kind: actionDeny, ID: escapeText(a.ID), Status: http.StatusForbidden}
	case balancer.Abort:
		return action{Kind: actionAbort, ID: escapeText(a.ID), Duration: a.RetryAfter, Status: a.Status}
	case balancer.FaultInjected:
		return action{Kind: actionFaultInjected, ID: escapeText(a.ID), Name: a.FaultInjection}
	case balancer.SetTimer:
		return action{Kind: actionSetTimer, At: a.At, Name: escapeText(a.Token)}
	case balancer.Subscribe:
		return action{Kind: actionSubscribe}
	}
	return action{Kind: actionKind(fmt.Sprintf("%T", decided))} // an unknown type: differs from every action that this build records
}

// newActions converts actions to their stored form, in the same order.
func newActions(decided []balancer.Action) (list []action) {
	for _, a := range decided {
		list = append(list, newAction(a))
	}
	return list
}
