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

// Two processes of a node have a Store with the same path, and operators call both concurrently. An operator whose call was
// answered relies on the change being on disk: when Save returns, the changes that its caller made before must be there.
func TestSavePersistsChangesOfConcurrentCallers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var set [64]atomic.Bool // shared, because the processes notify each other of changes before they write
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
				t.Errorf("change %d is not on disk: %v, error %v", i, on, err)
			}
		})
	}
	callers.Wait()
}

// Many callers wait while one writes. They must share the next write, because each write costs a sync of the disk. If that
// write fails, only the caller that performed it gets the error, and the others write again: no caller may be told that a
// failed write succeeded.
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
	for store.requests.Load() < 9 { // until all callers have called Save
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
		t.Errorf("%d writes for 9 callers, want 3; %d callers got an error, want 1; read %s", writes, failures, got.Body)
	}
}

// A process hangs while it holds the lock, and another process is started to replace it. Operators' changes must still be
// saved: Save waits for LockTimeout, calls OnLockTimeout and writes. After the lock is released, Save must neither wait nor
// call OnLockTimeout.
func TestSaveWithHungLockHolder(t *testing.T) {
	timeouts := 0
	store := &Store{Path: filepath.Join(t.TempDir(), "s"), Owner: "me", OnLockTimeout: func() { timeouts++ }}
	save := func(n int) {
		t.Helper()
		if err := store.Save(t.Context(), func() (json.RawMessage, error) { return json.Marshal(n) }); err != nil || timeouts != 1 {
			t.Errorf("Save returned %v; OnLockTimeout was called %d times, want 1", err, timeouts)
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
		t.Errorf("read %s, want 2", got.Body)
	}
}
