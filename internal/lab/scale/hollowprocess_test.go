package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// fakeSession reports one observation when it starts and another one when it ends.
type fakeSession struct {
	observe     func(Observation)
	observation Observation
}

func (s *fakeSession) Close() error {
	s.observation.InForce++
	s.observe(s.observation)
	return nil
}

// startFake starts a fakeSession.
func startFake(spec HollowSpec, node HollowNode, _ *Network, observe func(Observation)) (hollowSession, error) {
	session := &fakeSession{observe, Observation{Node: node.Name, Service: node.Service, Incarnation: spec.Incarnation, Outcome: configapi.Applied}}
	observe(session.observation)
	return session, nil
}

// lines returns an input that contains the objects as JSON.
func lines(t *testing.T, objects ...any) io.Reader {
	t.Helper()
	var text bytes.Buffer
	for _, object := range objects {
		if err := json.NewEncoder(&text).Encode(object); err != nil {
			t.Fatal(err)
		}
	}
	return &text
}

// readReports reads all reports that a process has written.
func readReports(t *testing.T, from io.Reader) (reports []HollowReport) {
	t.Helper()
	decoder := json.NewDecoder(from)
	for {
		var report HollowReport
		err := decoder.Decode(&report)
		if errors.Is(err, io.EOF) {
			return reports
		}
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, report)
	}
}

func TestServeHollowReportsAndEndsWithItsInput(t *testing.T) {
	spec := HollowSpec{Nodes: SmallTopology.ZoneNodes(0), Incarnation: 3}
	var out bytes.Buffer
	err := serveHollow(lines(t, spec, HollowCommand{Traffic: true}, HollowCommand{SetUnreachable: true, Unreachable: []string{"127.0.0.1:1"}}), &out, startFake)
	if err != nil {
		t.Fatal(err)
	}
	reported, traffic := map[string][]configapi.Version{}, 0
	for _, report := range readReports(t, &out) {
		if o := report.Observation; o != nil && o.Incarnation == 3 {
			reported[o.Node] = append(reported[o.Node], o.InForce)
		}
		if report.Traffic != nil {
			traffic++
		}
	}
	if traffic != 1 || len(reported) != len(spec.Nodes) {
		t.Errorf("%d reports of traffic, observations of %d nodes", traffic, len(reported))
	}
	for node, versions := range reported {
		if len(versions) != 2 || versions[0] != 0 || versions[1] != 1 {
			t.Errorf("%s reported %v", node, versions)
		}
	}
}

func TestServeHollowRejectsUnreadableInput(t *testing.T) {
	for name, input := range map[string]string{"no specification": "", "no command": "{}\n[]\n"} {
		if err := serveHollow(strings.NewReader(input), io.Discard, startFake); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestServeHollowEndsSessionsWhenOneDoesNotStart(t *testing.T) {
	wrong := errors.New("wrong")
	started := 0
	start := func(spec HollowSpec, node HollowNode, network *Network, observe func(Observation)) (hollowSession, error) {
		if started++; started > 2 {
			return nil, wrong
		}
		return startFake(spec, node, network, observe)
	}
	var out bytes.Buffer
	err := serveHollow(lines(t, HollowSpec{Nodes: SmallTopology.ZoneNodes(0)}), &out, start)
	if !errors.Is(err, wrong) {
		t.Errorf("error %v", err)
	}
	if reports := readReports(t, &out); len(reports) != 4 {
		t.Errorf("%d reports of two sessions that started and ended", len(reports))
	}
}
