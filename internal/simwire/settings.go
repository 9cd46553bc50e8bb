package simwire

import (
	"encoding/json"
	"fmt"

	"hookwalk.example/hookwalk/balancer"
)

// settingsObject is the settings object on the wire. Times are in milliseconds.
type settingsObject struct {
	Replicas        int `json:"balancers"`
	SheddingWeights struct {
		TotalValue float64 `json:"whole"`
		WorstClass float64 `json:"worst-class"`
	} `json:"blend"`
	Clients struct {
		MarkRetries bool `json:"marks-retry"`
	} `json:"callers"`
	Classes []classObject `json:"lanes"`
	Limits  struct {
		MaxAttempts   int     `json:"max-attempts"`
		MaxRetryAfter float64 `json:"max-retry-after-ms"`
		RetryAfter    bool    `json:"retry-after"`
	} `json:"limits"`
	DiscoveryMode string `json:"registry-mode"`
	Rules         struct {
		MaxPollInterval   float64 `json:"ask-within-ms"`
		SlowStartMinShare float64 `json:"cold-from"`
		OverloadMultiple  float64 `json:"fall-multiple"`
		KeyQuietPeriod    float64 `json:"order-settle-ms"`
		SlowStartDuration float64 `json:"warm-after-ms"`
	} `json:"rules"`
	ReplicaIndex int     `json:"me"`
	Tick         float64 `json:"tick-ms"`
	Tier         int     `json:"tier"`
	Zone         string  `json:"zone"`
}

// classObject is a class of requests in the settings object.
type classObject struct {
	Deadline         float64 `json:"deadline-ms"`
	Effect           string  `json:"effect"`
	DedupScope       string  `json:"key-scope"`
	LateCredit       float64 `json:"late-share"`
	Name             string  `json:"name"`
	Stream           bool    `json:"stream"`
	LatencyObjective float64 `json:"target-ms"`
	DedupWindow      float64 `json:"window-ms"`
	PriorityWeight   float64 `json:"worth"`

	OrderedByKey bool     `json:"by-arrival"`
	AllowedKinds []string `json:"bound-to"`
	AllowedZones []string `json:"confined-to"`
}

// pollDiscoveryMode is the discovery mode in which the endpoint list is sent only on request.
const pollDiscoveryMode = "on_request"

// scopes maps the names of deduplication scopes on the wire.
var scopes = map[string]balancer.Scope{
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// effects maps the names of effects on the wire. Every other name is NonIdempotent.
var effects = map[string]balancer.Effect{
	"read_like":       balancer.Idempotent,
	"idempotency_key": balancer.IdempotentWithKey,
}

// ParseSettings reads the settings object. It does not check the values; balancer.Settings.Validate does that. Unknown
// keys are ignored, an unknown effect is read as NonIdempotent, and an unknown scope as the narrowest one. If the text
// is not valid JSON or has values of other types, the returned error wraps that of encoding/json.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return object.settings(), nil
}

// settings converts the object to balancer.Settings.
func (o *settingsObject) settings() balancer.Settings {
	settings := balancer.Settings{
		Replicas:           o.Replicas,
		ReplicaIndex:       o.ReplicaIndex,
		Zone:               o.Zone,
		Tier:               o.Tier,
		TotalValueWeight:   o.SheddingWeights.TotalValue,
		WorstClassWeight:   o.SheddingWeights.WorstClass,
		ClientsMarkRetries: o.Clients.MarkRetries,
		MaxAttempts:        o.Limits.MaxAttempts,
		PollDiscovery:      o.DiscoveryMode == pollDiscoveryMode,
		MaxPollInterval:    fromMilliseconds(o.Rules.MaxPollInterval),
		TimerTolerance:     fromMilliseconds(o.Tick),
		KeyQuietPeriod:     fromMilliseconds(o.Rules.KeyQuietPeriod),
		SlowStartMinShare:  o.Rules.SlowStartMinShare,
		SlowStartDuration:  fromMilliseconds(o.Rules.SlowStartDuration),
		OverloadMultiple:   o.Rules.OverloadMultiple,
	}
	if o.Limits.RetryAfter {
		settings.MaxRetryAfter = fromMilliseconds(o.Limits.MaxRetryAfter)
	}
	for _, c := range o.Classes {
		settings.Classes = append(settings.Classes, c.class())
	}
	return settings
}

// class converts a class to a balancer.Class.
func (c *classObject) class() balancer.Class {
	return balancer.Class{
		Name:             c.Name,
		Effect:           effects[c.Effect],
		DedupScope:       scopes[c.DedupScope],
		DedupWindow:      fromMilliseconds(c.DedupWindow),
		LatencyObjective: fromMilliseconds(c.LatencyObjective),
		Deadline:         fromMilliseconds(c.Deadline),
		LateCredit:       c.LateCredit,
		PriorityWeight:   c.PriorityWeight,
		Stream:           c.Stream,
		OrderedByKey:     c.OrderedByKey,
		AllowedZones:     c.AllowedZones,
		AllowedKinds:     c.AllowedKinds,
	}
}
