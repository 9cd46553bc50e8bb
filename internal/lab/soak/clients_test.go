package soak

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// A connection that is reset while it comes up, since its node closes the listener just then, is one that did not come up: it
// once counted as one on which a request was lost. A reset of one that had come up is another case, and so is a timeout.
func TestIsRefused(t *testing.T) {
	failed := func(op string, cause error) error {
		return fmt.Errorf("request: %w", &net.OpError{Op: op, Err: cause})
	}
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"refused":                 {failed("dial", os.NewSyscallError("connect", syscall.ECONNREFUSED)), true},
		"reset while it comes up": {failed("dial", os.NewSyscallError("connect", syscall.ECONNRESET)), true},
		"not up in time":          {failed("dial", os.ErrDeadlineExceeded), false},
		"reset later":             {failed("read", os.NewSyscallError("read", syscall.ECONNRESET)), false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := isRefused(c.err); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
