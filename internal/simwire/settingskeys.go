package simwire

import (
	"errors"
	"fmt"
	"strings"

	"hookwalk.example/hookwalk/balancer"
)

// faultInjectionsPath begins the path of a fault injection in a balancer.SettingsError. They are not in the settings object.
const faultInjectionsPath = "Drills"

// objectKeys are the keys of the settings object by those of the stored form, in which a balancer.SettingsError names them.
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

// WithObjectKey adds to a *balancer.SettingsError the key under which operators write the setting in the settings object. It
// returns other errors as they are, also nil and those of fault injections, which the settings object does not have.
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
