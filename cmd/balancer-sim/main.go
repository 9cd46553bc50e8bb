// Command balancer-sim hosts Balancers on the simulator's wire: batches of events on standard input, one reply for each
// on standard output. It exits with 1, and says why on standard error, when the input can't be read or a Balancer's
// settings are invalid.
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

// run serves batches until the input ends. A reply is written complete or not at all.
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

// host has the Balancers of the simulated instances and gives them their events.
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

// handle takes one message. Events for an instance that is not there are ignored.
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
