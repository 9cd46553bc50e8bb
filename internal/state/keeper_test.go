package state

import (
	"encoding/json"
	"errors"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// Two keepers of one path, as two processes of a node have them, and many callers of each: what a caller has changed is
// on disk when its call returns, and they share writes.
func TestEachCallersChangeIsOnDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var set [64]atomic.Bool // what all of them know, as the processes tell each other before they write
	var writes atomic.Int64
	what := func() (json.RawMessage, error) {
		writes.Add(1)
		var on []int
		for i := range set {
			if set[i].Load() {
				on = append(on, i)
			}
		}
		return json.Marshal(on)
	}
	var all sync.WaitGroup
	keepers := []*Keeper{{Path: path, Owner: "me", Busy: func() {}}, {Path: path, Owner: "me", Busy: func() {}}}
	for i := range set {
		all.Go(func() {
			set[i].Store(true)
			k := keepers[i%2]
			if err := k.Keep(t.Context(), what); err != nil {
				t.Error(err)
			}
			var on []int
			if err := json.Unmarshal(k.Read().Body, &on); err != nil {
				t.Error(err)
			}
			found := false
			for _, n := range on {
				found = found || n == i
			}
			if !found {
				t.Errorf("%d is not among %v", i, on)
			}
		})
	}
	all.Wait()
	if n := writes.Load(); n > int64(len(set)) {
		t.Errorf("%d writes for %d callers", n, len(set))
	}
}

// Callers that wait for one write share the next. One whose write fails is told, and the others write by themselves.
func TestCallersShareAWrite(t *testing.T) {
	k := &Keeper{Path: filepath.Join(t.TempDir(), "s"), Owner: "me", Busy: func() {}}
	hold, writes, calls := make(chan struct{}), make(chan struct{}), 0
	failed := errors.New("no")
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
	keep := func() { errs <- k.Keep(t.Context(), what) }
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
		if err := <-errs; errors.Is(err, failed) {
			told++
		} else if err != nil {
			t.Error(err)
		}
	}
	if told != 1 || calls != 3 {
		t.Errorf("%d writes for 9 callers, %d told of the one that failed", calls, told)
	}
	if got := k.Read(); string(got.Body) != "3" {
		t.Errorf("found %s", got.Body)
	}
}

// Whoever hangs with the lock holds a keeper up for a moment, which it is told, and no longer.
func TestKeeperBesideOneThatHangs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	release, err := Lock(t.Context(), path)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	busy := 0
	k := &Keeper{Path: path, Owner: "me", Busy: func() { busy++ }}
	if err := k.Keep(t.Context(), func() (json.RawMessage, error) { return json.RawMessage(`1`), nil }); err != nil || busy != 1 {
		t.Errorf("%v, told %d times", err, busy)
	}
	if got := k.Read(); string(got.Body) != "1" {
		t.Errorf("found %s", got.Body)
	}
}
