package balancer

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// An operator who wrote an invalid setting must learn from the error which setting it is and how to correct it.
func TestSettingsErrorsNameTheSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":  func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":   func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1] (post)": func(s *Settings) { s.Classes[1].DedupWindow = -1 },
		"ColdFrom":          func(s *Settings) { s.SlowStartMinShare = 1.5 },
		"WarmAfter":         func(s *Settings) { s.SlowStartDuration = -1 },
		"LateShare":         func(s *Settings) { s.Classes[0].LateCredit = 2 },
		"Drills[0].Name":    func(s *Settings) { s.FaultInjections = []FaultInjection{{Class: "get", Duration: 1}} },
		"Drills[1].Name":    func(s *Settings) { s.FaultInjections = slices.Repeat(payFault(FaultInjection{}), 2) },
		"Class \"gone\"":    func(s *Settings) { s.FaultInjections = payFault(FaultInjection{Class: "gone"}) },
		"AbortStatus":       func(s *Settings) { s.FaultInjections = payFault(FaultInjection{AbortStatus: 200}) },
	} {
		s := testSettings()
		change(&s)
		_, err := New(s, 1)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
		var settingsErr *SettingsError
		if !errors.As(err, &settingsErr) || settingsErr.Path == "" || settingsErr.Key == "" || settingsErr.Problem == "" || settingsErr.Remedy == "" {
			t.Errorf("%v lacks a path, key, problem or remedy: %+v", err, settingsErr)
		}
	}
}
