package state

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gofrs/flock"
)

const (
	// LockTimeout is how long Lock waits. A process that hangs with the lock must not hold up the one that replaces it.
	LockTimeout = 300 * time.Millisecond
	// lockRetryInterval is how often Lock tries: the system can't wait for a file lock with a time-out.
	lockRetryInterval = 2 * time.Millisecond
)

// ErrLockTimeout says that the lock was not released within LockTimeout.
var ErrLockTimeout = fmt.Errorf("state: another process did not release the lock within %v: look at the processes of this node", LockTimeout)

// Lock keeps other processes and goroutines from what is at path until release, which may be called after an error too. The
// error is ErrBusy where the holder hangs or is slow. The system releases the lock of a process that is killed.
func Lock(ctx context.Context, path string) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, LockTimeout)
	defer cancel()
	lock := flock.New(path+".lock", flock.SetPermissions(filePermissions))
	locked, err := lock.TryLockContext(ctx, lockRetryInterval)
	switch {
	case locked:
		return func() { lock.Close() }, nil
	case errors.Is(err, context.DeadlineExceeded):
		return func() {}, ErrLockTimeout
	}
	return func() {}, fmt.Errorf("state: %w", err)
}
