package simwire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// sampleBatch contains an endpoint list, an update that refers to it, a request and the outcome of an attempt.
const sampleBatch = "sync\t8412.25\nabout\t3\nlist\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\noutcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

// decodeAll decodes a text to its end or to the first error.
func decodeAll(t *testing.T, text string) ([]Message, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	var l []Message
	for {
		m, err := d.Next()
		if err == io.EOF {
			return l, nil
		}
		if err != nil {
			return l, err
		}
		l = append(l, m)
	}
}

// The lines of the wire format become the events of package balancer.
func TestDecodeMapsLinesToEvents(t *testing.T) {
	l, err := decodeAll(t, sampleBatch)
	if err != nil {
		t.Fatal(err)
	}
	want := []Message{
		{Kind: BatchStarted, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: EventReceived, Instance: 3, Event: balancer.EndpointUpdate{Complete: true, Cached: true,
			Servers: []balancer.Server{{ID: "s:1", Zone: "z", Kind: "k", Cell: 4, StartTime: 6100500 * time.Microsecond}}}},
		{Kind: EventReceived, Instance: 3, Event: balancer.Request{ID: "id", Class: "get", ClientRetry: true,
			Deadline: 8652250 * time.Microsecond}},
		{Kind: EventReceived, Instance: 3, Event: balancer.AttemptEnded{ID: "id", Server: "s:1", RequestDone: true,
			Latency: 18500 * time.Microsecond}},
		{Kind: BatchEnded, Instance: 3},
	}
	if !reflect.DeepEqual(l, want) {
		t.Fatalf("got %+v\nwant %+v", l, want)
	}
}

// The simulator and this program may use different versions of the protocol. To find the difference, an operator needs
// the line and the value in the error.
func TestErrorsNameTheLineAndTheValue(t *testing.T) {
	for text, want := range map[string]string{
		"eob\n":                                "line 1: \"eob\" outside a batch",
		"sync\tx\n":                            "line 1: sync: value 1 is not a time in milliseconds",
		"sync\t1\nhuh\t1\n":                    "line 2: \"huh\" before the first about message",
		"sync\t1\nabout\t1\nhuh\t1\n":          "line 3: unknown message \"huh\"",
		"sync\t1\nabout\t1\njob_in\ta\n":       "line 3: job_in: value 2",
		"sync\t1\nlist\t0\t2\nitem\ta\tb\n":    "value 4 is missing",
		"sync\t1\nlist\t77\t2\n":               "out of range",
		"sync\t1\n":                            "input ends inside a batch",
		"sync\t1\nabout\t1\nhello\t5\t{bad\n":  "settings",
		"sync\t1\nabout\t1\nannounce\t9\t0\t0": "input ends inside a batch",
	} {
		_, err := decodeAll(t, text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
		if line := new(LineError); !errors.As(err, &line) || line.Line < 1 {
			t.Errorf("%q: %v does not name the line", text, err)
		}
	}
}

// If clients mark their retries, no other request may be treated as a retry.
func TestParseSettingsReadsClientsMarkRetries(t *testing.T) {
	for text, want := range map[string]bool{`{"callers":{"marks-retry":true}}`: true, `{}`: false} {
		if s, err := ParseSettings([]byte(text)); err != nil || s.ClientsMarkRetries != want {
			t.Errorf("%s: ClientsMarkRetries %v, %v", text, s.ClientsMarkRetries, err)
		}
	}
}

// A request must not be sent twice if a later version of the protocol gives its class an effect that this one does not
// know.
func TestUnknownEffectIsNonIdempotent(t *testing.T) {
	s, err := ParseSettings([]byte(`{"lanes":[{"name":"a","effect":"odd"},{"name":"b","effect":"read_like"}],"new":1}`))
	if err != nil || s.Classes[0].Effect != balancer.NonIdempotent || s.Classes[1].Effect != balancer.Idempotent {
		t.Fatalf("got %+v, %v", s, err)
	}
}

// The actions of package balancer become lines of the wire format, grouped by instance.
func TestEncodeMapsActionsToLines(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Action(3, balancer.Send{ID: "a", Server: "s", Timeout: 80500 * time.Microsecond})
	e.Action(5, balancer.Reject{ID: "b"})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "instance\t3\nforward\ta\ts\t80.5\ninstance\t5\nturn_away\tb\t0\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}

// No input may make the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add(sampleBatch)
	f.Add("sync\t1\nabout\t0\ncrash_now\neob\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for range 1000 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}

// An absent placement must not restrict the servers of a class, and a request may have the key 0.
func TestAbsentPlacementAndKeyZero(t *testing.T) {
	s, err := ParseSettings([]byte(`{"lanes":[{"name":"a","by-arrival":true,"bound-to":["k"],"confined-to":["z"]},` +
		`{"name":"b"}],"rules":{"order-settle-ms":40}}`))
	if err != nil || s.KeyQuietPeriod != 40*time.Millisecond {
		t.Fatalf("got %+v, %v", s, err)
	}
	a, b := s.Classes[0], s.Classes[1]
	if !a.OrderedByKey || len(a.AllowedKinds) != 1 || len(a.AllowedZones) != 1 {
		t.Errorf("the order or the placement of a class was lost: %+v", a)
	}
	if b.OrderedByKey || b.AllowedKinds != nil || b.AllowedZones != nil {
		t.Errorf("got %+v, want a class without order and placement", b)
	}
	l, err := decodeAll(t, "sync\t1\nabout\t0\njob_in\tid\t9\t0\ta\t0\t-\t-\neob\n")
	if r := l[1].Event.(balancer.Request); err != nil || !r.HasKey || r.Key != 0 {
		t.Errorf("key 0 was lost: %+v, %v", r, err)
	}
}
