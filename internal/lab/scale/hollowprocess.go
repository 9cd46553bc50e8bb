package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
)

// HollowSpec is the first line that a process of hollow nodes reads.
type HollowSpec struct {
	Nodes       []HollowNode                  `json:"nodes"`
	Controllers []configapi.ControllerAddress `json:"controllers"`
	Folder      string                        `json:"folder"` // of last known good versions; "": nodes keep none
	Incarnation int                           `json:"life"`   // rises with each start
	Seed        uint64                        `json:"seed"`
}

// HollowCommand is each further line that the process reads.
type HollowCommand struct {
	SetUnreachable bool     `json:"set_cut,omitempty"`
	Unreachable    []string `json:"cut,omitempty"`     // with SetUnreachable: the addresses that are unreachable from now on
	Traffic        bool     `json:"traffic,omitempty"` // requests a report of it
}

// HollowReport is each line that the process writes. One field is set.
type HollowReport struct {
	Observation *Observation    `json:"observation,omitempty"`
	Watch       *WatchOpened    `json:"watch,omitempty"`
	Traffic     *SessionTraffic `json:"traffic,omitempty"`
}

// WatchOpened is the moment when a node asked for a watch.
type WatchOpened struct {
	Address string `json:"address"`
	AtNS    int64  `json:"at_ns"` // Unix nanoseconds
}

// hollowSession is the control session of one hollow node.
type hollowSession interface{ Close() error }

// sessionStarter starts the session of one hollow node. It reports through observe, from any goroutine.
type sessionStarter func(spec HollowSpec, node HollowNode, network *Network, observe func(Observation)) (hollowSession, error)

// hollowProcess is a process of hollow nodes.
type hollowProcess struct {
	network  *Network
	sessions []hollowSession
	reports  chan HollowReport
	written  sync.WaitGroup
}

// reportQueue is how many reports wait to be written before a session has to wait for the rig: several for each node of
// the largest zone, so that sessions are not slowed by what is measured.
const reportQueue = 1 << 16

// ServeHollow runs hollow nodes until its input ends: it reads a HollowSpec and then HollowCommands, one JSON object
// each, and writes HollowReports.
func ServeHollow(in io.Reader, out io.Writer) error { return serveHollow(in, out, startConfigSession) }

// serveHollow is ServeHollow with a choice of what is started for each node.
func serveHollow(in io.Reader, out io.Writer, start sessionStarter) error {
	commands := json.NewDecoder(in)
	var spec HollowSpec
	if err := commands.Decode(&spec); err != nil {
		return fmt.Errorf("scale: hollow nodes: specification: %w", err)
	}
	process := &hollowProcess{reports: make(chan HollowReport, reportQueue)}
	process.network = NewNetwork(func(address string, at time.Time) {
		process.reports <- HollowReport{Watch: &WatchOpened{address, at.UnixNano()}}
	})
	process.written.Go(func() { writeReports(out, process.reports) })
	err := process.start(spec, start)
	if err == nil {
		err = process.runCommands(commands)
	}
	return errors.Join(err, process.close())
}

// start starts a session for each node.
func (p *hollowProcess) start(spec HollowSpec, start sessionStarter) error {
	observe := func(o Observation) { p.reports <- HollowReport{Observation: &o} }
	for _, node := range spec.Nodes {
		session, err := start(spec, node, p.network, observe)
		if err != nil {
			return fmt.Errorf("scale: hollow node %s: %w", node.Name, err)
		}
		p.sessions = append(p.sessions, session)
	}
	return nil
}

// runCommands carries out commands until the input ends.
func (p *hollowProcess) runCommands(commands *json.Decoder) error {
	for {
		var command HollowCommand
		err := commands.Decode(&command)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("scale: hollow nodes: command: %w", err)
		}
		if command.SetUnreachable {
			p.network.SetUnreachable(command.Unreachable)
		}
		if command.Traffic {
			traffic := p.network.Traffic()
			p.reports <- HollowReport{Traffic: &traffic}
		}
	}
}

// close ends all sessions at once, for each may wait for its connections.
func (p *hollowProcess) close() error {
	p.network.SetUnreachable(nil)
	failures := make([]error, len(p.sessions))
	var closing sync.WaitGroup
	for i, session := range p.sessions {
		closing.Go(func() { failures[i] = session.Close() })
	}
	closing.Wait()
	close(p.reports)
	p.written.Wait()
	return errors.Join(failures...)
}

// writeReports writes reports as they come, many at once where many wait. After an error it discards them: the rig has
// ended and will end this process.
func writeReports(out io.Writer, reports <-chan HollowReport) {
	buffered := bufio.NewWriterSize(out, 1<<16)
	encoder := json.NewEncoder(buffered)
	var failed error
	for report := range reports {
		if failed != nil {
			continue
		}
		failed = encoder.Encode(report)
		if failed == nil && len(reports) == 0 {
			failed = buffered.Flush()
		}
	}
	if failed == nil {
		buffered.Flush()
	}
}
