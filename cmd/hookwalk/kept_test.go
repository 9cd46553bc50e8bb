package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// Every yes to an operator outlives SIGKILL, also where many are said at once: each server is still out in the next
// life, which nothing but the folder has told.
func TestEveryYesOutlivesAKill(t *testing.T) {
	t.Run("where processes meet", func(t *testing.T) { everyYes(t, "") })
	t.Run("where no socket fits", func(t *testing.T) { everyYes(t, strings.Repeat("d", 100)) })
}

func everyYes(t *testing.T, folder string) {
	const many = 12 // below the places that operators have
	var ids []string
	for i := range many {
		ids = append(ids, fmt.Sprintf("m-%d", i))
	}
	s := newSiteOf(t, func(http.ResponseWriter, *http.Request) {}, ids...)
	s.tmp = filepath.Join(s.tmp, folder)
	if err := os.MkdirAll(s.tmp, 0o700); err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		p := s.start(t)
		p.waitReady(t)
		var all sync.WaitGroup
		for i := range many {
			all.Go(func() {
				what := "offline"
				if round%2 == 1 && i%2 == 1 { // what is put back is not out either
					what = "online"
				}
				if got := p.call("POST", fmt.Sprintf("/control/servers/m-%d/%s", i, what)); got != http.StatusOK {
					t.Errorf("round %d: %s of m-%d is answered %d", round, what, i, got)
				}
			})
		}
		all.Wait()
		p.Process.Signal(syscall.SIGKILL)
		<-p.ended
		p.ended <- nil
		out := s.out(t)
		for i := range many {
			if want := round%2 == 0 || i%2 == 0; out[fmt.Sprintf("m-%d", i)] != want {
				t.Errorf("round %d: m-%d is out in the folder: %v, want %v", round, i, !want, want)
			}
		}
	}
	// What is kept can be looked at, and a torn file is told from a whole one.
	files, err := filepath.Glob(s.tmp + "/*.kept")
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	code, said, _ := ends(t, program(t, "", "state", "show", files[0]))
	if code != 0 || !strings.Contains(said, "version 2\nof      n0 at "+s.listen+"\nage     ") || !strings.Contains(said, `"m-0"`) {
		t.Errorf("show: %d, %s", code, said)
	}
	if code, said, _ := ends(t, program(t, "", "state", "check", files[0])); code != 0 || said != "ok\n" {
		t.Errorf("check: %d, %s", code, said)
	}
	if err := os.Truncate(files[0], 90); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := ends(t, program(t, "", "state", "check", files[0])); code != 1 || !strings.Contains(errs, "torn") || strings.Count(errs, "\n") != 1 {
		t.Errorf("check of a torn one: %d, %s", code, errs)
	}
}
