package node

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// removedClassGrace is how long a class that new settings dropped is still served by the settings before: clients learn
// of settings later than the node does. After that its requests are answered with 400.
const removedClassGrace = 3 * time.Second

// classTable is what the ingress knows of the request classes under one version of the settings. It is immutable. A
// request is read by the table of its arrival; the balancer is told which version that was.
type classTable struct {
	effects         map[string]balancer.Effect // by name of the class
	settingsVersion int                        // counts the settings since the start
	maxDeadline     time.Duration              // the longest deadline of a class
	previous        *classTable                // the table before, without its own previous; nil: none
	previousUntil   time.Duration              // clock time until which classes are also looked up there
}

// classRule is what holds for a request by its class.
type classRule struct {
	effect          balancer.Effect
	settingsVersion int // the settings that the effect is from
}

// newClassTable returns the table of new settings that replace those of previous (nil: none) at a clock time.
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

// lookup returns the rule of a class. One that was dropped less than removedClassGrace ago is the previous table's.
func (t *classTable) lookup(class string, now time.Duration) (rule classRule, known bool) {
	effect, known := t.effects[class]
	if known || t.previous == nil || now >= t.previousUntil {
		return classRule{effect, t.settingsVersion}, known
	}
	effect, known = t.previous.effects[class]
	return classRule{effect, t.previous.settingsVersion}, known
}
