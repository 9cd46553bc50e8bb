package sockets

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"hookwalk.example/hookwalk/internal/lab/audit"
	"hookwalk.example/hookwalk/internal/lab/scenario"
)

// TestMain lets the test binary stand in for a node that breaks a rule.
func TestMain(m *testing.M) {
	if fault := os.Getenv("LAB_ROGUE"); fault != "" {
		if err := rogue(fault); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// rogue is a node that knows the wire and keeps no rule.
func rogue(fault string) error {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var c struct {
		Known roster `json:"known"`
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	pass := func(r *http.Request, to entry) int {
		out, err := http.NewRequest(r.Method, "http://"+to.Dial+r.URL.String(), nil)
		if err != nil {
			return 0
		}
		out.Header = r.Header.Clone()
		resp, err := http.DefaultClient.Do(out)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "msg=serving listen=%s\n", ln.Addr())
	return http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			return
		}
		box := c.Known.Hosts
		switch fault {
		case "made-up":
		case "no answer":
			panic(http.ErrAbortHandler) // the connection ends without a word
		case "two at once":
			var both sync.WaitGroup
			for i := range 2 {
				spawn(&both, func() { pass(r, box[i]) })
			}
			both.Wait()
		case "again and again":
			for i := range 4 {
				pass(r, box[i%len(box)])
			}
		case "refused after a run":
			pass(r, box[0])
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// On sockets too each fault of a node is named for what it is.
func TestAuditorSeesRoguesOnSockets(t *testing.T) {
	for fault, want := range map[string][]audit.Rule{
		"made-up":             {audit.MadeUp},
		"no answer":           {audit.Lost},
		"two at once":         {audit.OneOut, audit.NoSecondRun},
		"again and again":     {audit.MostSends, audit.NoSecondRun},
		"refused after a run": {audit.Harmless},
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse("a.hcl", []byte(`scenario "a" { length_s = 1 }
tier "t" { kind "k" { count = 2 } }
class "bin-weighin" { work_ms = 300 cv = 0 aim_ms = 1000 deadline_ms = 3000 }
clients { rate = 5 retries = 0 }
front { nodes = 1 }`), nil)
			if err != nil {
				t.Fatal(err)
			}
			w, err := Up(context.Background(), s, Options{Program: []string{os.Args[0]}, Env: []string{"LAB_ROGUE=" + fault}})
			defer w.Down(false)
			if err != nil {
				t.Fatal(err)
			}
			_, auditor, err := w.Play()
			if err != nil {
				t.Fatal(err)
			}
			seen := map[audit.Rule]bool{}
			for _, v := range auditor.Violations() {
				seen[v.Rule] = true
			}
			for _, rule := range want {
				if !seen[rule] {
					t.Errorf("%s is not seen among %v", rule, seen)
				}
			}
		})
	}
}

// A node that does not start is an error that says so, and leaves nothing behind.
func TestUpFailsAsAWhole(t *testing.T) {
	s, err := scenario.Parse("a.hcl", []byte(`scenario "a" {}
tier "t" { kind "k" {} }
class "c" {}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	w, err := Up(ctx, s, Options{Program: []string{"/nonexistent/hookwalk"}})
	w.Down(false)
	if err == nil || ctx.Err() != nil {
		t.Errorf("a program that is not there: %v", err)
	}
	if _, err := os.Stat(w.Folder()); !os.IsNotExist(err) {
		t.Errorf("its folder is still there: %v", err)
	}
}
