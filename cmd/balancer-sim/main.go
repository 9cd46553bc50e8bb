// Command balancer-sim hosts Balancers for the simulator. It reads batches of events from standard input and writes one
// reply per batch to standard output. If the input can't be read or the settings of a Balancer are invalid, it writes
// the cause to standard error and exits with status 1.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "balancer-sim: %v\n", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. It writes each reply completely or not at all.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(in)
	h := newHost(out)
	for {
		message, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(message); err != nil {
			return err
		}
	}
}

// host holds the Balancers of the simulated instances and gives them their events.
type host struct {
	out       io.Writer
	reply     *bytes.Buffer // of the current batch
	encoder   *simwire.Encoder
	balancers map[int]*balancer.Balancer // by instance
	now       time.Duration              // of the current batch
}

func newHost(out io.Writer) *host {
	reply := &bytes.Buffer{}
	return &host{
		out:       out,
		reply:     reply,
		encoder:   simwire.NewEncoder(reply),
		balancers: map[int]*balancer.Balancer{},
	}
}

// handle processes one message. It ignores events for an instance that has not been started or was killed.
func (h *host) handle(message simwire.Message) error {
	switch message.Kind {
	case simwire.BatchStarted:
		h.now = message.Now
	case simwire.InstanceStarted:
		b, err := balancer.New(message.Settings, message.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: %w", message.Instance, simwire.WithObjectKey(err))
		}
		h.balancers[message.Instance] = b
	case simwire.InstanceKilled:
		delete(h.balancers, message.Instance)
	case simwire.EventReceived:
		if b := h.balancers[message.Instance]; b != nil {
			for _, action := range b.Handle(h.now, message.Event) {
				h.encoder.Action(message.Instance, action)
			}
		}
	case simwire.Ignored:
	case simwire.BatchEnded:
		return h.sendReply()
	}
	return nil
}

// sendReply writes the reply to the current batch.
func (h *host) sendReply() error {
	if err := h.encoder.Flush(); err != nil {
		return err
	}
	_, err := h.reply.WriteTo(h.out)
	return err
}
