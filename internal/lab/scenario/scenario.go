// Package scenario reads the lab's scenario files: a world of tiers, clients and troubles, and how long it is
// played. The grammar is that of the settings file, as strict: what is unknown, repeated, of another type or out
// of range is an error that names file and line. It only reads; package model gives the world its meaning.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/settings"
)

// Scenario is a whole file.
type Scenario struct {
	Name      string
	Seed      uint64
	Length    time.Duration // arrivals go on for so long; what has come by then is played to its end
	Policy    string        // deckrelay or one of package policies
	Tiers     []Tier        // the clients' first comes first
	Classes   []Class
	Tenants   []Tenant
	Clients   Clients
	Ingress   Ingress
	Discovery Discovery
	Network   Network
	Rules     Rules
	Fleet     Fleet
	Faults    []Fault
}

// Tier is one row of boxes.
type Tier struct {
	Name  string
	Work  float64 // part of a request's work that one visit takes
	Calls float64 // mean of the calls, one after another, that a visit makes to the next tier
	Kinds []ServerKind
}

// ServerCount counts the boxes of all kinds.
func (t Tier) ServerCount() (n int) {
	for _, k := range t.Kinds {
		n += k.Count
	}
	return n
}

// ServerKind is a kind of machine in a tier.
type ServerKind struct {
	Name             string        `json:"Name"`
	Count            int           `json:"Count"`
	Cores            float64       `json:"Cores"`
	Speed            float64       `json:"Speed"`    // work done a core and second, in seconds
	Concurrency      int           `json:"Slots"`    // requests in work at once, those that wait for calls among them
	QueueLength      int           `json:"Queue"`    // waiting room beyond the slots
	CrowdingLoss     float64       `json:"Thrash"`   // efficiency lost, as a share, at twice ThrashAt
	CrowdedAbove     int           `json:"ThrashAt"` // requests held above which a box gets slower
	WarmupStartShare float64       `json:"ColdFrom"` // share of its capacity that a fresh box has
	WarmupDuration   time.Duration `json:"Cold"`
	MaxConnections   int           `json:"Conns"`     // connections at once
	HandshakeWork    time.Duration `json:"Handshake"` // work of a new connection
	ErrorRate        float64       `json:"ErrorRate"` // share of requests answered with an error
	CancelsQueued    bool          `json:"Cancels"`   // a request that waits and is given up leaves the waiting room
}

// Class is a class of requests.
type Class struct {
	Name             string          `json:"Name"`
	Share            float64         `json:"Share"` // of the arrivals, over the sum of all
	Effect           balancer.Effect `json:"Effect"`
	PriorityWeight   float64         `json:"Worth"`
	LateCredit       float64         `json:"LateShare"`
	Work             time.Duration   `json:"Work"` // mean, at speed 1, over all tiers' shares
	WorkVariation    float64         `json:"CV"`   // of the work, lognormal
	LatencyObjective time.Duration   `json:"Aim"`
	Deadline         time.Duration   `json:"Deadline"`
	DedupWindow      time.Duration   `json:"Window"` // for keyed classes: how long repeats are discarded
}

// Tenant is one winery.
type Tenant struct {
	Name  string
	Share float64 // of the arrivals, over the sum of all
}

// Clients say how requests come.
type Clients struct {
	Rate             float64 // first tries a second
	Arrivals         string  // poisson, ramp (from half the rate to one and a half) or recorded
	ArrivalsFile     string  // of recorded arrivals
	Retries          int
	TryTimeoutShare  float64 // part of the deadline that a try is given, but for the last
	Backoff          time.Duration
	HonourRetryAfter float64 // share of refused clients that wait as long as they were told
	MarkRetries      bool    // repeats are marked
	ImpatientShare   float64 // share of clients that leave before their time is up
	ClosedLoop       int     // above 0: so many clients, each with one request at a time, instead of a rate
}

// Ingress spreads clients over the first tier's nodes.
type Ingress struct {
	Nodes            int
	FailureDetection time.Duration // after which it has seen that a node died
}

// Discovery is the service that lists boxes.
type Discovery struct {
	Polled           bool          // the list follows only a Subscribe
	DrainDelay       time.Duration // from a drain to its being listed
	AddDelay         time.Duration // the same for a start
	CrashDelay       time.Duration // the same for a crash
	UnreachableDelay time.Duration // the same for a machine that has gone quiet
	NotifySpread     time.Duration // from listed to told, up to so much
	CallsPerSecond   float64       // calls a second
	CallTimeout      time.Duration // of a call that waits
	MaxPollInterval  time.Duration // a node without a watch must ask so often
	Indented         bool          // lists span lines
}

// Network is the network.
type Network struct {
	ServerLatency       time.Duration // one way between node and box
	ClientLatency       time.Duration // one way between client and node
	Jitter              float64       // spread of both, as a share
	HandshakeRoundTrips int
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration // a kept connection is closed after so long without use
}

// Rules are what the auditor holds nodes to, and what nodes are told.
type Rules struct {
	MaxAttempts      int           `json:"MaxAttempts"`
	DrainGrace       time.Duration `json:"DrainGrace"`
	OverloadMultiple float64       `json:"FallMultiple"`
	OverloadWindow   time.Duration `json:"Fall"`
	MaxRetryAfter    time.Duration `json:"MaxRetryAfter"`
	Slack            time.Duration `json:"Slack"` // on every limit of time
}

// Fleet says how a world is split into processes, and what its nodes are given at their start.
type Fleet struct {
	ServersPerProcess int           // boxes of one process, as on one machine
	BootstrapList     string        // the list that a node starts with: fresh, old or none
	BootstrapAge      time.Duration // of an old one
	OldBuildShare     float64       // share of the nodes that run another build
	AdminCalls        bool          // nodes take operators' calls and keep their address and name over their lives
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind        string
	Position    string
	At          time.Duration
	Duration    time.Duration
	Tier        string  // "": the first that fits
	TargetShare float64 // of the tier's boxes, or of the nodes
	Magnitude   float64
	Share       float64       // of requests
	Period      time.Duration // on and off for so long each; 0: on throughout
	Class       string

	// Of troubles between processes:
	Target, Peer   string        // nodes, boxes or discovery; whom also clients or all
	Spread         time.Duration // it meets each within so long after At
	Direction      string        // both, out (from who to whom) or back
	Recovery       string        // held (what was sent meanwhile arrives) or reset
	Delay          time.Duration
	BytesPerSecond float64 // bytes a second
	Bytes          int
	Folder         string // what a node that is ended finds of its folder when it starts again
}

// ProcessFaultKinds are the troubles that need processes with links between them. A kill is also played in virtual time.
var ProcessFaultKinds = []string{"stall", "cut", "slow_link", "reset_link", "refuse_link", "half_open", "break_link", "box_kill", "upgrade", "hand", "hush"}

// FolderStates are what can have become of a node's folder ($TMPDIR) between two of its lives.
var FolderStates = []string{"kept", "emptied", "cut", "old", "other", "unwritable", "full"}

// WorldFaultKinds are all that a scenario can name.
var WorldFaultKinds = []string{"crash", "cut_off", "neighbour", "heavy_tail", "shared_slow", "broken_answers",
	"kept_resets", "release", "node_restart", "node_kill", "discovery_down", "discovery_moved", "overload", "retry_storm", "kill"}

// Policies are the names that a scenario may choose from.
var Policies = []string{"deckrelay", "random", "round-robin", "least-of-two", "two-random", "two-left", "oracle"}

const maxFileSize = 1 << 20

// Override gives a setting another value than the file does: "clients.rate", or "class.bin-weighin.share" where
// several blocks of a kind have labels.
type Override struct{ Path, Value string }

// Load reads a scenario file.
func Load(path string, overrides ...Override) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("scenario: %s is over %d bytes", path, maxFileSize)
	}
	s, err := Parse(path, text, func(base string) ([]byte, error) {
		return os.ReadFile(base)
	}, overrides...)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, nil
}

// blockOrder is that in which blocks are read: troubles name tiers and classes, so they come last.
var blockOrder = []string{"scenario", "tier", "class", "tenant", "clients", "front", "discovery", "net", "rules", "fleet", "trouble"}

// Parse reads the text of a scenario file. Errors begin with its name and the line. Where the file names a base,
// read gives that file's text: blocks of the kinds that the file has none of are the base's, but for troubles.
func Parse(name string, text []byte, read func(path string) ([]byte, error), overrides ...Override) (*Scenario, error) {
	byKind, err := groupBlocks(name, text)
	if err != nil {
		return nil, err
	}
	if head := byKind["scenario"]; len(head) > 0 {
		base := head[0].Text("base", "")
		if _, ok := head[0].Has("base"); ok {
			if err := applyBase(byKind, name, base, head[0], read); err != nil {
				return nil, err
			}
		}
	}
	for _, o := range overrides {
		if err := o.apply(name, byKind); err != nil {
			return nil, err
		}
	}
	s := &Scenario{}
	for _, kind := range []string{"clients", "front", "discovery", "net", "rules", "fleet"} {
		if len(byKind[kind]) == 0 { // all defaults
			byKind[kind] = []*settings.Reader{settings.NewReader(name, settings.Block{Kind: kind, Line: 1})}
		}
	}
	take := map[string]func(*settings.Reader, bool){"scenario": s.readHeader, "tier": s.readTier, "class": s.readClass,
		"tenant": s.readTenant, "clients": s.readClients, "front": s.readIngress, "discovery": s.readDiscovery,
		"net": s.readNetwork, "rules": s.readRules, "fleet": s.readFleet, "trouble": s.readFault}
	for _, kind := range blockOrder {
		for i, r := range byKind[kind] {
			take[kind](r, i > 0)
			if err := r.End(); err != nil {
				return nil, err
			}
		}
	}
	for _, need := range []string{"scenario", "tier", "class"} {
		if len(byKind[need]) == 0 {
			return nil, settings.ErrorAt(name, 1, "no block %s", need)
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "benchland", Share: 1}}
	}
	return s, nil
}

// apply sets the setting in every block that the path names. A block of which there is one at most is made.
func (o Override) apply(name string, byKind map[string][]*settings.Reader) error {
	parts := strings.Split(o.Path, ".")
	if len(parts) < 2 || len(parts) > 3 {
		return fmt.Errorf("%s: want block.setting or block.label.setting", o.Path)
	}
	kind, set := parts[0], parts[len(parts)-1]
	single := slices.Contains([]string{"clients", "front", "discovery", "net", "rules", "fleet"}, kind)
	if single && len(byKind[kind]) == 0 {
		byKind[kind] = []*settings.Reader{settings.NewReader(name, settings.Block{Kind: kind, Line: 1})}
	}
	met := false
	in := func(b *settings.Block) {
		if b.Kind == kind && (len(parts) == 2 || b.Label == parts[1]) {
			b.Set(set, o.Value)
			met = true
		}
	}
	for _, readers := range byKind {
		for _, r := range readers {
			in(&r.Block)
			for i := range r.Block.Blocks {
				in(&r.Block.Blocks[i])
			}
		}
	}
	if !met {
		return fmt.Errorf("%s: %s has no such block", o.Path, name)
	}
	return nil
}

// groupBlocks reads a file's blocks by their kinds.
func groupBlocks(name string, text []byte) (map[string][]*settings.Reader, error) {
	blocks, err := settings.ParseBlocks(name, text)
	if err != nil {
		return nil, err
	}
	byKind := map[string][]*settings.Reader{}
	for _, b := range blocks {
		if !slices.Contains(blockOrder, b.Kind) {
			return nil, settings.ErrorAt(name, b.Line, "unknown block %s", b.Kind)
		}
		byKind[b.Kind] = append(byKind[b.Kind], settings.NewReader(name, b))
	}
	return byKind, nil
}

// applyBase puts the blocks of a base file where the file itself has none of the kind.
func applyBase(byKind map[string][]*settings.Reader, name, base string, head *settings.Reader, read func(string) ([]byte, error)) error {
	line, _ := head.Has("base")
	if base != filepath.Base(base) {
		return settings.ErrorAt(name, line, "base must name a file in the same folder")
	}
	path := filepath.Join(filepath.Dir(name), base)
	text, err := read(path)
	if err != nil {
		return settings.ErrorAt(name, line, "base: %w", err)
	}
	below, err := groupBlocks(path, text)
	if err != nil {
		return err
	}
	if h := below["scenario"]; len(h) > 0 {
		if at, ok := h[0].Has("base"); ok {
			return settings.ErrorAt(path, at, "a base has no base of its own")
		}
	}
	for _, kind := range blockOrder {
		if kind != "scenario" && kind != "trouble" && len(byKind[kind]) == 0 {
			byKind[kind] = below[kind]
		}
	}
	return nil
}

const (
	day    = 24 * time.Hour
	minute = time.Minute
	ms     = time.Millisecond
)

func (s *Scenario) readHeader(r *settings.Reader, again bool) {
	if again {
		r.AddError(r.Block.Line, "block scenario is there already")
	}
	s.Name = r.Label()
	r.Text("base", "") // Parse has read it
	s.Seed = uint64(r.Integer("seed", 1, 0, 1<<53))
	s.Length = r.Seconds("length_s", 30*time.Second, ms, day)
	s.Policy = r.OneOf("policy", Policies...)
}

func (s *Scenario) readTier(r *settings.Reader, _ bool) {
	t := Tier{Name: r.Label(), Work: r.Number("work", 1, 0.0001, 100), Calls: r.Number("calls", 1, 0, 20)}
	if slices.ContainsFunc(s.Tiers, func(o Tier) bool { return o.Name == t.Name }) {
		r.AddError(r.Block.Line, "tier %s is there already", t.Name)
	}
	for _, k := range r.Blocks("kind") {
		kind := ServerKind{Name: k.Label(), Count: k.Integer("count", 1, 1, 100000), Cores: k.Number("cores", 2, 0.01, 1024),
			Speed: k.Number("speed", 1, 0.0001, 1000), Concurrency: k.Integer("slots", 64, 1, 1<<20),
			QueueLength: k.Integer("queue", 32, 0, 1<<20), CrowdingLoss: k.Number("thrash", 0.1, 0, 100),
			CrowdedAbove: k.Integer("thrash_at", 48, 1, 1<<20), WarmupStartShare: k.Number("cold_from", 0.35, 0.001, 1),
			WarmupDuration: k.Seconds("cold_s", 6*time.Second, 0, time.Hour), MaxConnections: k.Integer("conns", 1200, 1, 1<<20),
			HandshakeWork: time.Duration(k.Number("handshake_us", 800, 0, 1e6) * float64(time.Microsecond)),
			ErrorRate:     k.Number("error_rate", 0, 0, 1), CancelsQueued: k.OneOf("cancel", "none", "queued") == "queued"}
		r.AddErr(k.End())
		t.Kinds = append(t.Kinds, kind)
	}
	if len(t.Kinds) == 0 {
		r.AddError(r.Block.Line, "tier %s has no kind", t.Name)
	}
	if t.ServerCount() > 100000 {
		r.AddError(r.Block.Line, "tier %s has over 100000 boxes", t.Name)
	}
	s.Tiers = append(s.Tiers, t)
	if len(s.Tiers) > 8 {
		r.AddError(r.Block.Line, "over 8 tiers")
	}
}

func (s *Scenario) readClass(r *settings.Reader, _ bool) {
	c := Class{Name: r.Label(), Share: r.Number("share", 1, 0, 1e6), PriorityWeight: r.Number("worth", 1, 0, 1e6),
		LateCredit: r.Number("late_worth", 0.5, 0, 1), Work: r.Milliseconds("work_ms", 10*ms, time.Microsecond, time.Hour),
		WorkVariation: r.Number("cv", 0.4, 0, 10), LatencyObjective: r.Milliseconds("aim_ms", 500*ms, ms, time.Hour),
		Deadline: r.Milliseconds("deadline_ms", 2*time.Second, ms, time.Hour)}
	switch r.OneOf("effect", "unsafe", "keyed", "safe") {
	case "keyed":
		c.Effect, c.DedupWindow = balancer.IdempotentWithKey, r.Seconds("window_s", 30*time.Second, ms, day)
	case "safe":
		c.Effect = balancer.Idempotent
	}
	if c.Deadline < c.LatencyObjective {
		r.AddError(r.Block.Line, "class %s: deadline_ms is under aim_ms", c.Name)
	}
	if c.Name == "" || slices.ContainsFunc(s.Classes, func(o Class) bool { return o.Name == c.Name }) {
		r.AddError(r.Block.Line, "class %q is empty or there already", c.Name)
	}
	s.Classes = append(s.Classes, c)
}

func (s *Scenario) readTenant(r *settings.Reader, _ bool) {
	t := Tenant{Name: r.Label(), Share: r.Number("share", 1, 0, 1e6)}
	if t.Name == "" || slices.ContainsFunc(s.Tenants, func(o Tenant) bool { return o.Name == t.Name }) {
		r.AddError(r.Block.Line, "tenant %q is empty or there already", t.Name)
	}
	s.Tenants = append(s.Tenants, t)
}

func (s *Scenario) readClients(r *settings.Reader, again bool) {
	r.Once(again)
	s.Clients = Clients{Rate: r.Number("rate", 100, 0.001, 1e6), Arrivals: r.OneOf("arrivals", "poisson", "ramp", "recorded"),
		ArrivalsFile: r.Text("file", ""), Retries: r.Integer("retries", 2, 0, 20), TryTimeoutShare: r.Number("try_share", 0.55, 0.01, 1),
		Backoff: r.Milliseconds("backoff_ms", 200*ms, 0, minute), HonourRetryAfter: r.Number("honour", 0.25, 0, 1),
		MarkRetries: r.OneOf("marks", "on", "off") == "on", ImpatientShare: r.Number("impatient", 0, 0, 1),
		ClosedLoop: r.Integer("closed_loop", 0, 0, 100000)}
	if (s.Clients.Arrivals == "recorded") != (s.Clients.ArrivalsFile != "") {
		r.AddError(r.Block.Line, "arrivals = \"recorded\" and file go together")
	}
}

func (s *Scenario) readIngress(r *settings.Reader, again bool) {
	r.Once(again)
	s.Ingress = Ingress{Nodes: r.Integer("nodes", 2, 1, 10000), FailureDetection: r.Seconds("notice_s", 3*time.Second, 0, minute)}
}

func (s *Scenario) readDiscovery(r *settings.Reader, again bool) {
	r.Once(again)
	s.Discovery = Discovery{Polled: r.OneOf("mode", "ask", "push") == "ask",
		DrainDelay: r.Milliseconds("drain_ms", 50*ms, 0, minute), AddDelay: r.Milliseconds("add_ms", time.Second, 0, minute),
		CrashDelay: r.Milliseconds("notice_ms", 2500*ms, 0, minute), UnreachableDelay: r.Milliseconds("silent_ms", 9*time.Second, 0, time.Hour),
		NotifySpread: r.Milliseconds("spread_ms", 200*ms, 0, minute), CallsPerSecond: r.Number("calls_per_s", 40, 0.01, 1e6),
		CallTimeout: r.Milliseconds("timeout_ms", 2*time.Second, ms, minute), MaxPollInterval: r.Seconds("ask_within_s", 10*time.Second, 100*ms, time.Hour),
		Indented: r.OneOf("form", "lines", "indented") == "indented"}
}

func (s *Scenario) readNetwork(r *settings.Reader, again bool) {
	r.Once(again)
	s.Network = Network{ServerLatency: r.Milliseconds("hop_ms", 200*time.Microsecond, 0, time.Second), ClientLatency: r.Milliseconds("client_ms", ms, 0, 10*time.Second),
		Jitter: r.Number("jitter", 0.2, 0, 1), HandshakeRoundTrips: r.Integer("handshake_trips", 2, 0, 10),
		ConnectTimeout: r.Milliseconds("connect_timeout_ms", 250*ms, ms, minute), IdleTimeout: r.Seconds("idle_s", 30*time.Second, 10*ms, time.Hour)}
}

func (s *Scenario) readRules(r *settings.Reader, again bool) {
	r.Once(again)
	s.Rules = Rules{MaxAttempts: r.Integer("max_attempts", 3, 1, 10),
		DrainGrace: r.Milliseconds("drain_grace_ms", 250*ms, 0, minute), OverloadMultiple: r.Number("fall_multiple", 3, 0, 100),
		OverloadWindow: r.Milliseconds("fall_ms", time.Second, ms, minute), MaxRetryAfter: r.Milliseconds("max_retry_after_ms", 2*time.Second, 0, time.Hour),
		Slack: r.Milliseconds("slack_ms", 20*ms, 0, time.Second)}
}

func (s *Scenario) readFleet(r *settings.Reader, again bool) {
	r.Once(again)
	s.Fleet = Fleet{ServersPerProcess: r.Integer("boxes_per_process", 4, 1, 1000), BootstrapList: r.OneOf("known", "fresh", "old", "none"),
		BootstrapAge: r.Seconds("known_age_s", 0, 0, day), OldBuildShare: r.Number("old_build", 0, 0, 1),
		AdminCalls: r.OneOf("control", "off", "on") == "on"}
}

func (s *Scenario) readFault(r *settings.Reader, _ bool) {
	t := Fault{Kind: r.Label(), Position: fmt.Sprintf("%s:%d", r.File, r.Block.Line), At: r.Seconds("at_s", 0, 0, day),
		Duration: r.Seconds("length_s", 10*time.Second, 0, day), Tier: r.Text("tier", ""),
		TargetShare: r.Number("part", 0.2, 0, 1), Magnitude: r.Number("size", 2, 0, 1e4), Share: r.Number("share", 0.02, 0, 1),
		Period: r.Seconds("period_s", 0, 0, time.Hour), Class: r.Text("class", ""),
		Target: r.OneOf("who", "nodes", "boxes", "discovery"), Peer: r.OneOf("whom", "all", "nodes", "boxes", "discovery", "clients"),
		Spread: r.Seconds("spread_s", 0, 0, time.Hour), Direction: r.OneOf("way", "both", "out", "back"),
		Recovery: r.OneOf("heal", "held", "reset"), Delay: r.Milliseconds("delay_ms", 0, 0, minute),
		BytesPerSecond: r.Number("rate_kb", 0, 0, 1e9) * 1000, Bytes: r.Integer("bytes", 0, 0, 1<<30),
		Folder: r.OneOf("folder", FolderStates...)}
	if !slices.Contains(WorldFaultKinds, t.Kind) && !slices.Contains(ProcessFaultKinds, t.Kind) {
		r.AddError(r.Block.Line, "unknown trouble %q", t.Kind)
	}
	if t.Tier == "" && len(s.Tiers) > 0 {
		t.Tier = s.Tiers[len(s.Tiers)-1].Name
	}
	if line, ok := r.Has("tier"); ok && !slices.ContainsFunc(s.Tiers, func(o Tier) bool { return o.Name == t.Tier }) {
		r.AddError(line, "tier %q is not one of the tiers", t.Tier)
	}
	if line, ok := r.Has("class"); ok && !slices.ContainsFunc(s.Classes, func(o Class) bool { return o.Name == t.Class }) {
		r.AddError(line, "class %q is not one of the classes", t.Class)
	}
	if !s.Fleet.AdminCalls && (t.Kind == "upgrade" || t.Kind == "hand" || t.Folder != "kept") {
		r.AddError(r.Block.Line, "%s with folder %s needs fleet { control = \"on\" }", t.Kind, t.Folder)
	}
	if line, ok := r.Has("size"); ok && t.Magnitude == 0 {
		r.AddError(line, "size must be above 0")
	}
	if t.Period > 0 && t.Period < 10*ms {
		r.AddError(r.Block.Line, "period_s is under 0.01")
	}
	s.Faults = append(s.Faults, t)
}
