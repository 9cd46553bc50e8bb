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

// Version and bounds of messages. All bounds are in bytes.
const (
	messageVersion = 1    // of the message format; messages of another version are dropped
	maxMessage     = 1200 // leaves room for memberlist's headers in a packet of 1400 bytes
	maxName        = 128  // of a node or a site
	maxMeta        = 512  // memberlist's limit for meta data
)

// malformedLogInterval is the shortest time between two log lines about malformed messages.
const malformedLogInterval = time.Minute

// Reasons to drop a message or meta data. errTooLong also means that a message can't be encoded within maxMessage bytes.
var (
	errTooLong     = errors.New("message or meta data too long")
	errVersion     = errors.New("unsupported message version")
	errInvalidName = errors.New("invalid node or site name, or too many newer incarnations")
)

// MalformedError means that a malformed message, or malformed meta data, of a peer was dropped.
type MalformedError struct {
	Err   error
	Count int64 // malformed messages and meta data so far
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed data from a peer was dropped (%v; %d so far): check that all nodes run compatible builds", e.Err, e.Count)
}

// Unwrap returns what is wrong with the message.
func (e *MalformedError) Unwrap() error { return e.Err }

// malformedCount counts malformed messages and meta data.
type malformedCount struct {
	total  int64
	logged time.Time // when one was last logged
}

// nodeMeta is a node's meta data, which memberlist spreads along with its name and address.
type nodeMeta struct {
	Start uint64 `json:"s"`
	Nonce uint64 `json:"n"`
	Site  string `json:"w"`
}

// incarnation returns the incarnation of the node that has the given name and this meta data.
func (m nodeMeta) incarnation(name string) membership.Incarnation {
	return membership.Incarnation{Name: name, Start: m.Start, Nonce: m.Nonce}
}

// message carries an announcement. Each node forwards a message that it receives for the first time.
type message struct {
	Version      int                     `json:"V"`
	Sequence     uint64                  `json:"Seq"` // increases with each message of an incarnation
	Leaving      bool                    `json:"Bye"` // the node leaves the cluster
	Announcement membership.Announcement `json:"Word"`
}

// validName reports whether a name is a valid name of a node or a site.
func validName(name string) bool { return name != "" && len(name) <= maxName }

// parseMessage decodes a message. It returns an error for a message that is too long, of another version, without a valid
// name, or with too many newer incarnations.
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

// parseMeta decodes meta data. It returns an error if the data is too long or has no valid site name.
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

// encode returns a message in JSON, with at most maxMessage bytes. If it would be longer, encode omits digests of sites other
// than the sender's, in descending order of their names.
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

// enqueueLeaveMessage queues a message that announces that this node leaves. Later announcements are not sent: they would
// replace the leave message in the queues of this node and of the nodes that forward it, and the other nodes would declare
// this node failed. The channel is closed when the message has been sent often enough.
func (c *Cluster) enqueueLeaveMessage() (sent <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	announcement := membership.Announcement{From: c.members.Local(), Site: c.cfg.Site}
	sent = c.enqueue(message{Leaving: true, Announcement: announcement})
	c.leaving = true
	return sent
}

// enqueue queues a message of this node. It replaces an earlier message that is still queued. The channel is closed when the
// message has been sent often enough; it is nil if no message was queued. The caller holds mu.
func (c *Cluster) enqueue(m message) (sent <-chan struct{}) {
	if c.leaving {
		return nil
	}
	c.sequence++
	m.Version = messageVersion
	m.Sequence = c.sequence
	b, err := encode(m)
	if err != nil {
		c.log.Error("message to peers not sent", "err", err)
		return nil
	}
	done := make(chan struct{})
	c.queueBroadcast(&broadcast{m.Announcement.From.Name, b, sync.OnceFunc(func() { close(done) })})
	return done
}

// queueBroadcast queues a message and limits the queue to maxQueued messages.
func (c *Cluster) queueBroadcast(b *broadcast) {
	c.queue.QueueBroadcast(b)
	c.queue.Prune(maxQueued)
}

// receive handles a message and forwards it if it is new.
func (c *Cluster) receive(b []byte) {
	if event := c.receivedEvent(b); event != nil {
		c.step(event)
	}
}

// receivedEvent queues a new message for forwarding and returns its event for package membership, or nil if it has none.
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
		clear(c.lastSequence) // most entries are of ended incarnations; messages of running ones may be forwarded once more
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

// countMalformed counts a malformed message or malformed meta data, and logs it at most once per malformedLogInterval. The
// caller holds mu.
func (c *Cluster) countMalformed(err error) {
	c.malformed.total++
	if time.Since(c.malformed.logged) >= malformedLogInterval {
		c.malformed.logged = time.Now()
		c.log.Warn("malformed data from peers", "err", &MalformedError{err, c.malformed.total})
	}
}

// broadcast is a message in memberlist's queue.
type broadcast struct {
	from     string
	payload  []byte
	finished func()
}

// Invalidates reports whether this message replaces an earlier one, which is the case if both are of the same node.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(*broadcast)
	return ok && earlier.from == b.from
}

// Message returns the encoded message.
func (b *broadcast) Message() []byte { return b.payload }

// Finished is called when the message will not be sent any more.
func (b *broadcast) Finished() { b.finished() }
