// Package peers is how nodes reach each other: memberlist (SWIM with Lifeguard's corrections) detects and spreads, this
// package carries what it says to the pure module members and that module's words to the other nodes. It decides nothing.
// Who has a Room reads its View; nothing in it is waited for by a request.
package peers

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"hookwalk.example/hookwalk/members"
)

// Config says who a node is among others.
type Config struct {
	Name, Site string
	Tree       members.Tree
	Listen     string // HOST:PORT, for packets and streams
	Seeds      []string
	KeyFile    string
	Label      string // of the installation: others' messages get in nowhere
	Via        map[string]string
	Starts     Starts
	Limits     members.Limits
}

// Starts keeps the number of a node's start.
type Starts interface {
	Next() (uint64, error)    // one more than the last that was kept; without one, 1. It waits for no force to disk
	Raise(start uint64) error // keeps one; nobody waits for it
}

// The pace of detection: a death is noticed within 2 s at 24 nodes and 4 s at 100.
const (
	probeEvery  = 250 * time.Millisecond
	probeTime   = 150 * time.Millisecond
	gossipEvery = 100 * time.Millisecond
	suspicion   = 3 // times log10 of the nodes, times probeEvery, at least
	syncEvery   = 5 * time.Second
	lookEvery   = 100 * time.Millisecond
	joinTime    = 2 * time.Second
	mostQueue   = 2048 // words on their way
	sayMalform  = time.Minute
)

// JoinError says that a node could not begin to listen for its peers.
type JoinError struct {
	Listen string
	Err    error
}

func (e *JoinError) Error() string {
	return fmt.Sprintf("peers: can't listen at %s: %v: name an address of this machine that nobody uses, for TCP and UDP", e.Listen, e.Err)
}
func (e *JoinError) Unwrap() error { return e.Err }

// Room is a node's place among others, from Join to Close.
type Room struct {
	cfg  Config
	log  *slog.Logger
	wire *wire
	list *memberlist.Memberlist
	size atomic.Int64 // of there
	ring *memberlist.Keyring

	mu      sync.Mutex
	module  *members.Members
	begin   time.Time
	there   map[string]peer         // that the detector has, this node aside
	met     map[string]members.Life // as the module was told of them last
	addrs   map[string]string
	left    map[members.Life]bool // that said so
	heard   map[members.Life]uint64
	seq     uint64
	bad     int64
	badSaid time.Time
	queue   memberlist.TransmitLimitedQueue
	changed chan struct{} // closed and made anew at each change of the view

	look  chan struct{}
	asks  chan string
	stop  context.CancelFunc
	ended sync.WaitGroup
}

// Join begins to listen and to look for the seeds. It returns at once; who is there shows in the View.
func Join(cfg Config, logger *slog.Logger) (*Room, error) {
	host, portText, err := net.SplitHostPort(cfg.Listen)
	if err != nil {
		return nil, &JoinError{cfg.Listen, err}
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, &JoinError{cfg.Listen, err}
	}
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.Listen) // the library's error does not say that an address is taken
	if err != nil {
		return nil, &JoinError{cfg.Listen, err}
	}
	ln.Close()
	start, err := cfg.Starts.Next()
	if err != nil { // a disk that can't be read: the peers know the number, if there was one
		logger.Warn("peers: the number of this start is not known", "err", err)
	}
	var nonce [8]byte
	rand.Read(nonce[:])
	me := members.Life{Name: cfg.Name, Start: start, Nonce: binary.LittleEndian.Uint64(nonce[:])}
	if cfg.Limits == (members.Limits{}) {
		cfg.Limits = members.Usual()
	}
	module, err := members.New(me, cfg.Site, cfg.Tree, cfg.Limits, me.Nonce)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	r := &Room{cfg: cfg, log: logger, module: module, begin: time.Now(), there: map[string]peer{}, met: map[string]members.Life{}, addrs: map[string]string{},
		left: map[members.Life]bool{}, heard: map[members.Life]uint64{}, changed: make(chan struct{}),
		look: make(chan struct{}, 1), asks: make(chan string, 64)}
	quiet := log.New(io.Discard, "", 0) // what matters of it shows in the view
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: quiet})
	if err != nil {
		return nil, &JoinError{cfg.Listen, err}
	}
	r.wire = &wire{NetTransport: transport, via: cfg.Via}
	if r.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		transport.Shutdown()
		return nil, &KeyError{cfg.KeyFile, err}
	}
	r.queue = memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: r.known}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport, c.Keyring, c.Logger = cfg.Name, cfg.Label, r.wire, r.ring, quiet
	c.AdvertiseAddr, c.AdvertisePort = host, transport.GetAutoBindPort()
	if port != 0 {
		c.AdvertisePort = port
	}
	c.BindAddr, c.BindPort = host, c.AdvertisePort
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.SuspicionMult, c.PushPullInterval = probeEvery, probeTime, gossipEvery, suspicion, syncEvery
	c.TCPTimeout, c.DeadNodeReclaimTime, c.GossipToTheDeadTime = joinTime, time.Millisecond, 10*time.Second
	c.Delegate, c.Events, c.Conflict = delegate{r}, events{r}, conflict{r}
	if r.list, err = memberlist.Create(c); err != nil {
		transport.Shutdown()
		return nil, &JoinError{cfg.Listen, err}
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.ended.Go(func() { r.watch(ctx) })
	r.ended.Go(func() { r.reach(ctx) })
	return r, nil
}

// Addr is where this node listens for its peers.
func (r *Room) Addr() string { return r.list.LocalNode().Address() }

// known is how many nodes the detector has.
func (r *Room) known() int { return int(r.size.Load()) + 1 }

// now is the module's clock: it stands still with the machine's processes, not with a set clock.
func (r *Room) now() time.Duration { return time.Since(r.begin) }

// watch ticks, compares what the detector has with what the module was told, and notices stalls of this process.
func (r *Room) watch(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := r.now()
	for {
		select {
		case <-tick.C:
		case <-r.look:
		case <-ctx.Done():
			return
		}
		now := r.now()
		if slept := now - last - lookEvery; slept >= r.cfg.Limits.Patience {
			r.step(members.Slept{For: slept})
		}
		last = now
		r.compare()
		r.step(members.Tick{})
	}
}

// compare tells the module what the detector has by now. That is all of it, each time: nothing that was told is lost.
func (r *Room) compare() {
	r.mu.Lock()
	var news []members.Event
	for name, p := range r.there {
		m, err := parseMeta(p.meta)
		if err != nil {
			r.malformed(err)
			continue
		}
		l := m.life(name)
		r.met[name], r.addrs[name] = l, p.addr
		news = append(news, members.Found{Life: l, Site: m.Site, By: "the detector"})
	}
	for name, l := range r.met {
		if _, there := r.there[name]; !there {
			news = append(news, members.Lost{Life: l, By: "the detector", Left: r.left[l]})
			delete(r.met, name)
		}
	}
	r.mu.Unlock()
	for _, e := range news {
		r.step(e)
	}
}

// step gives an event to the module and carries out what it answers.
func (r *Room) step(e members.Event) {
	r.mu.Lock()
	before := r.module.Revision()
	actions := r.module.Step(r.now(), e)
	turned := r.module.Revision() != before
	var raised *members.Life
	for _, a := range actions {
		switch a := a.(type) {
		case members.Say:
			r.seq++
			r.send(note{V: noteVersion, Seq: r.seq, Word: a.Word})
		case members.Ask:
			if addr := r.addrs[a.Name]; addr != "" {
				select {
				case r.asks <- addr:
				default: // it is asked again
				}
			}
		case members.Raise:
			raised = &a.Life
		case members.Turn:
			turned = true
			r.log.Info("among its peers this node", "was", a.From.String(), "is", a.To.String())
		case members.Warn:
			r.log.Warn("peers", "err", a.Err)
		}
	}
	if turned {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
	if raised != nil {
		r.ended.Go(func() { // the disk and the peers' answers are waited for aside
			if err := r.cfg.Starts.Raise(raised.Start); err != nil {
				r.log.Warn("peers: the number of this start is not on disk", "err", err)
			}
			r.list.UpdateNode(joinTime) // an error says that nobody has confirmed it yet
		})
	}
}

// send puts a note on its way; one of the same life before it need not go on. The caller holds mu. Views that have no
// room are left out, those of the sites last by name first.  It is closed when the note has been sent often enough.
func (r *Room) send(n note) (gone <-chan struct{}) {
	for {
		b, err := json.Marshal(n)
		if err != nil {
			r.log.Error("peers", "err", err)
			return nil
		}
		if len(b) <= mostNote {
			sent := make(chan struct{})
			r.queue.QueueBroadcast(&broadcast{n.Word.From.Name, b, sync.OnceFunc(func() { close(sent) })})
			r.queue.Prune(mostQueue)
			return sent
		}
		last := ""
		for site := range n.Word.Views {
			if site != n.Word.Site {
				last = max(last, site)
			}
		}
		if last == "" {
			return nil
		}
		delete(n.Word.Views, last)
	}
}

// take hears a note, and hands it on if it is new.
func (r *Room) take(b []byte) {
	n, err := parseNote(b)
	r.mu.Lock()
	if err != nil {
		r.malformed(err)
		r.mu.Unlock()
		return
	}
	news := n.Word.From.Name != r.cfg.Name && n.Seq > r.heard[n.Word.From]
	if news {
		if len(r.heard) > 2*r.cfg.Limits.Most {
			clear(r.heard) // lives that are over; those that are not are heard again
		}
		r.heard[n.Word.From] = n.Seq
		r.queue.QueueBroadcast(&broadcast{n.Word.From.Name, slices.Clone(b), func() {}})
		r.queue.Prune(mostQueue)
	}
	if _, there := r.met[n.Word.From.Name]; news && n.Bye {
		if len(r.left) > 2*r.cfg.Limits.Most {
			clear(r.left)
		}
		r.left[n.Word.From] = true
		news = !there // else the detector's word is waited for
	}
	r.mu.Unlock()
	switch {
	case news && n.Bye:
		r.step(members.Lost{Life: n.Word.From, By: n.Word.From.Name, Left: true})
	case news:
		r.step(members.Heard{Word: n.Word})
	}
}

// malformed counts what can't be read; the log says so once a minute at most. The caller holds mu.
func (r *Room) malformed(err error) {
	r.bad++
	if time.Since(r.badSaid) >= sayMalform {
		r.badSaid = time.Now()
		r.log.Warn("peers", "err", &MalformedError{err, r.bad})
	}
}

// reach looks for the seeds until somebody is there, and for members that have failed, one after another.
func (r *Room) reach(ctx context.Context) {
	wait := 100 * time.Millisecond
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case addr := <-r.asks:
			r.list.Join([]string{addr}) // an error says that it is still away
		case <-again.C:
			if r.known() > 1 {
				wait = 100 * time.Millisecond
				again.Reset(time.Second)
				continue
			}
			for _, s := range r.cfg.Seeds {
				if s != r.cfg.Listen {
					r.list.Join([]string{s})
				}
				if ctx.Err() != nil {
					return
				}
			}
			again.Reset(wait)
			wait = min(2*wait, 2*time.Second)
		case <-ctx.Done():
			return
		}
	}
}

// Rekey reads the key file again: its keys are in force at once, others no longer.
func (r *Room) Rekey() error {
	keys, err := ReadKeys(r.cfg.KeyFile)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if err := r.ring.AddKey(k); err != nil {
			return &KeyError{r.cfg.KeyFile, err}
		}
	}
	if err := r.ring.UseKey(keys[0]); err != nil {
		return &KeyError{r.cfg.KeyFile, err}
	}
	for _, old := range r.ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return slices.Equal(k, old) }) {
			r.ring.RemoveKey(old)
		}
	}
	return nil
}

// View is what a node knows of its peers at a moment.
type View struct {
	Self    string
	Me      members.Life
	Site    string
	Digest  string
	Sites   map[string]members.Count
	Members []MemberView
	Sent    int64  // bytes in packets since the start
	Packets int64  // sent since the start
	Streams int64  // bytes both ways since the start, on the streams that this node opened
	Bad     int64  // messages that could not be read
	Failed  uint64 // times that a member was taken for failed
}

// MemberView is one member.
type MemberView struct {
	Name, Site, State string
	Start             uint64
	ForMS             int64 // it has been so
}

// View reads it.
func (r *Room) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Self: r.module.Self().String(), Me: r.module.Me(), Site: r.cfg.Site, Digest: fmt.Sprintf("%016x", r.module.Digest()),
		Sites: r.module.Sites(), Sent: r.wire.bytes.Load(), Packets: r.wire.packets.Load(), Streams: r.wire.streams.Load(), Bad: r.bad, Failed: r.module.Failures()}
	for _, m := range r.module.List() {
		v.Members = append(v.Members, MemberView{m.Name, m.Site, m.State.String(), m.Start, (r.now() - m.Since).Milliseconds()})
	}
	return v
}

// May says what this node may do at this moment.
func (r *Room) May(a members.Act) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.module.Self().May(a)
}

// Changed is closed when the view is another than now.
func (r *Room) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Leave tells the others that this node ends; they need not suspect it.
func (r *Room) Leave(within time.Duration) error {
	r.mu.Lock()
	r.seq++
	gone := r.send(note{V: noteVersion, Seq: r.seq, Bye: true, Word: members.Word{From: r.module.Me(), Site: r.cfg.Site}})
	r.mu.Unlock()
	select { // the note is on its way with the gossip that is due
	case <-gone:
	case <-time.After(within / 2):
	}
	if err := r.list.Leave(within); err != nil {
		return fmt.Errorf("peers: the others may take this node for failed: %w", err)
	}
	return nil
}

// Close ends the Room without a word.
func (r *Room) Close() {
	r.stop()
	r.list.Shutdown()
	r.ended.Wait()
}

// broadcast is a note in the queue.
type broadcast struct {
	from string
	b    []byte
	gone func()
}

// Invalidates says that a younger note of the same node goes instead.
func (b *broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*broadcast)
	return ok && other.from == b.from
}

// Message is what is sent.
func (b *broadcast) Message() []byte { return b.b }

// Finished is when it is not sent any more.
func (b *broadcast) Finished() { b.gone() }

// delegate is what the library asks.
type delegate struct{ r *Room }

// NodeMeta is what this node tells of itself.
func (d delegate) NodeMeta(limit int) []byte {
	d.r.mu.Lock()
	defer d.r.mu.Unlock()
	me := d.r.module.Me()
	b, err := json.Marshal(meta{me.Start, me.Nonce, d.r.cfg.Site})
	if err != nil || len(b) > limit {
		return nil
	}
	return b
}

// NotifyMsg brings a note.
func (d delegate) NotifyMsg(b []byte) { d.r.take(slices.Clone(b)) }

// GetBroadcasts gives notes their way.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.r.queue.GetBroadcasts(overhead, limit)
}

// LocalState and MergeRemoteState: the library's own lists are enough.
func (d delegate) LocalState(bool) []byte        { return nil }
func (d delegate) MergeRemoteState([]byte, bool) {}

// events keep what the detector has: its own list may be read only while it calls here. It holds its lock meanwhile, so
// nothing that holds mu may call it.
type events struct{ r *Room }

// peer is a node as the detector has it.
type peer struct {
	addr string
	meta []byte
}

func (e events) note(n *memberlist.Node, there bool) {
	if n.Name == e.r.cfg.Name {
		return
	}
	e.r.mu.Lock()
	defer e.r.mu.Unlock()
	if there {
		e.r.there[n.Name] = peer{n.Address(), slices.Clone(n.Meta)}
	} else {
		delete(e.r.there, n.Name)
	}
	e.r.size.Store(int64(len(e.r.there)))
	select {
	case e.r.look <- struct{}{}:
	default:
	}
}

// NotifyJoin is a node that is there.
func (e events) NotifyJoin(n *memberlist.Node) { e.note(n, true) }

// NotifyUpdate is one that tells something new of itself.
func (e events) NotifyUpdate(n *memberlist.Node) { e.note(n, true) }

// NotifyLeave is one that is gone. Whether it left or failed the library does not tell: leaving has a note of its own.
func (e events) NotifyLeave(n *memberlist.Node) { e.note(n, false) }

// conflict is another node that uses a name.
type conflict struct{ r *Room }

// NotifyConflict tells the module of another life of a name that is there.
func (c conflict) NotifyConflict(_, other *memberlist.Node) {
	m, err := parseMeta(other.Meta)
	if err != nil {
		c.r.mu.Lock()
		defer c.r.mu.Unlock()
		c.r.malformed(err)
		return
	}
	if sane(other.Name) { // the library goes on with the one that it has: the module hears of both
		go c.r.step(members.Found{Life: m.life(other.Name), Site: m.Site, By: "the detector"})
	}
}
