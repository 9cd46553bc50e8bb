package state

import (
	"encoding/json"
	"errors"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
)

// Two keepers of one path, as two processes of a node have them, and many callers of each: what a caller has changed is
// on disk when its call returns.
func TestEachCallersChangeIsOnDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var set [64]atomic.Bool // what all of them know, as the processes tell each other before they write
	what := func() (json.RawMessage, error) {
		on := []int{}
		for i := range set {
			if set[i].Load() {
				on = append(on, i)
			}
		}
		return json.Marshal(on)
	}
	var all sync.WaitGroup
	keepers := []*Store{{Path: path, Owner: "me", OnBusy: func() {}}, {Path: path, Owner: "me", OnBusy: func() {}}}
	for i := range set {
		all.Go(func() {
			set[i].Store(true)
			err := keepers[i%2].Save(t.Context(), what)
			var on []int
			if err = errors.Join(err, json.Unmarshal(keepers[i%2].Read().Body, &on)); err != nil || !slices.Contains(on, i) {
				t.Errorf("%d is not among %v, %v", i, on, err)
			}
		})
	}
	all.Wait()
}

// Callers that wait for one write share the next. One whose write fails is told, and the others write by themselves.
func TestCallersShareAWrite(t *testing.T) {
	k := &Store{Path: filepath.Join(t.TempDir(), "s"), Owner: "me", OnBusy: func() {}}
	hold, writes, calls, failed := make(chan struct{}), make(chan struct{}), 0, errors.New("no")
	what := func() (json.RawMessage, error) {
		calls++
		switch calls {
		case 1:
			close(writes)
			<-hold
		case 2:
			return nil, failed
		}
		return json.Marshal(calls)
	}
	errs := make(chan error, 9)
	keep := func() { errs <- k.Save(t.Context(), what) }
	go keep()
	<-writes
	for range 8 {
		go keep()
	}
	for k.wanted.Load() < 9 { // all of them have come
		runtime.Gosched()
	}
	close(hold)
	told := 0
	for range 9 {
		if err := <-errs; err != nil {
			told++
		}
	}
	if got := k.Read(); told != 1 || calls != 3 || string(got.Body) != "3" {
		t.Errorf("%d writes for 9 callers, %d told of the one that failed, found %s", calls, told, got.Body)
	}
}

// Whoever hangs with the lock holds a keeper up for a moment, which it is told, and no longer; one that has let go, not
// at all.
func TestKeeperBesideOneThatHangs(t *testing.T) {
	busy := 0
	k := &Store{Path: filepath.Join(t.TempDir(), "s"), Owner: "me", OnBusy: func() { busy++ }}
	keep := func(n int) {
		t.Helper()
		if err := k.Save(t.Context(), func() (json.RawMessage, error) { return json.Marshal(n) }); err != nil || busy != 1 {
			t.Errorf("%v, told %d times", err, busy)
		}
	}
	release, err := Lock(t.Context(), k.Path)
	if err != nil {
		t.Fatal(err)
	}
	keep(1)
	release()
	keep(2)
	if got := k.Read(); string(got.Body) != "2" {
		t.Errorf("found %s", got.Body)
	}
}
