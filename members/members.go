// Package members makes of what a failure detector says a view: who is there, how sure that is, and what a node may
// conclude from it. It is pure, as raft's Step is: events go in with the time at which they happened, actions come out;
// it sends, stores and waits for nothing. The host (internal/peers) brings what the detector and other nodes say and
// carries out the actions; chains and handovers read the view.
//
// The rule is one-sided: a node that does not agree with a majority of those who concern it may take less on itself and
// give up what it granted, never more.
package members

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Life is one run of a node. A node that comes back is another life, and what is said of the one before is no news.
type Life struct {
	Name  string
	Start uint64 // the number of the start: it rises with each, and is kept on disk
	Nonce uint64 // drawn at each start: it tells lives apart that claim one number
}

// After says that a life claims to be younger.
func (l Life) After(o Life) bool { return l.Start > o.Start }

// State is what a member is to one node.
type State int

// States of a member.
const (
	Here    State = iota
	Suspect       // the detector waits for a sign of life
	Failed
	Left // it said so
)

func (s State) String() string { return [...]string{"here", "suspected", "failed", "left"}[s] }

// there says that a member counts as running.
func (s State) there() bool { return s <= Suspect }

// Member is what is known of one.
type Member struct {
	Life
	Site  string
	State State
	Since time.Duration
	By    string // who told

	asked   time.Duration // a failed one: when it was last asked whether it is back
	wait    time.Duration
	spoke   bool // this life has said a word itself
	offered Life // the detector has this one by now, which claims to be older
}

// Self is what a node is, as far as it can tell.
type Self int

// What a node is.
const (
	Joining  Self = iota // it has not agreed with anybody yet
	Agreed               // a majority of its own site's and its parent's known members has the same view
	Disputed             // they are there, and have another view; or this node has only just woken up
	CutOff               // it reaches only a minority
	Alone                // it reaches nobody
)

func (s Self) String() string {
	return [...]string{"joining", "agreed", "disputed", "cut off", "alone"}[s]
}

// Act is something that follows from a view.
type Act int

// Acts.
const (
	Keep     Act = iota // what was adopted before stays in force
	Withdraw            // a grant is taken back, a share made smaller
	Release             // clients are sent where a grant still lets them
	Grant               // something new is taken on, or promised
	Adopt               // another version of the chains is put in force
)

// May says what a node may do as what it is.
func (s Self) May(a Act) bool {
	switch a {
	case Keep, Withdraw:
		return true
	case Release: // it puts load on others, within what these granted; a node that knows nothing yet has no grants
		return s != Joining
	}
	return s == Agreed
}

// Limits are times and bounds. Their zero values are replaced by Usual's.
type Limits struct {
	Dispute  time.Duration // views may differ so long before that means something
	Patience time.Duration // a stall of one's own of so long is one that others have seen
	Repeat   time.Duration // a word is said again so often
	Stale    time.Duration // and is of no weight so long after
	Remember time.Duration // a failed member
	Ask      time.Duration // the first time that a failed one is asked whether it is back; then twice as long, up to
	AskMost  time.Duration
	Most     int // members in all: beyond that the one that failed longest ago is forgotten
}

// Usual are the limits that fit the detector's usual pace: it notices a death within 2 s.
func Usual() Limits {
	return Limits{Dispute: 2 * time.Second, Patience: time.Second, Repeat: 5 * time.Second, Stale: 16 * time.Second,
		Remember: time.Hour, Ask: time.Second, AskMost: 15 * time.Second, Most: 4096}
}

// Word is what a node tells of its view to those whom it concerns.
type Word struct {
	From   Life
	Site   string
	Views  map[string]uint64 // by site: the digest of who is there, of it and of its parent
	Claims []Life            // lives that are known to be as young, of nodes that came back with an older number
	Wants  bool              // the sender has no words to go by: those whom it concerns are to say theirs
}

// MostClaims is how many of these a word may have.
const MostClaims = 8

// Event is something that happened.
type Event interface{ event() }

// Events.
type (
	Found struct { // the detector has met a life, or met it again
		Life
		Site string
		By   string
	}
	Doubted struct{ Life } // it suspects one
	Lost    struct {       // it has given one up, or the member said that it leaves
		Life
		By   string
		Left bool
	}
	Heard struct{ Word }
	Slept struct{ For time.Duration } // this process stood still for so long
	Tick  struct{}
)

func (Found) event()   {}
func (Doubted) event() {}
func (Lost) event()    {}
func (Heard) event()   {}
func (Slept) event()   {}
func (Tick) event()    {}

// Action is something for the host to do.
type Action interface{ action() }

// Actions.
type (
	Say   struct{ Word }        // to all whom it concerns
	Ask   struct{ Name string } // try to reach it at the address that it had
	Raise struct{ Life }        // this node's life from now on: its number is to be stored, and told by the detector
	Turn  struct{ From, To Self }
	Warn  struct{ Err error }
)

func (Say) action()   {}
func (Ask) action()   {}
func (Raise) action() {}
func (Turn) action()  {}
func (Warn) action()  {}

// DoubledError says that two running nodes use one name.
type DoubledError struct{ Mine, Other Life }

func (e *DoubledError) Error() string {
	return fmt.Sprintf("another node runs as %s (start %d, this one %d): this one grants nothing while that lasts; give one of them another name", e.Mine.Name, e.Other.Start, e.Mine.Start)
}

// OlderError says that this node's number had gone back: its disk forgot, or lies.
type OlderError struct{ Had, Now uint64 }

func (e *OlderError) Error() string {
	return fmt.Sprintf("the peers know a later start of this node than its folder (%d): it goes on as start %d; if the folder is meant to last, look at its disk", e.Had, e.Now)
}

// UnknownSiteError says that a member names a site that the settings do not have.
type UnknownSiteError struct {
	Name, Site string
}

func (e *UnknownSiteError) Error() string {
	return fmt.Sprintf("member %s says that it is of site %q, which these settings do not have: it is left out; give all nodes the same sites", e.Name, e.Site)
}

// Tree has each site's parent; "" is above the root.
type Tree map[string]string

// Check says what is wrong with a tree.
func (t Tree) Check() error {
	for site := range t {
		seen := map[string]bool{}
		for at := site; at != ""; at = t[at] {
			if _, ok := t[at]; !ok {
				return fmt.Errorf("site %s has the parent %q, which is no site", site, at)
			}
			if seen[at] {
				return fmt.Errorf("site %s is its own parent's parent", site)
			}
			seen[at] = true
		}
	}
	return nil
}

// children are the sites directly below one.
func (t Tree) children(site string) (list []string) {
	for s, p := range t {
		if p == site {
			list = append(list, s)
		}
	}
	slices.Sort(list)
	return list
}

// Members is one node's view. Make one with New.
type Members struct {
	me   Life
	site string
	tree Tree
	Limits
	rng *rand.Rand

	members map[string]*Member
	floor   map[string]uint64 // numbers that are claimed for names, above what was met
	words   map[string]*word
	now     time.Duration
	out     []Action

	self    Self
	settled bool          // it has agreed once in this life
	differs time.Duration // since when a majority has not; 0: it has
	said    time.Duration // the last word, and its views
	views   map[string]uint64
	twin    Life // another node of this name; the zero Life: there is none
	twinned time.Duration
	wants   bool // this node has nothing to go by
	cached  map[string]uint64
	same    bool   // as long as no member has changed
	rev     uint64 // rises with each change of a member

	failures uint64
	off      guard
	claimed  map[string]time.Duration
}

// word is the last one heard of a life.
type word struct {
	Word
	at time.Duration
}

// guard is one of the checks that messages of another life, or of a liar, are held to. Tests take one out at a time.
type guard int

const (
	guardLost  guard = 1 << iota // an end is of the life that it names
	guardOlder                   // a younger life is not displaced by an older one
	guardWord                    // a word is of the life that is there
	guardSlept                   // what was heard before a stall is of no weight after it
	guardRaise                   // a node that came back with an old number goes above
	guardTwin                    // a settled node does not fight over its name
	guardFar                     // a claim far above what is known is not believed
	guardStale                   // a word of long ago is of no weight
	guards     = iota
)

// holds says that a check is made.
func (m *Members) holds(g guard) bool { return m.off&g == 0 }

// ErrNoSite says that a node's own site is not in the tree.
var ErrNoSite = errors.New("the node's own site is not one of the sites")

// New is the view of a node that begins: it knows itself.
func New(me Life, site string, tree Tree, limits Limits, seed uint64) (*Members, error) {
	if err := tree.Check(); err != nil {
		return nil, err
	}
	if _, ok := tree[site]; !ok {
		return nil, ErrNoSite
	}
	return &Members{me: me, site: site, tree: tree, Limits: limits, rng: rand.New(rand.NewPCG(seed, 0x3e3b)),
		wants: true, members: map[string]*Member{}, floor: map[string]uint64{}, words: map[string]*word{}, claimed: map[string]time.Duration{}}, nil
}

// Step takes one event and returns what to do, in order.
func (m *Members) Step(now time.Duration, e Event) []Action {
	m.now, m.out = max(m.now, now), nil
	switch e := e.(type) {
	case Found:
		rev := m.rev
		if m.found(e); m.rev == rev { // as it was: with many members that is what most reports say
			return m.out
		}
	case Doubted:
		if k := m.members[e.Name]; k != nil && k.Life == e.Life && k.State == Here {
			m.turn(k, Suspect, "")
		}
	case Lost:
		m.lost(e)
	case Heard:
		m.heard(e.Word)
	case Slept:
		if e.For >= m.Patience { // what others said before it is of a time in which this node may have been dead to them
			if m.holds(guardSlept) {
				clear(m.words)
				m.differs, m.wants, m.said = max(m.now-m.Dispute, 1), true, 0
				m.become(Disputed)
			}
		}
	}
	m.review()
	return m.out
}

func (m *Members) do(a Action) { m.out = append(m.out, a) }

// touch notes that a member has changed.
func (m *Members) touch() {
	m.same = false
	m.rev++
}

func (m *Members) turn(k *Member, s State, by string) {
	m.touch()
	k.State, k.Since, k.By = s, m.now, by
	if s == Failed {
		m.failures++
		k.asked, k.wait = m.now, m.Ask
	}
}

// found takes in that a life runs.
func (m *Members) found(e Found) {
	if e.Name == m.me.Name {
		m.namesake(e.Life)
		return
	}
	if _, ok := m.tree[e.Site]; !ok {
		m.do(Warn{&UnknownSiteError{e.Name, e.Site}})
		return
	}
	k := m.members[e.Name]
	switch {
	case k == nil && e.Start < m.floor[e.Name]:
		m.claim(Life{e.Name, m.floor[e.Name], 0})
	case k == nil:
		m.touch()
		m.members[e.Name] = &Member{Life: e.Life, Site: e.Site, State: Here, Since: m.now, By: e.By}
		m.bound()
	case k.Life == e.Life:
		if k.Site != e.Site {
			m.touch()
			k.Site = e.Site
		}
		if k.State != Here && k.State != Left { // who has left is another life when it comes back
			m.turn(k, Here, e.By)
		}
	case m.holds(guardFar) && e.Start > k.Start && e.Start-k.Start > farthest:
	case e.Life.After(k.Life) && e.Start >= m.floor[e.Name] || !m.holds(guardOlder):
		m.touch()
		*k = Member{Life: e.Life, Site: e.Site, State: Here, Since: m.now, By: e.By}
		delete(m.words, e.Name)
	default: // it claims a number that was another life's, or an older one: the one who claims it must take a higher
		k.offered = e.Life
		m.claim(Life{e.Name, max(k.Start, m.floor[e.Name]), k.Nonce})
	}
}

// claim tells a node that came back that its number is not its own. Once a second is enough.
func (m *Members) claim(l Life) {
	if at, ok := m.claimed[l.Name]; ok && m.now-at < time.Second {
		return
	}
	m.claimed[l.Name] = m.now
	m.say(l)
}

// namesake is another life of this node's name: the one before, as others remember it, or a node that runs.
func (m *Members) namesake(l Life) {
	switch {
	case l.Nonce == m.me.Nonce: // this very life, under the number that it had, or one that somebody got wrong
	case l.Start < m.me.Start || m.holds(guardFar) && l.Start-m.me.Start > farthest:
	case !m.holds(guardRaise):
	case !m.settled || !m.holds(guardTwin): // nobody has agreed with this one yet: it is the one that gives way, by going above
		had := m.me.Start
		m.touch()
		m.me.Start = l.Start + 1
		m.do(Raise{m.me})
		m.do(Warn{&OlderError{had, m.me.Start}})
	case l.Start > m.me.Start:
		if m.twinned = m.now; m.twin != l {
			m.twin = l
			m.do(Warn{&DoubledError{m.me, l}})
		}
	}
}

// lost takes in that a life has ended. One that is not the known one says nothing of it.
func (m *Members) lost(e Lost) {
	if e.Name == m.twin.Name && e.Nonce == m.twin.Nonce {
		m.twin = Life{}
	}
	k := m.members[e.Name]
	if k == nil || k.Life != e.Life && m.holds(guardLost) || k.State == Left || k.State == Failed && !e.Left {
		return
	}
	delete(m.words, e.Name)
	if e.Left {
		m.turn(k, Left, e.By)
		return
	}
	m.turn(k, Failed, e.By)
}

// heard takes a word, if it is of a life that is there.
func (m *Members) heard(w Word) {
	for _, l := range w.Claims[:min(len(w.Claims), MostClaims)] {
		if l.Name == m.me.Name {
			m.namesake(l)
		} else if k := m.members[l.Name]; k != nil && l.Start > k.Start {
			if l.Start-k.Start <= farthest || !m.holds(guardFar) {
				m.floor[l.Name] = max(m.floor[l.Name], l.Start)
			}
		}
	}
	k := m.members[w.From.Name]
	if k != nil && k.offered == w.From && m.now-k.Since >= m.Dispute && (!k.spoke || m.silent(k)) {
		// The younger life never said a word, or says none any more, and the one that the detector has does.
		m.touch()
		*k = Member{Life: w.From, Site: k.Site, State: Here, Since: m.now, By: w.From.Name}
		delete(m.floor, w.From.Name)
	}
	if k == nil || (k.Life != w.From || k.State >= Failed) && m.holds(guardWord) {
		return
	}
	if w.Wants && m.now-m.said >= time.Second {
		m.said = 0
	}
	k.spoke = k.spoke || k.Life == w.From
	m.words[w.From.Name] = &word{w, m.now}
}

// silent says that a member has said nothing for so long that its last word is of no weight.
func (m *Members) silent(k *Member) bool {
	w := m.words[k.Name]
	return w == nil || m.now-w.at >= m.Stale
}

// farthest is how far above a known number a claim is believed: a liar must not use up the numbers, nor keep a node out.
const farthest = 1 << 20

// bound forgets the member that failed or left longest ago where there are too many.
func (m *Members) bound() {
	for len(m.members) > m.Most {
		var oldest *Member
		for _, k := range m.members {
			if k.State >= Failed && (oldest == nil || k.Since < oldest.Since || k.Since == oldest.Since && k.Name < oldest.Name) {
				oldest = k
			}
		}
		if oldest == nil {
			return
		}
		m.forget(oldest.Name)
	}
}

func (m *Members) forget(name string) {
	m.touch()
	delete(m.members, name)
	delete(m.floor, name)
	delete(m.words, name)
	delete(m.claimed, name)
}

// concern are the known members of a site and its parent, this node aside.
func (m *Members) concern(site string) (list []*Member) {
	for _, k := range m.members {
		if k.State != Left && (k.Site == site || k.Site == m.tree[site]) {
			list = append(list, k)
		}
	}
	return list
}

// digest is of who is there, of a site and its parent.
func (m *Members) digest(site string) uint64 {
	lives := []Life{}
	if m.site == site || m.site == m.tree[site] {
		lives = append(lives, m.me)
	}
	for _, k := range m.concern(site) {
		if k.State.there() {
			lives = append(lives, k.Life)
		}
	}
	slices.SortFunc(lives, func(a, b Life) int { return cmp.Compare(a.Name, b.Name) })
	h := fnv.New64a()
	for _, l := range lives {
		h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64([]byte(l.Name+"\x00"), l.Start), l.Nonce))
	}
	return h.Sum64()
}

// digests are of the node's own site and of those below it: their members ask for its word.
func (m *Members) digests() map[string]uint64 {
	if m.same {
		return m.cached
	}
	all := map[string]uint64{m.site: m.digest(m.site)}
	for _, s := range m.tree.children(m.site) {
		all[s] = m.digest(s)
	}
	m.cached, m.same = all, true
	return all
}

// say tells others.
func (m *Members) say(claims ...Life) {
	m.said, m.views = max(m.now, 1), m.digests()
	m.do(Say{Word{From: m.me, Site: m.site, Views: maps.Clone(m.views), Claims: claims, Wants: m.wants}})
}

// review draws the conclusions of a moment.
func (m *Members) review() {
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		switch k := m.members[name]; {
		case k.State >= Failed && m.now-k.Since >= m.Remember:
			m.forget(name)
		case k.State == Failed && m.now-k.asked >= k.wait:
			k.asked = m.now
			k.wait = min(2*k.wait, m.AskMost) + time.Duration(m.rng.Float64()*float64(m.Ask)/4)
			m.do(Ask{name})
		}
	}
	if m.said == 0 || m.now-m.said >= m.Repeat || !maps.Equal(m.views, m.digests()) {
		m.say()
	}
	if m.twin.Name != "" && m.now-m.twinned > m.Repeat { // nobody speaks of it any more
		m.twin = Life{}
	}
	known, there, same := 1, 1, 1
	mine := m.views[m.site]
	for _, k := range m.concern(m.site) {
		known++
		if !k.State.there() {
			continue
		}
		there++
		if w := m.words[k.Name]; w != nil && (m.now-w.at < m.Stale || !m.holds(guardStale)) && w.Views[m.site] == mine {
			same++
		}
	}
	if 2*same > known && m.twin.Name == "" {
		m.differs, m.wants = 0, m.wants && known == 1
	} else if m.differs == 0 {
		m.differs = max(m.now, 1)
	}
	switch {
	case there == 1 && known > 1:
		m.become(Alone)
	case 2*there <= known:
		m.become(CutOff)
	case known == 1: // there may be none; there may be others whom it has not met
		if m.self != Joining {
			m.become(Alone)
		}
	case m.differs == 0:
		m.settled = true
		m.become(Agreed)
	case m.self == Joining || m.self == Agreed && m.now-m.differs < m.Dispute && m.twin.Name == "":
	default:
		m.become(Disputed)
	}
}

func (m *Members) become(s Self) {
	if m.self != s {
		m.do(Turn{m.self, s})
		m.self = s
	}
}

// ---- What consumers read ----

// Self is what this node is.
func (m *Members) Self() Self { return m.self }

// Me is this node's life.
func (m *Members) Me() Life { return m.me }

// Count is how many of a site's known members are there, this node among them.
type Count struct{ There, Known int }

// Sites counts each site's members.
func (m *Members) Sites() map[string]Count {
	all := map[string]Count{}
	for s := range m.tree {
		all[s] = Count{}
	}
	add := func(site string, there bool) {
		c := all[site]
		c.Known++
		if there {
			c.There++
		}
		all[site] = c
	}
	add(m.site, true)
	for _, k := range m.members {
		if k.State != Left {
			add(k.Site, k.State.there())
		}
	}
	return all
}

// List is all members but this node, by name.
func (m *Members) List() (list []Member) {
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		list = append(list, *m.members[name])
	}
	return list
}

// Digest is of what this node takes for the members of its own site and its parent's.
func (m *Members) Digest() uint64 { return m.digests()[m.site] }

// Failures is how often a member was taken for failed since the start.
func (m *Members) Failures() uint64 { return m.failures }

// Revision is another whenever a member has changed.
func (m *Members) Revision() uint64 { return m.rev }
