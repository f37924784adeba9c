package dialer

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds the time for which sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error

	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); err != nil {
		return err
	}

	return failed
}

// quiet says that nothing came on an idle connection: no end, no reset, and no
// bytes. Bytes that come unasked are the rest of an earlier answer or a second
// one, and would be read as the answer to the next request.
func quiet(c net.Conn) bool {
	holder, ok := c.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}

	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte

		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN

		return true
	})

	return err == nil && silent
}

// keepTime is how long an idle connection may be used again. An upstream tells in whole seconds
// when it closes it; a request sent at that moment would be lost, so the last part is left out.
func keepTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}

		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			break
		}

		return min(time.Duration(seconds)*time.Second*7/10, mostIdleTime)
	}

	return idleTime
}
