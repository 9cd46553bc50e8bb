package peers

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/membership"
)

// Form and bounds of messages. All bounds are in bytes.
const (
	messageVersion = 1    // of the form; messages of another version are dropped
	maxMessage     = 1200 // leaves room for memberlist's headers in a packet of 1400
	maxName        = 128  // of a node or a site
	maxMeta        = 512  // memberlist's own limit for meta data
)

// malformedLogInterval is the shortest time between two log lines about messages that can't be read.
const malformedLogInterval = time.Minute

// Reasons to drop a message. errInvalidName also stands for a list of newer incarnations that is too long.
var (
	errTooLong     = errors.New("too long")
	errVersion     = errors.New("of another version")
	errInvalidName = errors.New("without a name that can be")
)

// MalformedError says that a peer has sent a message that can't be read. It was dropped.
type MalformedError struct {
	Err   error
	Count int64 // of such messages so far
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("a peer sent what can't be read (%v; %d so far), and nothing of it was believed: look whether all nodes run builds that fit", e.Err, e.Count)
}
func (e *MalformedError) Unwrap() error { return e.Err }

// malformedCount is how many messages could not be read.
type malformedCount struct {
	total  int64
	logged time.Time // when it was logged last
}

// nodeMeta is a node's meta data: what memberlist spreads of it beside its name and address.
type nodeMeta struct {
	Start uint64 `json:"s"`
	Nonce uint64 `json:"n"`
	Site  string `json:"w"`
}

// incarnation is the incarnation of the node with a name and this meta data.
func (m nodeMeta) incarnation(name string) membership.Incarnation {
	return membership.Incarnation{Name: name, Start: m.Start, Nonce: m.Nonce}
}

// message carries an announcement. Each node passes on a message that it had not received before.
type message struct {
	Version      int                     `json:"V"`
	Sequence     uint64                  `json:"Seq"` // rises with each message of an incarnation
	Leaving      bool                    `json:"Bye"` // the node ends
	Announcement membership.Announcement `json:"Word"`
}

// validName reports whether a name may be one of a node or a site.
func validName(name string) bool { return name != "" && len(name) <= maxName }

// parseMessage reads a message strictly: one that is too long, of another version or without a name is dropped.
func parseMessage(b []byte) (m message, err error) {
	if len(b) > maxMessage {
		return m, errTooLong
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, err
	}
	if m.Version != messageVersion {
		return m, errVersion
	}
	a := m.Announcement
	if !validName(a.From.Name) || !validName(a.Site) || len(a.Newer) > membership.MaxNewer {
		return m, errInvalidName
	}
	for _, newer := range a.Newer {
		if !validName(newer.Name) {
			return m, errInvalidName
		}
	}
	return m, nil
}

// parseMeta reads meta data strictly, as parseMessage does.
func parseMeta(b []byte) (m nodeMeta, err error) {
	if len(b) > maxMeta {
		return m, errTooLong
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, err
	}
	if !validName(m.Site) {
		return m, errInvalidName
	}
	return m, nil
}

// encode writes a message within its bound. Where there is not enough room, the digests of sites other than the sender's
// are left out, last by name first.
func encode(m message) ([]byte, error) {
	for {
		b, err := json.Marshal(m)
		if err != nil {
			return nil, err
		}
		if len(b) <= maxMessage {
			return b, nil
		}
		last := ""
		for site := range m.Announcement.Digests {
			if site != m.Announcement.Site {
				last = max(last, site)
			}
		}
		if last == "" {
			return nil, errTooLong
		}
		delete(m.Announcement.Digests, last)
	}
}

// enqueueLeaveMessage announces that this node leaves. Later announcements are not sent: in the queues, here and at the nodes
// that forward messages, they would replace the farewell, and the others would call this node failed. The channel is
// closed when the farewell has been sent often enough.
func (c *Cluster) enqueueLeaveMessage() (sent <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	announcement := membership.Announcement{From: c.members.Local(), Site: c.cfg.Site}
	sent = c.enqueue(message{Leaving: true, Announcement: announcement})
	c.leaving = true
	return sent
}

// enqueue queues a message of this node; it replaces an earlier one that still waits. The channel is closed when it has been
// sent often enough. The caller holds mu.
func (c *Cluster) enqueue(m message) (sent <-chan struct{}) {
	if c.leaving {
		return nil
	}
	c.sequence++
	m.Version = messageVersion
	m.Sequence = c.sequence
	b, err := encode(m)
	if err != nil {
		c.log.Error("peers", "err", err)
		return nil
	}
	done := make(chan struct{})
	c.queueBroadcast(&broadcast{m.Announcement.From.Name, b, sync.OnceFunc(func() { close(done) })})
	return done
}

func (c *Cluster) queueBroadcast(b *broadcast) {
	c.queue.QueueBroadcast(b)
	c.queue.Prune(maxQueued)
}

// receive handles a message, and forwards it if it is new.
func (c *Cluster) receive(b []byte) {
	if event := c.receivedEvent(b); event != nil {
		c.step(event)
	}
}

// receivedEvent is the event of a message for package membership; nil if there is none, or nothing new.
func (c *Cluster) receivedEvent(b []byte) membership.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, err := parseMessage(b)
	if err != nil {
		c.countMalformed(err)
		return nil
	}
	from := m.Announcement.From
	if from.Name == c.cfg.Name || m.Sequence <= c.lastSequence[from] {
		return nil
	}
	if len(c.lastSequence) > 2*c.cfg.Limits.MaxMembers {
		clear(c.lastSequence) // mostly of incarnations that have ended; messages of the others are forwarded once more
	}
	c.lastSequence[from] = m.Sequence
	c.queueBroadcast(&broadcast{from.Name, slices.Clone(b), func() {}})
	if !m.Leaving {
		return membership.AnnouncementReceived{Announcement: m.Announcement}
	}
	if len(c.left) > 2*c.cfg.Limits.MaxMembers {
		clear(c.left)
	}
	c.left[from] = true
	if _, reported := c.reported[from.Name]; reported {
		return nil // the failure detector reports it later
	}
	return membership.NodeDead{Incarnation: from, Left: true}
}

// countMalformed counts a message that can't be read. The caller holds mu.
func (c *Cluster) countMalformed(err error) {
	c.malformed.total++
	if time.Since(c.malformed.logged) >= malformedLogInterval {
		c.malformed.logged = time.Now()
		c.log.Warn("peers", "err", &MalformedError{err, c.malformed.total})
	}
}

// broadcast is a message in memberlist's queue.
type broadcast struct {
	from     string
	payload  []byte
	finished func()
}

// Invalidates reports whether this message replaces an earlier one: both are of the same node.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(*broadcast)
	return ok && earlier.from == b.from
}

// Message returns the bytes that are sent.
func (b *broadcast) Message() []byte { return b.payload }

// Finished is called when the message is not sent any more.
func (b *broadcast) Finished() { b.finished() }
