package simwire

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"hookwalk.example/hookwalk/balancer"
	"hookwalk.example/hookwalk/internal/goldentest"
)

// An operator has written a value that the balancer rejects. The balancer names the setting by its key in the stored
// form, which operators never see, so the error must also contain the key that the operator wrote.
func TestSettingsErrorsNameTheObjectKey(t *testing.T) {
	const valid = `"name":"get","target-ms":500,"deadline-ms":900`
	for text, want := range map[string]string{
		`{}`:             "lanes",
		`{"lanes":[{}]}`: "name",
		`{"lanes":[{"name":"a: b","target-ms":500,"deadline-ms":900},{"name":"a: b"}]}`:     "name",
		`{"lanes":[{"name":"a: b","deadline-ms":900}]}`:                                     "target-ms",
		`{"lanes":[{"name":"get","target-ms":500}]}`:                                        "deadline-ms",
		`{"lanes":[{` + valid + `,"window-ms":-1}]}`:                                        "window-ms",
		`{"lanes":[{` + valid + `,"worth":-1}]}`:                                            "worth",
		`{"lanes":[{` + valid + `,"late-share":2}]}`:                                        "late-share",
		`{"lanes":[{` + valid + `}],"balancers":-1}`:                                        "balancers",
		`{"lanes":[{` + valid + `}],"me":-1}`:                                               "me",
		`{"lanes":[{` + valid + `}],"tier":-1}`:                                             "tier",
		`{"lanes":[{` + valid + `}],"tick-ms":-1}`:                                          "tick-ms",
		`{"lanes":[{` + valid + `}],"limits":{"max-attempts":-1}}`:                          "max-attempts",
		`{"lanes":[{` + valid + `}],"limits":{"retry-after":true,"max-retry-after-ms":-1}}`: "max-retry-after-ms",
		`{"lanes":[{` + valid + `}],"rules":{"ask-within-ms":-1}}`:                          "ask-within-ms",
		`{"lanes":[{` + valid + `}],"rules":{"cold-from":2}}`:                               "cold-from",
		`{"lanes":[{` + valid + `}],"rules":{"fall-multiple":-1}}`:                          "fall-multiple",
		`{"lanes":[{` + valid + `}],"rules":{"order-settle-ms":-1}}`:                        "order-settle-ms",
		`{"lanes":[{` + valid + `}],"rules":{"warm-after-ms":-1}}`:                          "warm-after-ms",
	} {
		settings, err := ParseSettings([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		err = WithObjectKey(settings.Validate())
		if err == nil || !strings.HasSuffix(err.Error(), " ("+want+" in the settings)") {
			t.Errorf("%s: got %v, want an error with the key %s", text, err, want)
		}
		if !errors.As(err, new(*balancer.SettingsError)) {
			t.Errorf("%s: %v wraps no SettingsError", text, err)
		}
	}
}

// Errors about something other than a value of the settings object get no key, and nil stays nil.
func TestOtherErrorsAreReturnedUnchanged(t *testing.T) {
	other := errors.New("other")
	fault := error(&balancer.SettingsError{Path: "Drills[0].Name", Key: "Name", Problem: "is wrong", Remedy: "set it"})
	for _, err := range []error{nil, other, fault} {
		if got := WithObjectKey(err); got != err {
			t.Errorf("%v became %v", err, got)
		}
	}
}

// Every key that an error may name must exist in the settings object.
func TestObjectKeysExistInTheSettingsObject(t *testing.T) {
	object := string(goldentest.Text(t, filepath.Join("testdata", "settings.json")))
	for stored, key := range objectKeys {
		if !strings.Contains(object, `"`+key+`":`) {
			t.Errorf("%s: the settings object has no %s", stored, key)
		}
	}
}
