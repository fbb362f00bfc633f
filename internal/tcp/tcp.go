// Package tcp sets options of TCP connections that the net package doesn't offer.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns the Control function of a net.Dialer that makes the kernel close a connection whose sent data
// stays unacknowledged for the given time. Keep-alive probes don't cover this case, because the kernel doesn't send any
// while data is unacknowledged.
func UserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, timeout) }
}

// SetUserTimeout sets the same limit on an open connection. It does nothing on connections other than TCP.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
