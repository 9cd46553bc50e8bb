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
	// defaultMaxSessions is the maximum number of sessions at one controller. Each session uses two connections of the
	// process and their buffers. The default leaves room for the nodes of controllers that have failed.
	defaultMaxSessions = 600
	// defaultElectionTimeout is how long a follower waits for the leader before it starts an election: long enough for
	// a slow disk, and short enough that a publish request survives the change of the leader.
	defaultElectionTimeout = 400 * time.Millisecond
	// defaultLeaderLease is how long a leader remains the leader without hearing from a quorum. It ends before another
	// leader can be elected.
	defaultLeaderLease = 300 * time.Millisecond
	// defaultFolderName is the name of the default folder, in the system's folder for temporary files.
	defaultFolderName = "hookwalk-controllers"
)

// Bounds of the settings. With shorter times than these, every pause of a process would cause an election; longer ones
// would leave nodes without versions for too long.
const (
	// maxSettingsFileBytes is the maximum size of a settings file.
	maxSettingsFileBytes = 1 << 20
	// maxMembers is the maximum number of controllers of a cluster. More than a few make each publish slower and no
	// safer.
	maxMembers = 15
	// maxSessionsLimit is the largest value of max_sessions. Each session uses two connections of the process.
	maxSessionsLimit = 20000

	minHeartbeatInterval = 50 * time.Millisecond  // of heartbeat_ms
	maxHeartbeatInterval = time.Second            // of heartbeat_ms: below the nodes' silence timeout
	minElectionTimeout   = 100 * time.Millisecond // of election_ms
	maxElectionTimeout   = 10 * time.Second       // of election_ms
	minLeaderLease       = 50 * time.Millisecond  // of lease_ms
	maxLeaderLease       = 10 * time.Second       // of lease_ms

	// maxMemberNameBytes is the maximum length of a controller's name.
	maxMemberNameBytes = 64
)

// Config has the settings of one controller.
type Config struct {
	Self              Member
	Members           []Member // all controllers of the cluster, Self among them, in the file's order
	Folder            string   // used by this controller only
	MaxSessions       int
	HeartbeatInterval time.Duration // between heartbeats on a watch
	ElectionTimeout   time.Duration // how long a follower waits for the leader before it starts an election
	LeaderLease       time.Duration // how long a leader without answers from a quorum remains the leader
}

// Member is one controller of the cluster.
type Member struct {
	Name   string
	Listen string // HOST:PORT of the HTTP API, for nodes, operators and other controllers
	Raft   string // HOST:PORT of the replicated log
	Dial   string // HOST:PORT at which this process reaches its HTTP API; Listen by default
	Region string
	Zone   string
}

// ControllerAddress returns the address at which nodes reach the controller, and its location.
func (m Member) ControllerAddress() configapi.ControllerAddress {
	return configapi.ControllerAddress{Address: m.Listen, Region: m.Region, Zone: m.Zone}
}

// LoadConfig reads a cluster's settings file, and returns the settings of the controller with this name. All
// controllers may share one file; the name may be empty if the file has only one controller. Errors name the file and,
// if they concern one line, that line.
func LoadConfig(path, name string) (Config, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Config{}, fmt.Errorf("controller: %w", err)
	}
	if info.Size() > maxSettingsFileBytes {
		return Config{}, fmt.Errorf("controller: %w", &ConfigError{path, fmt.Sprintf("the file is larger than %d bytes", maxSettingsFileBytes)})
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

// ParseConfig parses the text of a settings file, and returns the settings of the controller with this name, as
// LoadConfig does. Errors begin with the file's name and, if they concern one line, that line.
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
			config.readControllersBlock(reader)
		case "controller":
			config.readControllerBlock(reader)
		default:
			return Config{}, settings.ErrorAt(file, block.Line, "unknown block %s", block.Kind)
		}
		if err := reader.End(); err != nil {
			return Config{}, err
		}
	}
	return config.selectSelf(file, name)
}

// readControllersBlock reads the settings that all controllers have in common.
func (c *Config) readControllersBlock(r *settings.Reader) {
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

// readControllerBlock reads the block of one controller.
func (c *Config) readControllerBlock(r *settings.Reader) {
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
		r.AddErrorAt(r.Block.Line, "a cluster has at most %d controllers", maxMembers)
	}
}

// checkDistinct checks that no other controller has the same name or one of the same addresses, and that listen and
// raft differ.
func (c *Config) checkDistinct(r *settings.Reader, member Member) {
	for _, other := range c.Members {
		if other.Name == member.Name {
			r.AddErrorAt(r.Block.Line, "controller %s is defined twice", member.Name)
		}
		for _, taken := range []string{other.Listen, other.Raft} {
			if taken == member.Listen || taken == member.Raft {
				r.AddErrorAt(r.Block.Line, "controller %s uses the address %s of controller %s", member.Name, taken, other.Name)
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

// selectSelf sets Self to the controller that this process is to run. Its error is a ConfigError.
func (c Config) selectSelf(file, name string) (Config, error) {
	switch {
	case len(c.Members) == 0:
		return Config{}, &ConfigError{file, "the file has no controller block"}
	case name == "" && len(c.Members) > 1:
		return Config{}, &ConfigError{file, fmt.Sprintf("the file has %d controllers: select one of them with --name (%s)", len(c.Members), c.memberNames())}
	case name == "":
		name = c.Members[0].Name
	}
	for _, member := range c.Members {
		if member.Name == name {
			c.Self = member
		}
	}
	if c.Self.Name == "" {
		return Config{}, &ConfigError{file, fmt.Sprintf("the file has no controller %q; it has %s", name, c.memberNames())}
	}
	c.Folder = filepath.Join(c.Folder, c.Self.Name)
	return c, nil
}

func (c Config) memberNames() string {
	var names []string
	for _, member := range c.Members {
		names = append(names, member.Name)
	}
	return strings.Join(names, ", ")
}

// member returns the controller with a name.
func (c Config) member(name string) (Member, bool) {
	for _, member := range c.Members {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// memberNameCharacters are the characters that a controller's name may contain. The name is also the name of its
// folder.
const memberNameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

func validMemberName(name string) bool {
	return name != "" && len(name) <= maxMemberNameBytes && strings.Trim(name, memberNameCharacters) == "" && name != "." && name != ".."
}
