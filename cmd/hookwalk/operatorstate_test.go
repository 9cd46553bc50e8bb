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

// Guards against the loss of an administrative override that an operator relies on: after SIGKILL, a node that lost it would
// send to a server under repair. Every acknowledged override must be in force in the next process of the node, which reads
// it from the folder, even after concurrent calls.
func TestAcknowledgedOverridesSurviveKill(t *testing.T) {
	t.Run("with a Unix socket between processes", func(t *testing.T) { checkOverridesSurviveKills(t, "") })
	t.Run("with a path that is too long for a Unix socket", func(t *testing.T) { checkOverridesSurviveKills(t, strings.Repeat("d", 100)) })
}

// checkOverridesSurviveKills disables and enables servers at a node that is killed after each round, and checks which servers
// the folder has as disabled.
func checkOverridesSurviveKills(t *testing.T, folder string) {
	const servers = 12 // below the limit on the number of overrides
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprintf("m-%d", i))
	}
	s := newNodeEnvironmentWith(t, func(http.ResponseWriter, *http.Request) {}, ids...)
	s.tmp = filepath.Join(s.tmp, folder)
	if err := os.MkdirAll(s.tmp, 0o700); err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		p := s.start(t)
		p.waitReady(t)
		var calls sync.WaitGroup
		for i := range servers {
			calls.Go(func() {
				action := "offline"
				if round%2 == 1 && i%2 == 1 { // a server that was enabled again must not stay disabled
					action = "online"
				}
				if got := p.callAdmin("POST", "/control/servers/"+ids[i]+"/"+action); got != http.StatusOK {
					t.Errorf("round %d: %s of m-%d got status %d", round, action, i, got)
				}
			})
		}
		calls.Wait()
		p.Process.Signal(syscall.SIGKILL)
		<-p.ended
		p.ended <- nil
		disabled := s.disabledOnDisk(t)
		for i := range servers {
			if want := round%2 == 0 || i%2 == 0; slices.Contains(disabled, ids[i]) != want {
				t.Errorf("round %d: m-%d is disabled on disk: %v, want %v", round, i, !want, want)
			}
		}
	}
	// state show must print the stored state, and state check must detect a truncated file.
	files, _ := filepath.Glob(s.tmp + "/*.kept")
	for _, tc := range []struct {
		command, says string
		code, cut     int
	}{{"show", "version 2\nof      n0 at " + s.listen + "\nage     ", 0, 0}, {"check", "ok\n", 0, 0}, {"check", "torn", 1, 90}} {
		if tc.cut > 0 {
			if err := os.Truncate(files[0], int64(tc.cut)); err != nil {
				t.Fatal(err)
			}
		}
		code, stdout, stderr := runToEnd(t, programCommand(t, "", "state", tc.command, files[0]))
		if code != tc.code || !strings.Contains(stdout+stderr, tc.says) || strings.Count(stderr, "\n") != tc.code {
			t.Errorf("%s: %d, %s%s", tc.command, code, stdout, stderr)
		}
	}
}
