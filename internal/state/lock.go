package state

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gofrs/flock"
)

const (
	// LockTimeout is how long Lock waits. A process that hangs while it holds the lock must not block its replacement.
	LockTimeout = 300 * time.Millisecond
	// lockRetryInterval is how often Lock retries: the operating system can't wait for a file lock with a timeout.
	lockRetryInterval = 2 * time.Millisecond
)

// ErrLockTimeout means that the lock was not released within LockTimeout.
var ErrLockTimeout = fmt.Errorf("state: another process did not release the lock within %v: check whether a process of this node hangs", LockTimeout)

// Lock locks the file at path against other processes and goroutines until release is called, which is also allowed after
// an error. The error is ErrLockTimeout if the holder of the lock hangs or is slow. The operating system releases the lock
// of a process that is killed.
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
