package simwire

import (
	"errors"
	"fmt"
	"strings"

	"hookwalk.example/hookwalk/balancer"
)

// faultInjectionsPath is the prefix of a fault injection's path in a balancer.SettingsError. The settings object has no
// fault injections.
const faultInjectionsPath = "Drills"

// objectKeys maps the keys of the stored form, which a balancer.SettingsError uses, to the keys of the settings object.
var objectKeys = map[string]string{
	"Classes":   "lanes",
	"Name":      "name",
	"Aim":       "target-ms",
	"Deadline":  "deadline-ms",
	"Window":    "window-ms",
	"Worth":     "worth",
	"LateShare": "late-share",

	"AskWithin":     "ask-within-ms",
	"Balancers":     "balancers",
	"ColdFrom":      "cold-from",
	"FallMultiple":  "fall-multiple",
	"MaxAttempts":   "max-attempts",
	"MaxRetryAfter": "max-retry-after-ms",
	"OrderSettle":   "order-settle-ms",
	"Self":          "me",
	"Tick":          "tick-ms",
	"Tier":          "tier",
	"WarmAfter":     "warm-after-ms",
}

// WithObjectKey adds to a *balancer.SettingsError the key that operators use for the setting in the settings object. It
// returns all other errors unchanged, including nil and errors of fault injections, which the settings object does not
// have.
func WithObjectKey(err error) error {
	var invalid *balancer.SettingsError
	if !errors.As(err, &invalid) || strings.HasPrefix(invalid.Path, faultInjectionsPath) {
		return err
	}
	key := objectKeys[invalid.Key]
	if key == "" {
		return err
	}
	return fmt.Errorf("%w (%s in the settings)", err, key)
}
