//go:build !linux

package controller

import "syscall"

// setSocketOptions sets no options on this system. Connections of machines that have failed end with the default
// timeouts of TCP.
func setSocketOptions(_, _ string, _ syscall.RawConn) error { return nil }
