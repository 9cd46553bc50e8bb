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

// Two processes of a node have a Store of one path, and operators call both at once. An operator who was answered relies on
// it that the change is on disk: when a call of Save returns, what its caller changed before is there.
func TestSavePersistsChangesOfConcurrentCallers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var set [64]atomic.Bool // known to both, as the processes notify each other before they write
	current := func() (json.RawMessage, error) {
		on := []int{}
		for i := range set {
			if set[i].Load() {
				on = append(on, i)
			}
		}
		return json.Marshal(on)
	}
	var callers sync.WaitGroup
	stores := []*Store{{Path: path, Owner: "me", OnLockTimeout: func() {}}, {Path: path, Owner: "me", OnLockTimeout: func() {}}}
	for i := range set {
		callers.Go(func() {
			set[i].Store(true)
			err := stores[i%2].Save(t.Context(), current)
			var on []int
			if err = errors.Join(err, json.Unmarshal(stores[i%2].Read().Body, &on)); err != nil || !slices.Contains(on, i) {
				t.Errorf("%d is not among %v, %v", i, on, err)
			}
		})
	}
	callers.Wait()
}

// Many callers wait while one writes. They share the next write, or each would cost a sync of the disk. Where that fails, the
// caller that made it has the error, and the others write anew: none is told of success that was not.
func TestWaitingCallersShareWrite(t *testing.T) {
	store := &Store{Path: filepath.Join(t.TempDir(), "s"), Owner: "me", OnLockTimeout: func() {}}
	resume, writing, writes, failed := make(chan struct{}), make(chan struct{}), 0, errors.New("no")
	current := func() (json.RawMessage, error) {
		writes++
		switch writes {
		case 1:
			close(writing)
			<-resume
		case 2:
			return nil, failed
		}
		return json.Marshal(writes)
	}
	errs := make(chan error, 9)
	save := func() { errs <- store.Save(t.Context(), current) }
	go save()
	<-writing
	for range 8 {
		go save()
	}
	for store.requests.Load() < 9 { // all of them have come
		runtime.Gosched()
	}
	close(resume)
	failures := 0
	for range 9 {
		if err := <-errs; err != nil {
			failures++
		}
	}
	if got := store.Read(); failures != 1 || writes != 3 || string(got.Body) != "3" {
		t.Errorf("%d writes for 9 callers, %d had the error of the one that failed, found %s", writes, failures, got.Body)
	}
}

// A process hangs while it holds the lock, and another is started to replace it. What operators say must still be kept: Save
// waits for LockTimeout, reports it through OnBusy, and writes. Once the lock is released there is no wait and no report.
func TestSaveWithHungLockHolder(t *testing.T) {
	busy := 0
	store := &Store{Path: filepath.Join(t.TempDir(), "s"), Owner: "me", OnLockTimeout: func() { busy++ }}
	save := func(n int) {
		t.Helper()
		if err := store.Save(t.Context(), func() (json.RawMessage, error) { return json.Marshal(n) }); err != nil || busy != 1 {
			t.Errorf("%v, reported %d times", err, busy)
		}
	}
	release, err := Lock(t.Context(), store.Path)
	if err != nil {
		t.Fatal(err)
	}
	save(1)
	release()
	save(2)
	if got := store.Read(); string(got.Body) != "2" {
		t.Errorf("found %s", got.Body)
	}
}
