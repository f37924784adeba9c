package acceptor

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unread returns how many bytes that the caller has sent are in the socket and weren't read yet. It is 0 for connections that are no
// sockets.
func (c *connection) unread() int {
	if counter, ok := c.Conn.(interface{ Unread() int }); ok {
		return counter.Unread()
	}

	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}

	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}

	bytes := 0

	err = raw.Control(func(descriptor uintptr) {
		if n, err := unix.IoctlGetInt(int(descriptor), unix.SIOCINQ); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}

	return bytes
}
