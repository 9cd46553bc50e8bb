package scenario

import (
	"slices"
	"time"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/lab/policies"
	"hookwalk.example/hookwalk/internal/settings"
)

// Bounds and defaults of settings. A value beyond its bound is a mistake and would only exhaust the machine that runs
// the scenario.
const (
	day                = 24 * time.Hour        // the longest scenario, and the latest start of a fault
	millisecond        = time.Millisecond      // the shortest scenario, latency objective and deadline
	maxSeed            = 1 << 53               // the files' numbers are float64, which is exact up to here
	maxTiers           = 8                     // of a scenario
	maxServers         = 100000                // of a tier
	maxRequestsHeld    = 1 << 20               // limit on a server's slots, queue and connections
	maxWeight          = 1e6                   // of shares and priority weights
	maxRate            = 1e6                   // per second
	maxBytes           = 1 << 30               // that a link carries before it breaks
	minPeriod          = 10 * time.Millisecond // of a fault that alternates between on and off
	bytesPerKilobyte   = 1000                  // in rate_kb
	defaultTryShare    = 0.55                  // of the deadline; leaves time for a retry
	defaultTargetShare = 0.2                   // of servers or nodes that a fault hits
)

// readHeader reads a block scenario.
func (s *Scenario) readHeader(r *settings.Reader, repeated bool) {
	if repeated {
		r.AddErrorAt(r.Block.Line, "block scenario is already defined")
	}
	s.Name = r.Label()
	r.Text("base", "") // applied by Parse
	s.Seed = uint64(r.Integer("seed", 1, 0, maxSeed))
	s.Length = r.Seconds("length_s", 30*time.Second, millisecond, day)
	s.Policy = r.OneOf("policy", policies.Names...)
}

// readTier reads a block tier.
func (s *Scenario) readTier(r *settings.Reader, _ bool) {
	t := Tier{Name: r.Label(), Work: r.Number("work", 1, 0.0001, 100), Calls: r.Number("calls", 1, 0, 20)}
	if slices.ContainsFunc(s.Tiers, func(o Tier) bool { return o.Name == t.Name }) {
		r.AddErrorAt(r.Block.Line, "tier %s is already defined", t.Name)
	}
	for _, inner := range r.Blocks("kind") {
		t.Kinds = append(t.Kinds, readServerKind(inner))
		r.AddError(inner.End())
	}
	if len(t.Kinds) == 0 {
		r.AddErrorAt(r.Block.Line, "tier %s has no kind", t.Name)
	}
	if t.ServerCount() > maxServers {
		r.AddErrorAt(r.Block.Line, "tier %s has more than %d servers", t.Name, maxServers)
	}
	s.Tiers = append(s.Tiers, t)
	if len(s.Tiers) > maxTiers {
		r.AddErrorAt(r.Block.Line, "more than %d tiers", maxTiers)
	}
}

// readServerKind reads a block kind of a tier.
func readServerKind(r *settings.Reader) ServerKind {
	return ServerKind{
		Name:                r.Label(),
		Count:               r.Integer("count", 1, 1, maxServers),
		Cores:               r.Number("cores", 2, 0.01, 1024),
		Speed:               r.Number("speed", 1, 0.0001, 1000),
		Concurrency:         r.Integer("slots", 64, 1, maxRequestsHeld),
		QueueLength:         r.Integer("queue", 32, 0, maxRequestsHeld),
		ContentionLoss:      r.Number("thrash", 0.1, 0, 100),
		ContentionThreshold: r.Integer("thrash_at", 48, 1, maxRequestsHeld),
		WarmupStartShare:    r.Number("cold_from", 0.35, 0.001, 1),
		WarmupDuration:      r.Seconds("cold_s", 6*time.Second, 0, time.Hour),
		MaxConnections:      r.Integer("conns", 1200, 1, maxRequestsHeld),
		HandshakeWork:       time.Duration(r.Number("handshake_us", 800, 0, 1e6) * float64(time.Microsecond)),
		ErrorRate:           r.Number("error_rate", 0, 0, 1),
		CancelsQueued:       r.OneOf("cancel", "none", "queued") == "queued",
	}
}

// readClass reads a block class.
func (s *Scenario) readClass(r *settings.Reader, _ bool) {
	c := Class{
		Name:             r.Label(),
		Share:            r.Number("share", 1, 0, maxWeight),
		PriorityWeight:   r.Number("worth", 1, 0, maxWeight),
		LateCredit:       r.Number("late_worth", 0.5, 0, 1),
		Work:             r.Milliseconds("work_ms", 10*millisecond, time.Microsecond, time.Hour),
		WorkVariation:    r.Number("cv", 0.4, 0, 10),
		LatencyObjective: r.Milliseconds("aim_ms", 500*millisecond, millisecond, time.Hour),
		Deadline:         r.Milliseconds("deadline_ms", 2*time.Second, millisecond, time.Hour),
	}
	switch r.OneOf("effect", "unsafe", "keyed", "safe") {
	case "keyed":
		c.Effect, c.DedupWindow = balancer.IdempotentWithKey, r.Seconds("window_s", 30*time.Second, millisecond, day)
	case "safe":
		c.Effect = balancer.Idempotent
	}
	if c.Deadline < c.LatencyObjective {
		r.AddErrorAt(r.Block.Line, "class %s: deadline_ms is less than aim_ms", c.Name)
	}
	if c.Name == "" || slices.ContainsFunc(s.Classes, func(o Class) bool { return o.Name == c.Name }) {
		r.AddErrorAt(r.Block.Line, "class %q has an empty name or is already defined", c.Name)
	}
	s.Classes = append(s.Classes, c)
}

// readTenant reads a block tenant.
func (s *Scenario) readTenant(r *settings.Reader, _ bool) {
	t := Tenant{Name: r.Label(), Share: r.Number("share", 1, 0, maxWeight)}
	if t.Name == "" || slices.ContainsFunc(s.Tenants, func(o Tenant) bool { return o.Name == t.Name }) {
		r.AddErrorAt(r.Block.Line, "tenant %q has an empty name or is already defined", t.Name)
	}
	s.Tenants = append(s.Tenants, t)
}

// readClients reads a block clients.
func (s *Scenario) readClients(r *settings.Reader, repeated bool) {
	r.CheckSingle(repeated)
	s.Clients = Clients{
		Rate:                 r.Number("rate", 100, 0.001, maxRate),
		Arrivals:             r.OneOf("arrivals", ArrivalsPoisson, ArrivalsRamp, ArrivalsRecorded),
		ArrivalsFile:         r.Text("file", ""),
		Retries:              r.Integer("retries", 2, 0, 20),
		TryTimeoutShare:      r.Number("try_share", defaultTryShare, 0.01, 1),
		Backoff:              r.Milliseconds("backoff_ms", 200*millisecond, 0, time.Minute),
		HonorRetryAfterShare: r.Number("honour", 0.25, 0, 1),
		MarkRetries:          r.OneOf("marks", "on", "off") == "on",
		ImpatientShare:       r.Number("impatient", 0, 0, 1),
		ClosedLoop:           r.Integer("closed_loop", 0, 0, 100000),
	}
	if (s.Clients.Arrivals == ArrivalsRecorded) != (s.Clients.ArrivalsFile != "") {
		r.AddErrorAt(r.Block.Line, "arrivals = \"recorded\" and file must be set together")
	}
}

// readIngress reads a block front.
func (s *Scenario) readIngress(r *settings.Reader, repeated bool) {
	r.CheckSingle(repeated)
	s.Ingress = Ingress{
		Nodes:            r.Integer("nodes", 2, 1, 10000),
		FailureDetection: r.Seconds("notice_s", 3*time.Second, 0, time.Minute),
	}
}

// readDiscovery reads a block discovery.
func (s *Scenario) readDiscovery(r *settings.Reader, repeated bool) {
	r.CheckSingle(repeated)
	s.Discovery = Discovery{
		Polled:           r.OneOf("mode", "ask", "push") == "ask",
		DrainDelay:       r.Milliseconds("drain_ms", 50*millisecond, 0, time.Minute),
		AddDelay:         r.Milliseconds("add_ms", time.Second, 0, time.Minute),
		CrashDelay:       r.Milliseconds("notice_ms", 2500*millisecond, 0, time.Minute),
		UnreachableDelay: r.Milliseconds("silent_ms", 9*time.Second, 0, time.Hour),
		NotifySpread:     r.Milliseconds("spread_ms", 200*millisecond, 0, time.Minute),
		CallsPerSecond:   r.Number("calls_per_s", 40, 0.01, maxRate),
		CallTimeout:      r.Milliseconds("timeout_ms", 2*time.Second, millisecond, time.Minute),
		MaxPollInterval:  r.Seconds("ask_within_s", 10*time.Second, 100*millisecond, time.Hour),
		Indented:         r.OneOf("form", "lines", "indented") == "indented",
	}
}

// readNetwork reads a block net.
func (s *Scenario) readNetwork(r *settings.Reader, repeated bool) {
	r.CheckSingle(repeated)
	s.Network = Network{
		ServerLatency:       r.Milliseconds("hop_ms", 200*time.Microsecond, 0, time.Second),
		ClientLatency:       r.Milliseconds("client_ms", millisecond, 0, 10*time.Second),
		Jitter:              r.Number("jitter", 0.2, 0, 1),
		HandshakeRoundTrips: r.Integer("handshake_trips", 2, 0, 10),
		ConnectTimeout:      r.Milliseconds("connect_timeout_ms", 250*millisecond, millisecond, time.Minute),
		IdleTimeout:         r.Seconds("idle_s", 30*time.Second, 10*millisecond, time.Hour),
	}
}

// readRules reads a block rules.
func (s *Scenario) readRules(r *settings.Reader, repeated bool) {
	r.CheckSingle(repeated)
	s.Rules = Rules{
		MaxAttempts:      r.Integer("max_attempts", 3, 1, 10),
		DrainGrace:       r.Milliseconds("drain_grace_ms", 250*millisecond, 0, time.Minute),
		OverloadMultiple: r.Number("fall_multiple", 3, 0, 100),
		OverloadWindow:   r.Milliseconds("fall_ms", time.Second, millisecond, time.Minute),
		MaxRetryAfter:    r.Milliseconds("max_retry_after_ms", 2*time.Second, 0, time.Hour),
		Slack:            r.Milliseconds("slack_ms", 20*millisecond, 0, time.Second),
	}
}

// readFleet reads a block fleet.
func (s *Scenario) readFleet(r *settings.Reader, repeated bool) {
	r.CheckSingle(repeated)
	s.Fleet = Fleet{
		ServersPerProcess: r.Integer("boxes_per_process", 4, 1, 1000),
		BootstrapList:     r.OneOf("known", BootstrapFresh, BootstrapOld, BootstrapNone),
		BootstrapAge:      r.Seconds("known_age_s", 0, 0, day),
		OldBuildShare:     r.Number("old_build", 0, 0, 1),
		AdminCalls:        r.OneOf("control", "off", "on") == "on",
	}
}

// readFault reads a block trouble.
func (s *Scenario) readFault(r *settings.Reader, _ bool) {
	f := Fault{
		Kind:           r.Label(),
		Position:       r.Position(),
		At:             r.Seconds("at_s", 0, 0, day),
		Duration:       r.Seconds("length_s", 10*time.Second, 0, day),
		Tier:           r.Text("tier", ""),
		TargetShare:    r.Number("part", defaultTargetShare, 0, 1),
		Magnitude:      r.Number("size", 2, 0, 1e4),
		Share:          r.Number("share", 0.02, 0, 1),
		Period:         r.Seconds("period_s", 0, 0, time.Hour),
		Class:          r.Text("class", ""),
		Target:         r.OneOf("who", TargetNodes, TargetServers, TargetDiscovery),
		Peer:           r.OneOf("whom", TargetAll, TargetNodes, TargetServers, TargetDiscovery, TargetClients),
		Spread:         r.Seconds("spread_s", 0, 0, time.Hour),
		Direction:      r.OneOf("way", DirectionBoth, DirectionOut, DirectionBack),
		Recovery:       r.OneOf("heal", RecoveryHeld, RecoveryReset),
		Delay:          r.Milliseconds("delay_ms", 0, 0, time.Minute),
		BytesPerSecond: r.Number("rate_kb", 0, 0, 1e9) * bytesPerKilobyte,
		Bytes:          r.Integer("bytes", 0, 0, maxBytes),
		Folder:         r.OneOf("folder", FolderStates...),
	}
	if f.Tier == "" && len(s.Tiers) > 0 {
		f.Tier = s.Tiers[len(s.Tiers)-1].Name
	}
	s.checkFault(r, f)
	s.Faults = append(s.Faults, f)
}

// checkFault checks that a fault's kind is known and that the rest of the scenario has what the fault refers to.
func (s *Scenario) checkFault(r *settings.Reader, f Fault) {
	if !slices.Contains(WorldFaultKinds, f.Kind) && !slices.Contains(ProcessFaultKinds, f.Kind) {
		r.AddErrorAt(r.Block.Line, "unknown trouble %q", f.Kind)
	}
	if line, ok := r.LineOf("tier"); ok && !slices.ContainsFunc(s.Tiers, func(o Tier) bool { return o.Name == f.Tier }) {
		r.AddErrorAt(line, "tier %q is not one of the tiers", f.Tier)
	}
	if line, ok := r.LineOf("class"); ok && !slices.ContainsFunc(s.Classes, func(o Class) bool { return o.Name == f.Class }) {
		r.AddErrorAt(line, "class %q is not one of the classes", f.Class)
	}
	if !s.Fleet.AdminCalls && (f.Kind == FaultUpgrade || f.Kind == FaultAdminOverride || f.Folder != FolderKept) {
		r.AddErrorAt(r.Block.Line, "trouble %s with folder = %q requires fleet { control = \"on\" }", f.Kind, f.Folder)
	}
	if line, ok := r.LineOf("size"); ok && f.Magnitude == 0 {
		r.AddErrorAt(line, "size must be greater than 0")
	}
	if f.Period > 0 && f.Period < minPeriod {
		r.AddErrorAt(r.Block.Line, "period_s is less than %g", minPeriod.Seconds())
	}
}
