package capture

import (
	"errors"
	"fmt"
	"net/http"

	"hookwalk.example/hookwalk/balancer"
)

// newRecord converts an event to a record. It returns an error for an unknown event type, which could not be replayed.
func newRecord(event balancer.Event, context EventContext) (record, error) {
	switch e := event.(type) {
	case balancer.Request:
		return record{Kind: kindRequest, ID: escapeText(e.ID), Class: escapeText(e.Class), Tenant: escapeText(context.Tenant),
			Budget: context.Budget, Deadline: e.Deadline, ClientRetry: e.ClientRetry, Key: e.Key, HasKey: e.HasKey,
			Client: e.Client, SettingsVersion: e.SettingsVersion, Accepted: e.Accepted, StreamedBody: e.StreamedBody}, nil
	case balancer.AttemptEnded:
		r := record{Kind: kindAttemptEnded, ID: escapeText(e.ID), Attempt: e.Attempt, Server: e.Server, Outcome: e.Outcome,
			Latency: e.Latency, RequestDone: e.RequestDone}
		t := context.Attempt
		r.Connection, r.Use, r.Idle, r.Written, r.ClosedBy, r.Reason = t.Connection, t.Use, t.Idle, t.Written, t.ClosedBy, t.Reason
		if context.Served {
			r.Answer = http.StatusOK
		}
		return r, nil
	case balancer.TimerFired:
		return record{Kind: kindTimerFired, Name: escapeText(e.Token)}, nil
	case balancer.EndpointUpdate:
		r := record{Kind: kindEndpointUpdate, Complete: e.Complete, Cached: e.Cached}
		for _, s := range e.Servers {
			r.Endpoints = append(r.Endpoints, endpoint{ID: s.ID, Addr: context.Addresses[s.ID], Zone: s.Zone, Kind: s.Kind,
				Cell: s.Cell, State: s.State, StartTime: s.StartTime})
		}
		return r, nil
	case balancer.WatchFailed:
		return record{Kind: kindWatchFailed}, nil
	case balancer.LeaseChanged:
		return record{Kind: kindLeaseChanged, Expired: e.Expired}, nil
	case balancer.ResponseStarted:
		return record{Kind: kindResponseStarted, ID: escapeText(e.ID), Attempt: e.Attempt}, nil
	case balancer.ClientGone:
		return record{Kind: kindClientGone, ID: escapeText(e.ID)}, nil
	case balancer.StartFaultInjection:
		return record{Kind: kindStartFaultInjection, Name: e.Name}, nil
	case balancer.ShutdownBegun:
		return record{Kind: kindShutdownBegun, Deadline: e.AnswerBy}, nil
	case balancer.AdminOverride:
		return record{Kind: kindAdminOverride, Server: escapeText(e.Server), Disabled: e.Disabled}, nil
	case balancer.SettingsChanged:
		return record{Kind: kindSettingsChanged, Settings: &e.Settings}, nil
	}
	return record{}, fmt.Errorf("events of type %T can't be recorded", event)
}

// event converts a record back to its event.
func (r *record) event() (balancer.Event, error) {
	switch r.Kind {
	case kindRequest:
		return balancer.Request{ID: unescapeText(r.ID), Class: unescapeText(r.Class), Deadline: r.Deadline,
			ClientRetry: r.ClientRetry, Key: r.Key, HasKey: r.HasKey, Client: r.Client,
			SettingsVersion: r.SettingsVersion, Accepted: r.Accepted, StreamedBody: r.StreamedBody}, nil
	case kindAttemptEnded:
		return balancer.AttemptEnded{ID: unescapeText(r.ID), Attempt: r.Attempt, Server: r.Server, Outcome: r.Outcome,
			Latency: r.Latency, RequestDone: r.RequestDone}, nil
	case kindTimerFired:
		return balancer.TimerFired{Token: unescapeText(r.Name)}, nil
	case kindEndpointUpdate:
		e := balancer.EndpointUpdate{Complete: r.Complete, Cached: r.Cached}
		for _, s := range r.Endpoints {
			e.Servers = append(e.Servers, balancer.Server{ID: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell,
				State: s.State, StartTime: s.StartTime})
		}
		return e, nil
	case kindWatchFailed:
		return balancer.WatchFailed{}, nil
	case kindLeaseChanged:
		return balancer.LeaseChanged{Expired: r.Expired}, nil
	case kindResponseStarted:
		return balancer.ResponseStarted{ID: unescapeText(r.ID), Attempt: r.Attempt}, nil
	case kindClientGone:
		return balancer.ClientGone{ID: unescapeText(r.ID)}, nil
	case kindStartFaultInjection:
		return balancer.StartFaultInjection{Name: r.Name}, nil
	case kindShutdownBegun:
		return balancer.ShutdownBegun{AnswerBy: r.Deadline}, nil
	case kindAdminOverride:
		return balancer.AdminOverride{Server: unescapeText(r.Server), Disabled: r.Disabled}, nil
	case kindSettingsChanged:
		if r.Settings == nil {
			return nil, errors.New("the record of changed settings has no settings")
		}
		return balancer.SettingsChanged{Settings: *r.Settings}, nil
	}
	return nil, fmt.Errorf("unknown kind of record %q", r.Kind)
}
