package configversion

import (
	"testing"

	"hookwalk.example/hookwalk/internal/configapi"
)

// A misspelt zone or kind would take a class out of service at all nodes at once; a change that does no harm must pass.
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
		"all":                                  {all, all, servers, ""},
		"fewer, and several":                   {all, class(nil, big), servers, ""},
		"a kind that is not there":             {all, class(nil, none), servers, configapi.RejectNoServer},
		"a zone that is not there":             {all, class([]string{"c"}, nil), servers, configapi.RejectNoServer},
		"a list without entries":               {all, class([]string{}, nil), servers, configapi.RejectNoServer},
		"one by zone":                          {all, class([]string{"b"}, nil), servers, configapi.RejectOneServer},
		"one by kind":                          {all, class(nil, []string{"small"}), servers, configapi.RejectOneServer},
		"one by both":                          {class(nil, big), class([]string{"b"}, big), servers, configapi.RejectOneServer},
		"one, as before":                       {class([]string{"b"}, nil), class(nil, []string{"small"}), servers, ""},
		"one, and there is one":                {all, class(nil, big), servers[:1], ""},
		"a new class of one":                   {nil, class([]string{"b"}, nil), servers, ""},
		"a new class of none":                  {nil, class(nil, none), servers, configapi.RejectNoServer},
		"none, as before":                      {class(nil, none), class(nil, none), servers, ""},
		"none, by other words than before":     {class(nil, none), class(nil, []string{"tall"}), servers, configapi.RejectNoServer},
		"a class that is dropped":              {all, nil, servers, ""},
		"no server is known":                   {all, class(nil, none), nil, ""},
		"the second of two classes is at none": {all, append(class(nil, big), Class{Name: "d", Kinds: none}), servers, configapi.RejectNoServer},
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
