package controller

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"hookwalk.example/hookwalk/internal/configapi"
	"hookwalk.example/hookwalk/internal/settings"
)

// Defaults of the settings, and the bounds of what a file may say.
const (
	defaultMaxSessions     = 600 // a node's share is 271 of 1,900 at seven controllers, and 475 with three of them gone
	defaultElectionTimeout = 400 * time.Millisecond
	defaultLeaderLease     = 300 * time.Millisecond
	defaultFolderName      = "hookwalk-controllers"

	maxSettingsFileBytes = 1 << 20 // bytes
	maxMembers           = 15
)

// Config is what one controller is started with.
type Config struct {
	Self              Member
	Members           []Member // all controllers of the cluster, Self among them, in the file's order
	Folder            string   // of this controller alone
	MaxSessions       int
	HeartbeatInterval time.Duration // the longest silence on a watch
	ElectionTimeout   time.Duration // without a word of the leader for so long, a follower asks for an election
	LeaderLease       time.Duration // without a word of a quorum for so long, a leader steps down
}

// Member is one controller of the cluster.
type Member struct {
	Name   string
	Listen string // HOST:PORT of the calls of nodes, operators and other controllers
	Raft   string // HOST:PORT of the replicated log
	Dial   string // HOST:PORT at which this process makes calls to it; Listen, if the file does not say otherwise
	Region string
	Zone   string
}

// Endpoint is where nodes reach the controller.
func (m Member) Endpoint() configapi.Endpoint {
	return configapi.Endpoint{Address: m.Listen, Region: m.Region, Zone: m.Zone}
}

// LoadConfig reads the settings file of a cluster for the controller of a name. All controllers may share one file; the
// name may be left out where the file has one controller only.
func LoadConfig(path, name string) (Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, fmt.Errorf("controller: %w", err)
	}
	if info.Size() > maxSettingsFileBytes {
		return Config{}, fmt.Errorf("controller: %s is over %d bytes", path, maxSettingsFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("controller: %w", err)
	}
	config, err := ParseConfig(path, text, name)
	if err != nil {
		return Config{}, fmt.Errorf("controller: %w", err)
	}
	return config, nil
}

// ParseConfig reads the text of a settings file; errors begin with its name and the line.
func ParseConfig(file string, text []byte, name string) (Config, error) {
	blocks, err := settings.ParseBlocks(file, text)
	if err != nil {
		return Config{}, err
	}
	config := Config{MaxSessions: defaultMaxSessions, HeartbeatInterval: configapi.HeartbeatInterval, ElectionTimeout: defaultElectionTimeout, LeaderLease: defaultLeaderLease,
		Folder: filepath.Join(os.TempDir(), defaultFolderName)}
	clusterSeen := false
	for _, block := range blocks {
		reader := settings.NewReader(file, block)
		switch block.Kind {
		case "controllers":
			reader.Once(clusterSeen)
			clusterSeen = true
			config.readCommon(reader)
		case "controller":
			config.readMember(reader)
		default:
			return Config{}, settings.ErrorAt(file, block.Line, "unknown block %s", block.Kind)
		}
		if err := reader.End(); err != nil {
			return Config{}, err
		}
	}
	return config.chooseSelf(file, name)
}

// readCommon reads the settings that all controllers have in common.
func (c *Config) readCommon(r *settings.Reader) {
	c.Folder = r.Text("folder", c.Folder)
	c.MaxSessions = r.Integer("max_sessions", defaultMaxSessions, 1, 20000)
	c.HeartbeatInterval = r.Milliseconds("heartbeat_ms", configapi.HeartbeatInterval, 50*time.Millisecond, time.Second)
	c.ElectionTimeout = r.Milliseconds("election_ms", defaultElectionTimeout, 100*time.Millisecond, 10*time.Second)
	c.LeaderLease = r.Milliseconds("lease_ms", min(defaultLeaderLease, c.ElectionTimeout), 50*time.Millisecond, 10*time.Second)
	if line, ok := r.Has("lease_ms"); c.LeaderLease > c.ElectionTimeout {
		if !ok {
			line = r.Block.Line
		}
		r.AddError(line, "lease_ms must not be above election_ms")
	}
	if line, ok := r.Has("folder"); ok && c.Folder == "" {
		r.AddError(line, "folder must name a folder")
	}
}

// readMember reads one controller's block.
func (c *Config) readMember(r *settings.Reader) {
	member := Member{Name: r.Label(), Listen: r.Text("listen", ""), Raft: r.Text("raft", ""), Dial: r.Text("dial", ""),
		Region: r.Text("region", ""), Zone: r.Text("zone", "")}
	if !validMemberName(member.Name) {
		r.AddError(r.Block.Line, "a controller's label is its name: 1 to 64 letters, digits, '-', '_' or '.'")
	}
	checkAddress(r, "listen", member.Listen)
	checkAddress(r, "raft", member.Raft)
	if _, ok := r.Has("dial"); ok {
		checkAddress(r, "dial", member.Dial)
	} else {
		member.Dial = member.Listen
	}
	for _, other := range c.Members {
		if other.Name == member.Name {
			r.AddError(r.Block.Line, "controller %s is there already", member.Name)
		}
		for _, taken := range []string{other.Listen, other.Raft} {
			if taken == member.Listen || taken == member.Raft {
				r.AddError(r.Block.Line, "controller %s has the address %s of controller %s", member.Name, taken, other.Name)
			}
		}
	}
	if member.Listen == member.Raft {
		r.AddError(r.Block.Line, "listen and raft of controller %s must differ", member.Name)
	}
	c.Members = append(c.Members, member)
	if len(c.Members) > maxMembers {
		r.AddError(r.Block.Line, "more than %d controllers", maxMembers)
	}
}

func checkAddress(r *settings.Reader, name, address string) {
	line, ok := r.Has(name)
	if !ok {
		r.AddError(r.Block.Line, "controller %s needs %s", r.Block.Label, name)
		return
	}
	if host, port, err := net.SplitHostPort(address); err != nil || host == "" || port == "" {
		r.AddError(line, "%s must be HOST:PORT", name)
	}
}

// chooseSelf finds the controller that this process is.
func (c Config) chooseSelf(file, name string) (Config, error) {
	switch {
	case len(c.Members) == 0:
		return Config{}, fmt.Errorf("%s: no block controller", file)
	case name == "" && len(c.Members) > 1:
		return Config{}, fmt.Errorf("%s: it has %d controllers: say with --name which one this is (%s)", file, len(c.Members), c.names())
	case name == "":
		name = c.Members[0].Name
	}
	for _, member := range c.Members {
		if member.Name == name {
			c.Self = member
		}
	}
	if c.Self.Name == "" {
		return Config{}, fmt.Errorf("%s: no controller %q: there are %s", file, name, c.names())
	}
	c.Folder = filepath.Join(c.Folder, c.Self.Name)
	return c, nil
}

func (c Config) names() string {
	var names []string
	for _, member := range c.Members {
		names = append(names, member.Name)
	}
	return strings.Join(names, ", ")
}

// member finds a controller by name.
func (c Config) member(name string) (Member, bool) {
	for _, member := range c.Members {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

func validMemberName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
	return name != "" && len(name) <= 64 && strings.Trim(name, allowed) == "" && name != "." && name != ".."
}
