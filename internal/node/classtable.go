package node

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// removedClassGrace is how long a class that is missing in new settings is still served under the previous settings,
// because clients learn of new settings later than the node. After that its requests are answered with 400.
const removedClassGrace = 3 * time.Second

// classTable has the properties of the request classes that the ingress needs, for one version of the settings. It is
// immutable. A request is read with the table that is current when it arrives, and the balancer is given that version.
type classTable struct {
	effects         map[string]balancer.Effect // by class name
	settingsVersion int                        // 0 at startup, incremented with each change of the settings
	maxDeadline     time.Duration              // the longest deadline of any class
	previous        *classTable                // the preceding table, with previous set to nil; nil: none
	previousUntil   time.Duration              // clock time until which lookup falls back to previous
}

// classSettings has the properties that a request gets from its class.
type classSettings struct {
	effect          balancer.Effect
	settingsVersion int // version of the settings that define the effect
}

// newClassTable returns the table for new settings, which replace those of previous (nil: none) at clock time now.
func newClassTable(settings balancer.Settings, previous *classTable, now time.Duration) *classTable {
	t := &classTable{effects: map[string]balancer.Effect{}}
	for _, class := range settings.Classes {
		t.effects[class.Name] = class.Effect
		t.maxDeadline = max(t.maxDeadline, class.Deadline)
	}
	if previous != nil {
		old := *previous
		old.previous = nil
		t.settingsVersion, t.previous, t.previousUntil = previous.settingsVersion+1, &old, now+removedClassGrace
	}
	return t
}

// lookup returns the settings of a class. It takes them from the previous table if the class was removed less than
// removedClassGrace ago.
func (t *classTable) lookup(class string, now time.Duration) (settings classSettings, known bool) {
	effect, known := t.effects[class]
	if known || t.previous == nil || now >= t.previousUntil {
		return classSettings{effect, t.settingsVersion}, known
	}
	effect, known = t.previous.effects[class]
	return classSettings{effect, t.previous.settingsVersion}, known
}
