package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"hookwalk.example/hookwalk/internal/configapi"
)

// maxHistory is the number of versions in the history. A publish request that is repeated within this number of
// versions is recognized by its ID. It is more than operators publish in a day, and the history stays small compared
// with the configurations of the services.
const maxHistory = 1000

// commandKind is the kind of an entry of the replicated log.
type commandKind string

const (
	commandCreateCluster commandKind = "create_cluster" // a new cluster gets its identity
	commandPublish       commandKind = "publish"        // an operator publishes a version
	commandMemberStarted commandKind = "member_started" // a controller has started on its disk
)

// digestBytes is how many bytes of its SHA-256 hash identify the published content.
const digestBytes = 16

// command is one entry of the replicated log. Only the field that belongs to its kind is set.
type command struct {
	Kind          commandKind           `json:"kind"`
	CreateCluster *createClusterCommand `json:"create_cluster,omitempty"`
	Publish       *publishCommand       `json:"publish,omitempty"`
	MemberStarted *memberStartedCommand `json:"member_started,omitempty"`
}

// createClusterCommand gives the cluster its identity. Only the first such command has an effect.
type createClusterCommand struct {
	Cluster configapi.Cluster `json:"cluster"`
}

// publishCommand adds a version.
type publishCommand struct {
	ID       string              `json:"id"`
	Document configapi.Document  `json:"document"`
	Replaces []configapi.Cluster `json:"replaces,omitempty"`
	TimeMS   int64               `json:"time_ms"` // by the leader's clock, Unix milliseconds
}

// memberStartedCommand records that a controller's process has started on its disk. A disk with a lower start number is
// an old copy, and so is one with the same number that was used by another process.
type memberStartedCommand struct {
	ServerID  string `json:"server"`  // the raft server ID
	Start     uint64 `json:"start"`   // rises by 1 with each start on the disk
	ProcessID string `json:"process"` // random, different for each process
}

// commandResult is the result of applying a command.
type commandResult struct {
	Reply configapi.PublishReply
	Err   *configapi.Error
}

// serviceState is the newest configuration of one service.
type serviceState struct {
	Config        configapi.ServiceConfig `json:"config"`
	ConfigVersion configapi.Version       `json:"changed"` // the version that set Config
}

// historyEntry describes one version.
type historyEntry struct {
	Version  configapi.Version `json:"version"`
	ID       string            `json:"id"`     // of the publish request
	Digest   string            `json:"digest"` // of the published content, to distinguish a repeated request from another one with the same ID
	Services []string          `json:"services"`
	TimeMS   int64             `json:"time_ms"`
}

// memberStart is the last recorded start of a raft server.
type memberStart struct {
	Start     uint64 `json:"start"`
	ProcessID string `json:"process"`
}

// state is the replicated state. It is immutable: apply returns a new state, which may share parts with the old one. It
// depends only on the log, so all controllers that have applied the same entries have equal states.
type state struct {
	Cluster  configapi.Cluster       `json:"cluster"`
	Replaces []configapi.Cluster     `json:"replaces,omitempty"`
	Version  configapi.Version       `json:"version"`
	Services map[string]serviceState `json:"services"`
	History  []historyEntry          `json:"history"` // the last maxHistory versions, in order
	Starts   map[string]memberStart  `json:"starts"`  // by raft server ID
}

// apply returns the state after a command, and the result of the command.
func (s *state) apply(c command) (*state, commandResult) {
	switch {
	case c.Kind == commandCreateCluster && c.CreateCluster != nil:
		return s.applyCreateCluster(*c.CreateCluster), commandResult{}
	case c.Kind == commandPublish && c.Publish != nil:
		return s.applyPublish(*c.Publish)
	case c.Kind == commandMemberStarted && c.MemberStarted != nil:
		return s.applyMemberStarted(*c.MemberStarted), commandResult{}
	}
	err := &configapi.Error{Kind: configapi.ErrorInvalid,
		Message: fmt.Sprintf("this controller does not know the log's command %q: all controllers need the same build", c.Kind)}
	return s, commandResult{Err: err}
}

func (s *state) applyCreateCluster(c createClusterCommand) *state {
	if s.Cluster != "" {
		return s
	}
	next := *s
	next.Cluster = c.Cluster
	return &next
}

func (s *state) applyPublish(c publishCommand) (*state, commandResult) {
	if reply, err := s.earlierReply(c); reply.Version != 0 || err != nil {
		return s, commandResult{Reply: reply, Err: err}
	}
	if err := s.checkPublishRate(c.TimeMS); err != nil {
		return s, commandResult{Err: err}
	}
	next := *s
	next.Version++
	next.Services = maps.Clone(s.Services)
	if next.Services == nil {
		next.Services = map[string]serviceState{}
	}
	for name, config := range c.Document.Services {
		next.Services[name] = serviceState{Config: config, ConfigVersion: next.Version}
	}
	next.Replaces = unionClusters(s.Replaces, c.Replaces)
	entry := historyEntry{Version: next.Version, ID: c.ID, Digest: c.digest(), TimeMS: c.TimeMS,
		Services: slices.Sorted(maps.Keys(c.Document.Services))}
	recent := s.History[max(0, len(s.History)+1-maxHistory):]
	next.History = append(slices.Clone(recent), entry)
	return &next, commandResult{Reply: configapi.PublishReply{Cluster: next.Cluster, Version: next.Version}}
}

// earlierReply returns the reply to a publish request that was applied before under the same ID (idempotency key): a
// repeated request adds no version. The Version of the reply is 0 if there was no such request.
func (s *state) earlierReply(c publishCommand) (configapi.PublishReply, *configapi.Error) {
	at := slices.IndexFunc(s.History, func(e historyEntry) bool { return e.ID == c.ID })
	switch {
	case at < 0:
		return configapi.PublishReply{}, nil
	case s.History[at].Digest != c.digest():
		return configapi.PublishReply{}, &configapi.Error{Kind: configapi.ErrorInvalid,
			Message: fmt.Sprintf("the ID %s was used for version %d, which has another content: publish with a new ID", c.ID, s.History[at].Version)}
	}
	return configapi.PublishReply{Cluster: s.Cluster, Version: s.History[at].Version}, nil
}

func (s *state) applyMemberStarted(c memberStartedCommand) *state {
	if known, ok := s.Starts[c.ServerID]; ok && known.Start >= c.Start {
		return s
	}
	next := *s
	next.Starts = maps.Clone(s.Starts)
	if next.Starts == nil {
		next.Starts = map[string]memberStart{}
	}
	next.Starts[c.ServerID] = memberStart{Start: c.Start, ProcessID: c.ProcessID}
	return &next
}

// digest returns a hash of the content that the command publishes. It does not depend on the ID and the time of the
// command.
func (c publishCommand) digest() string {
	text, err := json.Marshal(struct {
		Document configapi.Document  `json:"Document"`
		Replaces []configapi.Cluster `json:"Replaces"`
	}{c.Document, c.Replaces})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}

// unionClusters returns the union of two lists, in the order in which clusters were added.
func unionClusters(existing, added []configapi.Cluster) []configapi.Cluster {
	all := slices.Clone(existing)
	for _, c := range added {
		if !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	return all
}
