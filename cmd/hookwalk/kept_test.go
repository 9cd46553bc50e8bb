package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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
				if got := p.call("POST", "/control/servers/"+ids[i]+"/"+what); got != http.StatusOK {
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
			if want := round%2 == 0 || i%2 == 0; slices.Contains(out, ids[i]) != want {
				t.Errorf("round %d: m-%d is out in the folder: %v, want %v", round, i, !want, want)
			}
		}
	}
	// What is kept can be looked at, and a torn file is told from a whole one.
	files, _ := filepath.Glob(s.tmp + "/*.kept")
	for _, tc := range []struct {
		what, says string
		code, cut  int
	}{{"show", "version 2\nof      n0 at " + s.listen + "\nage     ", 0, 0}, {"check", "ok\n", 0, 0}, {"check", "torn", 1, 90}} {
		if tc.cut > 0 {
			if err := os.Truncate(files[0], int64(tc.cut)); err != nil {
				t.Fatal(err)
			}
		}
		code, said, errs := ends(t, program(t, "", "state", tc.what, files[0]))
		if code != tc.code || !strings.Contains(said+errs, tc.says) || strings.Count(errs, "\n") != tc.code {
			t.Errorf("%s: %d, %s%s", tc.what, code, said, errs)
		}
	}
}
