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
	Folder      string                        `json:"folder"` // folder for last known good versions; if empty, nodes store none
	Incarnation int                           `json:"life"`   // increases with each start
	Seed        uint64                        `json:"seed"`
}

// HollowCommand is one of the lines that the process reads after its HollowSpec.
type HollowCommand struct {
	SetUnreachable bool     `json:"set_cut,omitempty"`
	Unreachable    []string `json:"cut,omitempty"`     // with SetUnreachable: the addresses that are unreachable from now on
	Traffic        bool     `json:"traffic,omitempty"` // requests a traffic report
}

// HollowReport is one line that the process writes. Exactly one field is set.
type HollowReport struct {
	Observation *Observation    `json:"observation,omitempty"`
	Watch       *WatchOpened    `json:"watch,omitempty"`
	Traffic     *SessionTraffic `json:"traffic,omitempty"`
}

// WatchOpened reports that a node requested a watch.
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

// reportQueue is how many reports can wait to be written before sessions block. It holds several reports for each node of
// the largest zone, so that reporting does not slow the sessions down.
const reportQueue = 1 << 16

// ServeHollow runs hollow nodes until its input ends: it reads a HollowSpec and then HollowCommands, one JSON object
// each, and writes HollowReports.
func ServeHollow(in io.Reader, out io.Writer) error { return serveHollow(in, out, startConfigSession) }

// serveHollow is ServeHollow with a replaceable function that starts each node's session.
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

// runCommands executes commands until the input ends.
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

// close ends all sessions concurrently, because each may wait for its connections.
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

// writeReports writes reports as they arrive and flushes when none is waiting. After an error it discards the rest: the
// rig, which reads them, has ended and will end this process.
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
