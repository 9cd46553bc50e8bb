package controller

import (
	"strings"
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// The form of a document is checked before it is published, so that an operator gets an error at once.
func TestReadDocument(t *testing.T) {
	for name, c := range map[string]struct {
		text     string
		kind     configapi.ErrorKind // "": accepted
		wantText string
	}{
		"two services":                   {`{"services":{"dry":{"settings":{"a":1}},"press":{"settings":{},"discovery":"10.0.0.1:80"}}}`, "", ""},
		"settings that only nodes check": {`{"services":{"dry":{"settings":5}}}`, "", ""},
		"not JSON":                       {`{"services":`, configapi.ErrorInvalid, "can't be read"},
		"an unknown key":                 {`{"services":{},"sevices":{}}`, configapi.ErrorInvalid, "sevices"},
		"an unknown inner key":           {`{"services":{"dry":{"settings":{},"disco":""}}}`, configapi.ErrorInvalid, "disco"},
		"two documents":                  {`{"services":{}} {}`, configapi.ErrorInvalid, "behind"},
		"no settings":                    {`{"services":{"dry":{}}}`, configapi.ErrorInvalid, "dry has no settings"},
		"a name with a space":            {`{"services":{"dry bay":{"settings":{}}}}`, "", ""},
		"a space at the end":             {`{"services":{"dry ":{"settings":{}}}}`, configapi.ErrorInvalid, "dry "},
		"a line break":                   {`{"services":{"dry\nbay":{"settings":{}}}}`, configapi.ErrorInvalid, "name"},
		"an empty name":                  {`{"services":{"":{"settings":{}}}}`, configapi.ErrorInvalid, "name"},
		"a bad discovery":                {`{"services":{"dry":{"settings":{},"discovery":"there"}}}`, configapi.ErrorInvalid, "HOST:PORT"},
		"too large":                      {`{"services":{"dry":{"settings":"` + strings.Repeat("x", configapi.MaxDocumentBytes) + `"}}}`, configapi.ErrorTooLarge, "several documents"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readDocument([]byte(c.text))
			switch {
			case err == nil && c.kind != "":
				t.Error("a document with an error is accepted")
			case err != nil && (err.Kind != c.kind || !strings.Contains(err.Message, c.wantText)):
				t.Errorf("%v", err)
			}
		})
	}
}

// The ID and the replaced clusters of a publish request are checked.
func TestCheckPublishRequest(t *testing.T) {
	for name, c := range map[string]struct {
		request   configapi.PublishRequest
		wantError bool
	}{
		"an ID":                   {configapi.PublishRequest{ID: "ABC"}, false},
		"no ID":                   {configapi.PublishRequest{}, true},
		"a long ID":               {configapi.PublishRequest{ID: strings.Repeat("x", maxPublishIDBytes+1)}, true},
		"an ID with a line break": {configapi.PublishRequest{ID: "a\nb"}, true},
		"replaces a cluster":      {configapi.PublishRequest{ID: "ABC", Replaces: []configapi.Cluster{"XYZ"}}, false},
		"replaces nothing":        {configapi.PublishRequest{ID: "ABC", Replaces: []configapi.Cluster{""}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := checkPublishRequest(c.request); (err != nil) != c.wantError {
				t.Errorf("%v", err)
			}
		})
	}
}
