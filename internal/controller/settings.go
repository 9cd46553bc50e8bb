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

// Defaults of the settings.
const (
	// defaultMaxSessions is the limit of sessions at one controller: each costs two connections of the process and their
	// buffers. It leaves
	// room for the nodes of controllers that have failed.
	defaultMaxSessions = 600
	// defaultElectionTimeout is how long a follower waits for the leader before it asks for an election: long enough
	// for a slow disk, and short enough that a publish survives the change of the leader.
	defaultElectionTimeout = 400 * time.Millisecond
	// defaultLeaderLease is how long a leader that hears nothing from a quorum still leads. It ends before another one
	// can be elected.
	defaultLeaderLease = 300 * time.Millisecond
	// defaultFolderName is the folder in the system's folder for temporary files.
	defaultFolderName = "hookwalk-controllers"
)

// Bounds of what a settings file may say. Shorter times than these elect a leader at every pause of a process; longer
// ones leave nodes without versions for too long.
const (
	// maxSettingsFileBytes bounds the file that is read.
	maxSettingsFileBytes = 1 << 20
	// maxMembers is the number of controllers of a cluster: more than a few make each publish slower and no safer.
	maxMembers = 15
	// maxSessionsLimit is the largest max_sessions: each session takes two connections of the process.
	maxSessionsLimit = 20000

	minHeartbeatInterval = 50 * time.Millisecond  // of heartbeat_ms
	maxHeartbeatInterval = time.Second            // of heartbeat_ms: below the nodes' silence timeout
	minElectionTimeout   = 100 * time.Millisecond // of election_ms
	maxElectionTimeout   = 10 * time.Second       // of election_ms
	minLeaderLease       = 50 * time.Millisecond  // of lease_ms
	maxLeaderLease       = 10 * time.Second       // of lease_ms

	// maxMemberNameBytes is the length of a controller's name.
	maxMemberNameBytes = 64
)

// Config are the settings of one controller.
type Config struct {
	Self              Member
	Members           []Member // all controllers of the cluster, Self among them, in the file's order
	Folder            string   // of this controller alone
	MaxSessions       int
	HeartbeatInterval time.Duration // between heartbeats on a watch
	ElectionTimeout   time.Duration // a follower that hears nothing from the leader for so long asks for an election
	LeaderLease       time.Duration // a leader that hears nothing from a quorum for so long steps down
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

// ControllerAddress is where nodes reach the controller.
func (m Member) ControllerAddress() configapi.ControllerAddress {
	return configapi.ControllerAddress{Address: m.Listen, Region: m.Region, Zone: m.Zone}
}

// LoadConfig reads a cluster's settings file for the controller of a name. All controllers may share one file; the name
// may be empty where the file has one controller only. Errors name the file and, where there is one, the line.
func LoadConfig(path, name string) (Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, fmt.Errorf("controller: %w", err)
	}
	if info.Size() > maxSettingsFileBytes {
		return Config{}, fmt.Errorf("controller: %w", &ConfigError{path, fmt.Sprintf("it is over %d bytes", maxSettingsFileBytes)})
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

// ParseConfig parses the text of a settings file, as LoadConfig does; errors begin with the file's name and the line.
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
			reader.CheckSingle(clusterSeen)
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
	c.MaxSessions = r.Integer("max_sessions", defaultMaxSessions, 1, maxSessionsLimit)
	c.HeartbeatInterval = r.Milliseconds("heartbeat_ms", configapi.HeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval)
	c.ElectionTimeout = r.Milliseconds("election_ms", defaultElectionTimeout, minElectionTimeout, maxElectionTimeout)
	c.LeaderLease = r.Milliseconds("lease_ms", min(defaultLeaderLease, c.ElectionTimeout), minLeaderLease, maxLeaderLease)
	if line, ok := r.LineOf("lease_ms"); c.LeaderLease > c.ElectionTimeout {
		if !ok {
			line = r.Block.Line
		}
		r.AddErrorAt(line, "lease_ms must not be above election_ms")
	}
	if line, ok := r.LineOf("folder"); ok && c.Folder == "" {
		r.AddErrorAt(line, "folder must name a folder")
	}
}

// readMember reads one controller's block.
func (c *Config) readMember(r *settings.Reader) {
	member := Member{Name: r.Label(), Listen: r.Text("listen", ""), Raft: r.Text("raft", ""), Dial: r.Text("dial", ""),
		Region: r.Text("region", ""), Zone: r.Text("zone", "")}
	if !validMemberName(member.Name) {
		r.AddErrorAt(r.Block.Line, "a controller's label is its name: 1 to %d letters, digits, '-', '_' or '.'", maxMemberNameBytes)
	}
	checkAddress(r, "listen", member.Listen)
	checkAddress(r, "raft", member.Raft)
	if _, ok := r.LineOf("dial"); ok {
		checkAddress(r, "dial", member.Dial)
	} else {
		member.Dial = member.Listen
	}
	c.checkDistinct(r, member)
	c.Members = append(c.Members, member)
	if len(c.Members) > maxMembers {
		r.AddErrorAt(r.Block.Line, "more than %d controllers", maxMembers)
	}
}

// checkDistinct checks that a controller has a name and addresses of its own.
func (c *Config) checkDistinct(r *settings.Reader, member Member) {
	for _, other := range c.Members {
		if other.Name == member.Name {
			r.AddErrorAt(r.Block.Line, "controller %s is there already", member.Name)
		}
		for _, taken := range []string{other.Listen, other.Raft} {
			if taken == member.Listen || taken == member.Raft {
				r.AddErrorAt(r.Block.Line, "controller %s has the address %s of controller %s", member.Name, taken, other.Name)
			}
		}
	}
	if member.Listen == member.Raft {
		r.AddErrorAt(r.Block.Line, "listen and raft of controller %s must differ", member.Name)
	}
}

func checkAddress(r *settings.Reader, name, address string) {
	line, ok := r.LineOf(name)
	if !ok {
		r.AddErrorAt(r.Block.Line, "controller %s needs %s", r.Block.Label, name)
		return
	}
	if host, port, err := net.SplitHostPort(address); err != nil || host == "" || port == "" {
		r.AddErrorAt(line, "%s must be HOST:PORT", name)
	}
}

// chooseSelf finds the controller that this process is. Its error is a ConfigError.
func (c Config) chooseSelf(file, name string) (Config, error) {
	switch {
	case len(c.Members) == 0:
		return Config{}, &ConfigError{file, "no block controller"}
	case name == "" && len(c.Members) > 1:
		return Config{}, &ConfigError{file, fmt.Sprintf("it has %d controllers: say with --name which one this is (%s)", len(c.Members), c.names())}
	case name == "":
		name = c.Members[0].Name
	}
	for _, member := range c.Members {
		if member.Name == name {
			c.Self = member
		}
	}
	if c.Self.Name == "" {
		return Config{}, &ConfigError{file, fmt.Sprintf("no controller %q: there are %s", name, c.names())}
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

// memberNameCharacters are those of a controller's name, which is also the name of its folder.
const memberNameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

func validMemberName(name string) bool {
	return name != "" && len(name) <= maxMemberNameBytes && strings.Trim(name, memberNameCharacters) == "" && name != "." && name != ".."
}
