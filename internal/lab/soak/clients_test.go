package soak

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// A connection that is reset during the handshake, because the node closes its listener at that moment, counts as refused.
// Its request was once reported as lost. A reset of an established connection and a timeout do not count as refused.
func TestIsRefused(t *testing.T) {
	failed := func(op string, cause error) error {
		return fmt.Errorf("request: %w", &net.OpError{Op: op, Err: cause})
	}
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"refused":                    {failed("dial", os.NewSyscallError("connect", syscall.ECONNREFUSED)), true},
		"reset during the handshake": {failed("dial", os.NewSyscallError("connect", syscall.ECONNRESET)), true},
		"timeout of the handshake":   {failed("dial", os.ErrDeadlineExceeded), false},
		"reset when established":     {failed("read", os.NewSyscallError("read", syscall.ECONNRESET)), false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := isRefused(c.err); got != c.want {
				t.Errorf("isRefused(%v) = %v, want %v", c.err, got, c.want)
			}
		})
	}
}
