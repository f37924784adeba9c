package dialer

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval is the time without traffic before the first keep-alive probe, and between two probes. Linux
	// rounds it up to whole seconds.
	keepAliveInterval = time.Second
	// idleProbes is the number of unanswered probes after which an idle connection is considered broken. Nothing else
	// detects a partition, or a middlebox that dropped its connection state, before a request is sent.
	idleProbes = 1
	// exchangeProbes is that number while a request is in progress, which may not be repeatable. A sound upstream may be
	// silent for a second or so.
	exchangeProbes = 3
)

// keepAliveConfig returns the configuration of keep-alive probes that give up once the number of probes is unanswered.
func keepAliveConfig(probes int) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: probes}
}

// userTimeout returns the TCP_USER_TIMEOUT at which Linux gives up once the number of probes is unanswered. On Linux the
// option overrides the configured count. It also bounds how long sent data may stay unacknowledged.
func userTimeout(probes int) time.Duration {
	return time.Duration(probes)*keepAliveInterval + keepAliveInterval/2
}

// controlSocket sets the options of a new connection, on which a request is about to be sent.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, userTimeout(exchangeProbes))
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error

	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); err != nil {
		return err
	}

	return optionErr
}

// limitProbes sets the number of unanswered probes after which the connection is considered broken.
func limitProbes(c net.Conn, probes int) error {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}

	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}

	return setUserTimeout(raw, userTimeout(probes))
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
