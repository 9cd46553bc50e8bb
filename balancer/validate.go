package balancer

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// SettingsError says which setting is invalid. Validate, New and Restore return it.
type SettingsError struct {
	Path    string // the setting and the entry that it belongs to, by the stored form's keys (the json tags)
	Key     string // the last key of Path; internal/simwire maps it to a key of the settings object
	Problem string // what is wrong with the setting
	Remedy  string // what the operator can do
}

// Error names the setting, the problem and the remedy.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("balancer: %s %s: %s", e.Path, e.Problem, e.Remedy)
}

// invalidSetting returns the error for a setting of an entry, or of the Settings themselves if entry is "".
func invalidSetting(entry, key, problem, remedy string) *SettingsError {
	path := key
	if entry != "" {
		path = entry + ": " + key
	}
	return &SettingsError{Path: path, Key: key, Problem: problem, Remedy: remedy}
}

// Remedies that several settings share.
const (
	remedyNotNegative = "set it to zero or more"         // for times, counts and weights
	remedyPositive    = "set it to more than zero"       // for times that something must fit into
	remedyShare       = "set it to a number from 0 to 1" // for shares
)

// Validate returns a *SettingsError for the first setting that a Balancer can't work with, or nil.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return invalidSetting("", "Classes", "is empty", "configure at least one class")
	}
	for i := range s.Classes {
		if err := s.validateClass(i); err != nil {
			return err
		}
	}
	if !isShare(s.SlowStartMinShare) {
		return invalidSetting("", "ColdFrom", "is out of range", remedyShare)
	}
	for _, d := range []struct {
		key   string
		value time.Duration
	}{{"AskWithin", s.MaxPollInterval}, {"Tick", s.TimerTolerance}, {"MaxRetryAfter", s.MaxRetryAfter},
		{"OrderSettle", s.KeyQuietPeriod}, {"WarmAfter", s.SlowStartDuration}} {
		if d.value < 0 {
			return invalidSetting("", d.key, "is negative", remedyNotNegative)
		}
	}
	for _, n := range []struct {
		key   string
		value float64
	}{{"Tier", float64(s.Tier)}, {"Balancers", float64(s.Replicas)}, {"Self", float64(s.ReplicaIndex)},
		{"MaxAttempts", float64(s.MaxAttempts)}, {"FallMultiple", s.OverloadMultiple}} {
		if !(n.value >= 0) { // true for NaN too
			return invalidSetting("", n.key, "is negative or not a number", remedyNotNegative)
		}
	}
	for i := range s.FaultInjections {
		if err := s.validateFaultInjection(i); err != nil {
			return err
		}
	}
	return nil
}

// validateClass checks the class at index i.
func (s Settings) validateClass(i int) error {
	c, path := s.Classes[i], fmt.Sprintf("Classes[%d]", i)
	repeated := slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name })
	if err := validateName(path, c.Name, repeated); err != nil {
		return err
	}
	path = fmt.Sprintf("%s (%s)", path, c.Name)
	switch {
	case c.LatencyObjective <= 0:
		return invalidSetting(path, "Aim", "is not positive", remedyPositive)
	case c.Deadline <= 0:
		return invalidSetting(path, "Deadline", "is not positive", remedyPositive)
	case c.DedupWindow < 0:
		return invalidSetting(path, "Window", "is negative", remedyNotNegative)
	case !(c.PriorityWeight >= 0):
		return invalidSetting(path, "Worth", "is negative or not a number", remedyNotNegative)
	case !isShare(c.LateCredit):
		return invalidSetting(path, "LateShare", "is out of range", remedyShare)
	}
	return nil
}

// validateFaultInjection checks the fault injection at index i.
func (s Settings) validateFaultInjection(i int) error {
	f, path := s.FaultInjections[i], fmt.Sprintf("Drills[%d]", i)
	earlier := s.FaultInjections[:i]
	repeated := slices.ContainsFunc(earlier, func(o FaultInjection) bool { return o.Name == f.Name })
	if err := validateName(path, f.Name, repeated); err != nil {
		return err
	}
	path = fmt.Sprintf("%s (%s)", path, f.Name)
	if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }) {
		path = fmt.Sprintf("%s: Class %q", path, f.Class)
		return &SettingsError{path, "Class", "is not one of the classes", "name a configured class"}
	}
	switch {
	case !(f.Percent >= 0 && f.Percent <= 100):
		return invalidSetting(path, "Share", "is out of range", "set it to a percentage from 0 to 100")
	case f.Delay < 0:
		return invalidSetting(path, "Delay", "is negative", remedyNotNegative)
	case f.Duration <= 0:
		return invalidSetting(path, "Duration", "is not positive", remedyPositive)
	case f.AbortStatus != 0 && f.AbortStatus != http.StatusServiceUnavailable &&
		f.AbortStatus != http.StatusInternalServerError:
		return invalidSetting(path, "AbortStatus", "is out of range", "set it to 503 or 500, or to 0")
	}
	return nil
}

// validateName checks that an entry of a list has a name, and that no earlier entry has the same name.
func validateName(path, name string, repeated bool) error {
	switch {
	case name == "":
		return &SettingsError{path + ".Name", "Name", "is empty", "give it a name"}
	case repeated:
		path = fmt.Sprintf("%s.Name (%s)", path, name)
		return &SettingsError{path, "Name", "is repeated", "give each its own name"}
	}
	return nil
}

// isShare reports whether a number is from 0 to 1.
func isShare(x float64) bool { return x >= 0 && x <= 1 }
