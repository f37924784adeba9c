package dialer

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may stay unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error

	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}

	return optionErr
}

// isIdle reports whether nothing was received on an idle connection: no close, no reset and no
// data. Unexpected data is the rest of an earlier response or a duplicate one, and
// would be read as the response to the next request.
func isIdle(c net.Conn) bool {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}

	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte

		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN

		return true
	})

	return err == nil && idle
}

// idleTimeout returns how long an idle connection may be reused, from the value of a Keep-Alive header. The upstream
// states in whole seconds when it closes the connection, and a request sent at that moment would be lost, so only 70%
// of that time is used.
func idleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}

		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			break
		}

		return min(time.Duration(seconds)*time.Second*7/10, maxIdleTimeout)
	}

	return defaultIdleTimeout
}
