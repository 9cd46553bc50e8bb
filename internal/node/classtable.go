package node

import (
	"time"

	"hookwalk.example/hookwalk/balancer"
)

// removedClassGrace is how long a class that is missing in new settings is still served under the settings that it had,
// because clients learn of new settings later than the node. After that its requests are answered with 400.
const removedClassGrace = 3 * time.Second

// classTable has the settings under which the ingress accepts requests. It is immutable. A request is accepted under the table
// that is current when its head has been read, and keeps those settings however often they change while its body arrives.
type classTable struct {
	classes     map[string]*balancer.AcceptedSettings // by class name
	removed     map[string]removedClass               // by class name: classes that the settings no longer have
	maxDeadline time.Duration                         // the longest deadline of any class
}

// removedClass is a class that the settings no longer have.
type removedClass struct {
	accepted *balancer.AcceptedSettings
	until    time.Duration // clock time until which its requests are accepted
}

// newClassTable returns the table for new settings, which replace those of previous (nil: none) at clock time now.
func newClassTable(settings balancer.Settings, previous *classTable, now time.Duration) *classTable {
	t := &classTable{classes: map[string]*balancer.AcceptedSettings{}, removed: map[string]removedClass{}}
	for _, class := range settings.Classes {
		t.classes[class.Name] = &balancer.AcceptedSettings{Class: class, MaxAttempts: settings.MaxAttempts}
		t.maxDeadline = max(t.maxDeadline, class.Deadline)
	}
	if previous == nil {
		return t
	}
	for name, class := range previous.removed {
		if now < class.until {
			t.addRemoved(name, class.accepted.Class, settings.MaxAttempts, class.until)
		}
	}
	for name, accepted := range previous.classes {
		t.addRemoved(name, accepted.Class, settings.MaxAttempts, now+removedClassGrace)
	}
	return t
}

// addRemoved adds a class of a previous table, unless the settings have one of that name.
func (t *classTable) addRemoved(name string, class balancer.Class, maxAttempts int, until time.Duration) {
	if t.classes[name] == nil {
		t.removed[name] = removedClass{&balancer.AcceptedSettings{Class: class, MaxAttempts: maxAttempts}, until}
	}
}

// lookup returns the settings under which a request of a class is accepted, also if the class was removed less than
// removedClassGrace ago. It returns nil if there is no such class.
func (t *classTable) lookup(class string, now time.Duration) *balancer.AcceptedSettings {
	if accepted := t.classes[class]; accepted != nil {
		return accepted
	}
	if removed, found := t.removed[class]; found && now < removed.until {
		return removed.accepted
	}
	return nil
}
