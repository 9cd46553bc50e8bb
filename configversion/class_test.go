package configversion

import (
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A misspelt zone or kind would take a class out of service at all nodes at once, and must be rejected. Harmless
// changes must be accepted.
func TestCheckClasses(t *testing.T) {
	servers := []Server{{"a", "big"}, {"a", "big"}, {"a", "small"}, {"b", "big"}}
	class := func(zones, kinds []string) []Class { return []Class{{Name: "c", Zones: zones, Kinds: kinds}} }
	all := class(nil, nil)
	big := []string{"big"}
	none := []string{"huge"}
	for name, c := range map[string]struct {
		current, proposed []Class
		servers           []Server
		want              configapi.RejectionKind
	}{
		"all":                                     {all, all, servers, ""},
		"fewer, but several":                      {all, class(nil, big), servers, ""},
		"a kind without servers":                  {all, class(nil, none), servers, configapi.RejectNoServer},
		"a zone without servers":                  {all, class([]string{"c"}, nil), servers, configapi.RejectNoServer},
		"an empty list of zones":                  {all, class([]string{}, nil), servers, configapi.RejectNoServer},
		"one by zone":                             {all, class([]string{"b"}, nil), servers, configapi.RejectOneServer},
		"one by kind":                             {all, class(nil, []string{"small"}), servers, configapi.RejectOneServer},
		"one by both":                             {class(nil, big), class([]string{"b"}, big), servers, configapi.RejectOneServer},
		"still one":                               {class([]string{"b"}, nil), class(nil, []string{"small"}), servers, ""},
		"one, and only one is known":              {all, class(nil, big), servers[:1], ""},
		"a new class with one server":             {nil, class([]string{"b"}, nil), servers, ""},
		"a new class without servers":             {nil, class(nil, none), servers, configapi.RejectNoServer},
		"still none, class unchanged":             {class(nil, none), class(nil, none), servers, ""},
		"still none, class changed":               {class(nil, none), class(nil, []string{"tall"}), servers, configapi.RejectNoServer},
		"a removed class":                         {all, nil, servers, ""},
		"no server is known":                      {all, class(nil, none), nil, ""},
		"the second of two classes has no server": {all, append(class(nil, big), Class{Name: "d", Kinds: none}), servers, configapi.RejectNoServer},
	} {
		t.Run(name, func(t *testing.T) {
			got := CheckClasses(c.current, c.proposed, c.servers)
			kind := configapi.RejectionKind("")
			if got != nil {
				kind = got.Kind
			}
			if kind != c.want {
				t.Errorf("%v, want %q", got, c.want)
			}
		})
	}
}
