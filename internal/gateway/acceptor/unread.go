package acceptor

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether the caller has sent bytes that are in the socket and weren't read yet. It is false for connections
// that are no sockets, and for those that the caller has closed.
func (c *connection) hasUnread() bool {
	if tester, ok := c.Conn.(interface{ HasUnread() bool }); ok {
		return tester.HasUnread()
	}

	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}

	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}

	unread := false
	err = raw.Control(func(descriptor uintptr) {
		n, _, err := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})

	return err == nil && unread
}
