// Package capture records all that goes into the decision module and what comes out, and replays it. A record is
// one event with the actions that answered it, as length-prefixed JSON; a head, at the start of every stretch that
// may be read by itself, has what the module was made of and all that it held then.
package capture

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"hookwalk.example/hookwalk/balancer"
)

// Version is that of the records. Another build of the same version may decide otherwise; that is what a replay
// is for.
const Version = "4"

const (
	linePrefix = "capture:"
	prefixLen  = 4       // bytes of a record's length, big-endian
	maxRecord  = 4 << 20 // of one record; more is no length
)

// Kinds of records.
const (
	kindHead       = "head"
	kindRequest    = "request"
	kindOutcome    = "outcome"
	kindTimer      = "timer"
	kindList       = "list"
	kindListFailed = "list_failed"
	kindListLease  = "list_lease"
	kindStarted    = "started"
	kindGone       = "client_gone"
	kindDrill      = "drill"
	kindLeaving    = "leaving"
	kindHand       = "hand"
	kindRetune     = "retune"
)

// record is one event with its decision, or a head. Times are in ns; At is the module's clock.
type record struct {
	Seq      uint64           `json:"seq"` // of a head: that of the last event before it
	At       time.Duration    `json:"at"`
	Kind     string           `json:"kind"`
	ID       string           `json:"id,omitempty"`
	Class    string           `json:"class,omitempty"`
	Tenant   string           `json:"tenant,omitempty"`
	Budget   time.Duration    `json:"budget,omitempty"`
	Deadline time.Duration    `json:"deadline,omitempty"`
	Repeat   bool             `json:"repeat,omitempty"`
	Key      uint64           `json:"key,omitempty"`
	HasKey   bool             `json:"has_key,omitempty"`
	Client   netip.Addr       `json:"client,omitzero"`
	Attempt  int              `json:"attempt,omitempty"`
	Server   string           `json:"server,omitempty"`
	Ending   balancer.Outcome `json:"ending,omitempty"`
	Latency  time.Duration    `json:"latency,omitempty"`
	Ended    bool             `json:"ended,omitempty"`
	Name     string           `json:"name,omitempty"` // of a timer or a drill
	Full     bool             `json:"full,omitempty"`
	Cached   bool             `json:"cached,omitempty"`
	Hosts    []host           `json:"hosts,omitempty"`
	Decision []decision       `json:"decision,omitempty"`
	Answer   int              `json:"answer,omitempty"` // the final answer that this event led to
	Out      bool             `json:"out,omitempty"`
	Expired  bool             `json:"expired,omitempty"` // the list
	Rules    int              `json:"rules,omitempty"`
	Bulk     bool             `json:"bulk,omitempty"`
	Head     *head            `json:"head,omitempty"`

	Settings *balancer.Settings `json:"settings,omitempty"`
}

type host struct {
	Host  string               `json:"host"`
	Addr  string               `json:"addr,omitempty"`
	Zone  string               `json:"zone,omitempty"`
	Kind  string               `json:"kind,omitempty"`
	Cell  int                  `json:"cell,omitempty"`
	State balancer.ServerState `json:"state,omitempty"`
	Boot  time.Duration        `json:"boot,omitempty"`
}

// decision is one action of the module.
type decision struct {
	Do     string        `json:"do"`
	ID     string        `json:"id,omitempty"`
	Server string        `json:"server,omitempty"`
	For    time.Duration `json:"for,omitempty"` // a time-out, or the advice when to come back
	At     time.Duration `json:"at,omitempty"`
	Name   string        `json:"name,omitempty"` // of a timer or a drill
	Status int           `json:"status,omitempty"`
}

// head is what a module was made of and what it holds.
type head struct {
	Version    string            `json:"version"`
	Node       string            `json:"node"`
	Began      int64             `json:"began"` // tells one run of a node from the next
	Seed       uint64            `json:"seed"`
	Settings   balancer.Settings `json:"settings"`
	Checkpoint json.RawMessage   `json:"checkpoint"`
}

// EventContext is what a node knows of an event that the module is not told.
type EventContext struct {
	Tenant    string
	Budget    time.Duration
	Served    bool              // the outcome is the client's answer
	Addresses map[string]string // of the hosts of a list
}

// newRecord describes an event. An unknown one could not be replayed.
func newRecord(e balancer.Event, aside EventContext) (record, error) {
	switch e := e.(type) {
	case balancer.Request:
		return record{Kind: kindRequest, ID: plain(e.ID), Class: plain(e.Class), Tenant: plain(aside.Tenant), Budget: aside.Budget,
			Deadline: e.Deadline, Repeat: e.ClientRetry, Key: e.Key, HasKey: e.HasKey, Client: e.Client, Rules: e.SettingsVersion, Bulk: e.StreamedBody}, nil
	case balancer.AttemptEnded:
		r := record{Kind: kindOutcome, ID: plain(e.ID), Attempt: e.Attempt, Server: e.Server, Ending: e.Outcome,
			Latency: e.Latency, Ended: e.RequestDone}
		if aside.Served {
			r.Answer = http.StatusOK
		}
		return r, nil
	case balancer.TimerFired:
		return record{Kind: kindTimer, Name: plain(e.Token)}, nil
	case balancer.EndpointUpdate:
		r := record{Kind: kindList, Full: e.Complete, Cached: e.Cached}
		for _, s := range e.Servers {
			r.Hosts = append(r.Hosts, host{Host: s.ID, Addr: aside.Addresses[s.ID], Zone: s.Zone, Kind: s.Kind,
				Cell: s.Cell, State: s.State, Boot: s.StartTime})
		}
		return r, nil
	case balancer.WatchFailed:
		return record{Kind: kindListFailed}, nil
	case balancer.EndpointLease:
		return record{Kind: kindListLease, Expired: e.Expired}, nil
	case balancer.ResponseStarted:
		return record{Kind: kindStarted, ID: plain(e.ID), Attempt: e.Attempt}, nil
	case balancer.ClientGone:
		return record{Kind: kindGone, ID: plain(e.ID)}, nil
	case balancer.StartFaultInjection:
		return record{Kind: kindDrill, Name: e.Name}, nil
	case balancer.ShuttingDown:
		return record{Kind: kindLeaving}, nil
	case balancer.AdminOverride:
		return record{Kind: kindHand, Server: plain(e.Server), Out: e.Disabled}, nil
	case balancer.SettingsChanged:
		return record{Kind: kindRetune, Settings: &e.Settings}, nil
	}
	return record{}, fmt.Errorf("no record of a %T", e)
}

// event is what the module was told.
func (r *record) event() (balancer.Event, error) {
	switch r.Kind {
	case kindRequest:
		return balancer.Request{ID: raw(r.ID), Class: raw(r.Class), Deadline: r.Deadline, ClientRetry: r.Repeat, Key: r.Key,
			HasKey: r.HasKey, Client: r.Client, SettingsVersion: r.Rules, StreamedBody: r.Bulk}, nil
	case kindOutcome:
		return balancer.AttemptEnded{ID: raw(r.ID), Attempt: r.Attempt, Server: r.Server, Outcome: r.Ending,
			Latency: r.Latency, RequestDone: r.Ended}, nil
	case kindTimer:
		return balancer.TimerFired{Token: raw(r.Name)}, nil
	case kindList:
		e := balancer.EndpointUpdate{Complete: r.Full, Cached: r.Cached}
		for _, h := range r.Hosts {
			e.Servers = append(e.Servers, balancer.Server{ID: h.Host, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
				State: h.State, StartTime: h.Boot})
		}
		return e, nil
	case kindListFailed:
		return balancer.WatchFailed{}, nil
	case kindListLease:
		return balancer.EndpointLease{Expired: r.Expired}, nil
	case kindStarted:
		return balancer.ResponseStarted{ID: raw(r.ID), Attempt: r.Attempt}, nil
	case kindGone:
		return balancer.ClientGone{ID: raw(r.ID)}, nil
	case kindDrill:
		return balancer.StartFaultInjection{Name: r.Name}, nil
	case kindLeaving:
		return balancer.ShuttingDown{}, nil
	case kindHand:
		return balancer.AdminOverride{Server: raw(r.Server), Disabled: r.Out}, nil
	case kindRetune:
		if r.Settings == nil {
			return nil, errors.New("a retune without settings")
		}
		return balancer.SettingsChanged{Settings: *r.Settings}, nil
	}
	return nil, fmt.Errorf("unknown kind of record %q", r.Kind)
}

// plain is a text as JSON can hold it: callers may send bytes that are no UTF-8, and JSON would make one of
// different ids. Each of them becomes U+FFFD and two hexadecimal digits.
func plain(s string) string {
	if utf8.ValidString(s) && !strings.ContainsRune(s, utf8.RuneError) {
		return s
	}
	var b strings.Builder
	for n := 0; s != ""; s = s[n:] {
		var c rune
		if c, n = utf8.DecodeRuneInString(s); c != utf8.RuneError {
			b.WriteString(s[:n])
			continue
		}
		for _, o := range []byte(s[:n]) {
			fmt.Fprintf(&b, "%c%02x", utf8.RuneError, o)
		}
	}
	return b.String()
}

// raw is the text that plain was made of.
func raw(s string) string {
	mark := string(utf8.RuneError)
	if !strings.Contains(s, mark) {
		return s
	}
	var b strings.Builder
	for i, part := range strings.Split(s, mark) {
		if i > 0 && len(part) >= 2 {
			if o, err := strconv.ParseUint(part[:2], 16, 8); err == nil {
				b.WriteByte(byte(o))
				part = part[2:]
			}
		}
		b.WriteString(part)
	}
	return b.String()
}

// What an action does, in a record.
const (
	doSend      = "send"
	doRefuse    = "refuse"
	doFail      = "fail"
	doDeny      = "deny"
	doAbort     = "abort"
	doDrill     = "drill"
	doWake      = "wake"
	doSubscribe = "subscribe"
)

func newDecision(a balancer.Action) decision {
	switch a := a.(type) {
	case balancer.Send:
		return decision{Do: doSend, ID: plain(a.ID), Server: a.Server, For: a.Timeout}
	case balancer.Reject:
		return decision{Do: doRefuse, ID: plain(a.ID), For: a.RetryAfter, Status: http.StatusServiceUnavailable}
	case balancer.Fail:
		return decision{Do: doFail, ID: plain(a.ID), Status: http.StatusBadGateway}
	case balancer.Deny:
		return decision{Do: doDeny, ID: plain(a.ID), Status: http.StatusForbidden}
	case balancer.Abort:
		return decision{Do: doAbort, ID: plain(a.ID), For: a.RetryAfter, Status: a.Status}
	case balancer.FaultInjected:
		return decision{Do: doDrill, ID: plain(a.ID), Name: a.FaultInjection}
	case balancer.SetTimer:
		return decision{Do: doWake, At: a.At, Name: plain(a.Token)}
	case balancer.Subscribe:
		return decision{Do: doSubscribe}
	}
	return decision{Do: fmt.Sprintf("%T", a)} // differs from all that this build records
}

func decisions(actions []balancer.Action) (list []decision) {
	for _, a := range actions {
		list = append(list, newDecision(a))
	}
	return list
}

// encode writes a record with its length into an empty buffer.
func encode(buf *bytes.Buffer, r *record) error {
	buf.Write(make([]byte, prefixLen))
	enc := json.NewEncoder(buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return err
	}
	buf.Truncate(buf.Len() - 1) // the encoder's line end
	if buf.Len()-prefixLen > maxRecord {
		return errAbsurd
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(buf.Len()-prefixLen))
	return nil
}

var errAbsurd = errors.New("a record of absurd length")
