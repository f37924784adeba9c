package dialer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// maxSoundSilence is the longest silence of a sound upstream.
	maxSoundSilence = 1500 * time.Millisecond
	// partitionLimit is the time after the start of a partition from which no request may be sent on a cut connection.
	partitionLimit = 3 * time.Second
	// minRetransmission is the least time that Linux waits before the first retransmission.
	minRetransmission = 200 * time.Millisecond
)

// Guards against requests that are broken off, although they may not be repeated, because a sound upstream was silent
// for a second or so; and against requests that are sent on an idle connection that a partition cut 3 s before.
func TestSilenceThatBreaksAConnection(t *testing.T) {
	upstream := startSilentUpstream(t)
	d := New(1)

	c, err := d.getConn(context.Background(), upstream)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })

	for _, source := range []string{"new", "reused"} {
		inUse := readSocketOptions(t, c.Conn)
		first, last, _ := inUse.probeTimes()
		assert.Assert(t, last-first > maxSoundSilence, "%s connection in use: all probes fall into a silence of %v", source, last-first)
		assert.Assert(t, time.Duration(inUse.probes-1)*inUse.interval > maxSoundSilence, "%s connection in use: %d probes", source, inUse.probes)
		assert.Assert(t, inUse.lastRetransmission() > maxSoundSilence, "%s connection in use: last retransmission after %v", source, inUse.lastRetransmission())

		c.idleUntil = time.Now().Add(time.Hour)
		d.putIdle(upstream.ID, c)

		_, _, broken := readSocketOptions(t, c.Conn).probeTimes()
		assert.Assert(t, broken < partitionLimit, "idle connection: broken after %v", broken)

		reused, err := d.getConn(context.Background(), upstream)
		assert.NilError(t, err)
		assert.Equal(t, reused, c)
	}
}

// startSilentUpstream starts an upstream that accepts connections and sends nothing.
func startSilentUpstream(t *testing.T) Upstream {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	return Upstream{ID: "u", Address: listener.Addr().String()}
}

// socketOptions are the options that decide when Linux gives up a silent connection.
type socketOptions struct {
	keepAlive                   bool
	idle, interval, userTimeout time.Duration
	probes                      int
}

// probeTimes returns when Linux sends the first and the last probe of a connection that became silent, and when it gives
// the connection up: when the next probe is due, one is unanswered, and the user timeout has passed.
func (o socketOptions) probeTimes() (time.Duration, time.Duration, time.Duration) {
	last := o.idle
	for last+o.interval < o.userTimeout {
		last += o.interval
	}

	return o.idle, last, last + o.interval
}

// lastRetransmission returns when Linux last retransmits unacknowledged data: the waits double until the user timeout.
func (o socketOptions) lastRetransmission() time.Duration {
	last := minRetransmission
	for wait := 2 * minRetransmission; last+wait < o.userTimeout; wait *= 2 {
		last += wait
	}

	return last
}

func readSocketOptions(t *testing.T, c net.Conn) socketOptions {
	t.Helper()

	tcp, ok := c.(syscall.Conn)
	assert.Assert(t, ok)
	raw, err := tcp.SyscallConn()
	assert.NilError(t, err)

	var options socketOptions

	assert.NilError(t, raw.Control(func(fd uintptr) {
		read := func(level, option int) int {
			value, err := unix.GetsockoptInt(int(fd), level, option)
			assert.NilError(t, err)

			return value
		}
		options = socketOptions{
			keepAlive:   read(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0,
			idle:        time.Duration(read(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second,
			interval:    time.Duration(read(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second,
			probes:      read(unix.IPPROTO_TCP, unix.TCP_KEEPCNT),
			userTimeout: time.Duration(read(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
		}
	}))

	assert.Assert(t, options.keepAlive)

	return options
}

// Guards against closing idle connections after a fixed four seconds, although the upstream keeps them for ten. In a
// large fleet, where a node sends an upstream one request every eight seconds, more than half of the requests then
// needed a new connection.
func TestIdleTimeoutFollowsTheKeepAliveHeader(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                      defaultIdleTimeout,
		"timeout=2":             1400 * time.Millisecond,
		"timeout=10, max=100":   7 * time.Second,
		"max=5, Timeout= 10":    7 * time.Second,
		"timeout=3600":          maxIdleTimeout,
		"timeout=soon":          defaultIdleTimeout,
		"max=100":               defaultIdleTimeout,
		"timeout=0":             0,
		"timeout = 10 , max= 1": 7 * time.Second,
	} {
		assert.Equal(t, idleTimeout(header), want, "%q", header)
	}
}
