package capture

import (
	"bytes"
	"encoding/base64"
	"flag"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// Captures are kept, and replayed by builds that come after the one that wrote them. A key that is not known is passed
// over without an error: if one changed, an older capture would replay with events that were never so. So the golden
// files in testdata must not change while Version is the same. Whoever changes the form on purpose raises Version and
// writes them anew with -update.

var update = flag.Bool("update", false, "rewrite the golden files")

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	wantBytes(t, name, got)
}

func wantBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := goldenFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s has another form:\n got %s\nwant %s", name, got, want)
	}
}

func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

const goldenStart = 1_700_000_000 * time.Second // of the capture, by the module's clock

// goldenEvent is an event with what is recorded beside it. The module did not decide so; a record does not care.
type goldenEvent struct {
	event balancer.Event
	did   []balancer.Action
	aside EventContext
}

// goldenEvents are events and actions of each kind, with each ending and each state of a server.
func goldenEvents() []goldenEvent {
	id := "id-1\xff"
	second := time.Second
	retuned := module()
	retuned.MaxAttempts = 4
	events := []goldenEvent{
		{event: balancer.EndpointUpdate{Complete: true, Cached: true, Servers: []balancer.Server{
			{ID: "s-0", Zone: "z", Kind: "large", Cell: 2, StartTime: second},
			{ID: "s-1", State: balancer.Draining}, {ID: "s-2", State: balancer.Removed}}},
			did:   []balancer.Action{balancer.SetTimer{At: goldenStart + second, Token: "list"}},
			aside: EventContext{Addresses: map[string]string{"s-0": "127.0.0.1:5"}}},
		{event: balancer.TimerFired{Token: "list"}, did: []balancer.Action{balancer.Subscribe{}}},
		{event: balancer.WatchFailed{}},
		{event: balancer.EndpointLease{Expired: true}},
		{event: balancer.EndpointLease{}},
		{event: balancer.Request{ID: id, Class: "in-order", Deadline: goldenStart + 2*second, ClientRetry: true, Key: 1<<64 - 1, HasKey: true,
			Client: netip.MustParseAddr("10.1.2.3"), SettingsVersion: 3, StreamedBody: true},
			did: []balancer.Action{balancer.FaultInjected{ID: id, FaultInjection: "stall"}, balancer.SetTimer{At: goldenStart + second, Token: "d:" + id},
				balancer.Send{ID: id, Server: "s-0", Timeout: second}},
			aside: EventContext{Tenant: "okanagan-ridge<&>\xfe", Budget: 2 * second}},
		{event: balancer.Request{ID: "refused", Class: "unknown", HasKey: true, Client: netip.MustParseAddr("2001:db8::1")},
			did: []balancer.Action{balancer.Reject{ID: "refused", RetryAfter: second}}},
		{event: balancer.Request{ID: "denied", Client: netip.MustParseAddr("10.9.0.1")},
			did: []balancer.Action{balancer.Deny{ID: "denied"}}},
		{event: balancer.Request{ID: "aborted", Class: "bin-weighin"},
			did: []balancer.Action{balancer.Abort{ID: "aborted", Status: 503, RetryAfter: second}}},
		{event: balancer.ResponseStarted{ID: id, Attempt: 1}},
		{event: balancer.ClientGone{ID: id}},
		{event: balancer.StartFaultInjection{Name: "stall"}},
		{event: balancer.AdminOverride{Server: "s-1", Disabled: true}},
		{event: balancer.AdminOverride{Server: "s-1"}},
		{event: balancer.SettingsChanged{Settings: retuned}},
		{event: balancer.ShuttingDown{}},
	}
	for how := balancer.Success; how <= balancer.NotSent; how++ {
		o := goldenEvent{event: balancer.AttemptEnded{ID: id, Attempt: int(how), Server: "s-0", Outcome: how, Latency: second,
			RequestDone: how == balancer.Success}, aside: EventContext{Served: how == balancer.Success}}
		if how == balancer.Failure {
			o.did = []balancer.Action{balancer.Fail{ID: id}}
		}
		events = append(events, o)
	}
	return events
}

// goldenCapture is a capture as it stands in a log.
func goldenCapture(t *testing.T) []byte {
	t.Helper()
	bal, err := balancer.New(module(), 5)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	w := &Writer{bal: bal, stderr: &log, log: quiet(), ring: newRing(ringSize),
		head: head{Version: Version, Node: "n0", Began: int64(goldenStart), Seed: 5, Settings: module()}}
	w.writeHead(goldenStart)
	for i, e := range goldenEvents() {
		w.Event(goldenStart+time.Duration(i+1), e.event, e.did, e.aside)
	}
	return log.Bytes()
}

// framesOf reads the records of a capture, each without its length.
func framesOf(t *testing.T, name string, text []byte) (frames [][]byte) {
	t.Helper()
	for in := open(name, bytes.NewReader(text)); ; {
		frame, where, err := in.next()
		if err == io.EOF {
			return frames
		}
		if err != nil {
			t.Fatalf("%s, %s: %v", name, where, err)
		}
		frames = append(frames, frame)
	}
}

// The log's lines are base64 of the records, with their length; records.jsonl has the same records to be read by people.
func TestGoldenCaptureIsWritten(t *testing.T) {
	log := goldenCapture(t)
	golden(t, "capture.log", log)
	golden(t, "records.jsonl", append(bytes.Join(framesOf(t, "capture.log", log), []byte("\n")), '\n'))
}

// The records of an earlier build are read whole, from a log as from a file: written again they have the same bytes, and
// the module is told the same events.
func TestGoldenCaptureIsRead(t *testing.T) {
	var inFile bytes.Buffer
	for line := range strings.Lines(string(goldenFile(t, "capture.log"))) {
		framed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(strings.TrimPrefix(line, linePrefix)))
		if err != nil {
			t.Fatal(err)
		}
		inFile.Write(framed)
	}
	for name, text := range map[string][]byte{"capture.log": goldenFile(t, "capture.log"), "capture-0001.hwc": inFile.Bytes()} {
		var again, file bytes.Buffer
		var events []balancer.Event
		for _, frame := range framesOf(t, name, text) {
			r, err := decode(frame)
			if err != nil {
				t.Fatal(err)
			}
			var buf bytes.Buffer
			if err := encode(&buf, &r); err != nil {
				t.Fatal(err)
			}
			file.Write(buf.Bytes())
			again.Write(append(buf.Bytes()[prefixLen:], '\n'))
			if r.Kind == kindHead {
				if _, err := balancer.Restore(r.Head.Settings, r.Head.Checkpoint); err != nil {
					t.Errorf("%s: the head's checkpoint: %v", name, err)
				}
				continue
			}
			e, err := r.event()
			if err != nil {
				t.Fatal(err)
			}
			events = append(events, e)
		}
		wantBytes(t, "records.jsonl", again.Bytes())
		if !bytes.Equal(file.Bytes(), inFile.Bytes()) {
			t.Errorf("%s: the records are framed otherwise", name)
		}
		want := goldenEvents()
		if len(events) != len(want) {
			t.Fatalf("%s: %d events, want %d", name, len(events), len(want))
		}
		for i, e := range events {
			if !reflect.DeepEqual(e, want[i].event) {
				t.Errorf("%s: event %d is %+v, want %+v", name, i, e, want[i].event)
			}
		}
		res, _, warned, err := played(t, name, text)
		if err != nil || warned != "" || res.Compared != len(want) {
			t.Errorf("%s: %+v, %v, warned %q", name, res, err, warned)
		}
	}
}

// A node that starts finds the newest file of its folder by the heads.
func TestGoldenHeadTellsWhenItsFileBegan(t *testing.T) {
	line, _, _ := strings.Cut(string(goldenFile(t, "capture.log")), "\n")
	head, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(line, linePrefix))
	if err != nil {
		t.Fatal(err)
	}
	name := fileName(t.TempDir(), 0)
	if err := os.WriteFile(name, head, fileMode); err != nil {
		t.Fatal(err)
	}
	if at, ok := began(name); !ok || at != int64(goldenStart) {
		t.Errorf("began at %d, %v; want %d", at, ok, goldenStart)
	}
}

// Every field of a record is other than zero somewhere, or the golden files would not notice when its key changes.
func TestGoldenRecordsHaveEveryField(t *testing.T) {
	set := map[string]bool{}
	note := func(v any) {
		for i, value := 0, reflect.ValueOf(v); i < value.NumField(); i++ {
			name := value.Type().Name() + "." + value.Type().Field(i).Name
			set[name] = set[name] || !value.Field(i).IsZero()
		}
	}
	kinds, does := map[string]bool{}, map[string]bool{}
	for _, frame := range framesOf(t, "capture.log", goldenFile(t, "capture.log")) {
		r, err := decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		note(r)
		if r.Head != nil {
			note(*r.Head)
		}
		for _, h := range r.Hosts {
			note(h)
		}
		for _, d := range r.Decision {
			note(d)
			does[d.Do] = true
		}
		kinds[r.Kind] = true
	}
	for field, ever := range set {
		if !ever {
			t.Errorf("%s is zero in all records", field)
		}
	}
	if len(set) < 40 || len(kinds) != 13 || len(does) != 8 {
		t.Errorf("%d fields, %d kinds, %d actions; want 40 or more, 13, 8", len(set), len(kinds), len(does))
	}
}
