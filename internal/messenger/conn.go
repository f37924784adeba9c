package messenger

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxMessageBytes bounds one message; a settings tree is the largest.
	maxMessageBytes = 16 << 20
	// unprovenBytes is what a connection may send before it has proved the credential.
	unprovenBytes = 4 << 10
	// writeTimeout bounds one write, so that a silent peer can't hold up all that is sent to it.
	writeTimeout = 2 * time.Second
)

var errUnproven = errors.New("too many bytes before the credential was proved")

// Traffic is what a node sent to and received from its peers.
type Traffic struct {
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
	// MessagesOut counts writes; the library makes one for each message.
	MessagesOut int64 `json:"messages_out"`
}

type traffic struct {
	bytesIn, bytesOut, messagesOut atomic.Int64
}

func newTraffic() *traffic {
	return &traffic{}
}

func (t *traffic) snapshot() Traffic {
	return Traffic{BytesIn: t.bytesIn.Load(), BytesOut: t.bytesOut.Load(), MessagesOut: t.messagesOut.Load()}
}

// countedConn counts bytes, bounds writes in time and knows when bytes last came.
type countedConn struct {
	net.Conn
	traffic *traffic
	opened  time.Time
	// taken is the number of bytes that the connection took for sending, heard that of those that came.
	taken, heard atomic.Int64
	// lastRead is the time from opened to the last byte, by the monotonic clock.
	lastRead atomic.Int64
	// unproven is the number of bytes that may still come before the proof; negative means no bound.
	unproven atomic.Int64
}

func newCountedConn(conn net.Conn, traffic *traffic) *countedConn {
	c := &countedConn{Conn: conn, traffic: traffic, opened: time.Now()}
	c.unproven.Store(-1)
	c.touch()

	return c
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
		c.heard.Add(int64(n))
		c.traffic.bytesIn.Add(int64(n))
	}

	if left := c.unproven.Load(); left >= 0 {
		if int64(n) > left {
			return 0, errUnproven
		}

		c.unproven.CompareAndSwap(left, left-int64(n))
	}

	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}

	n, err := c.Conn.Write(p)
	c.taken.Add(int64(n))
	c.traffic.bytesOut.Add(int64(n))
	c.traffic.messagesOut.Add(1)

	return n, err
}

// touch makes the connection count as just heard from.
func (c *countedConn) touch() {
	c.lastRead.Store(int64(time.Since(c.opened)))
}

// idle is the time since the last byte came.
func (c *countedConn) idle() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastRead.Load())
}

// limitUntilProven bounds bytes and time until proven is called.
func (c *countedConn) limitUntilProven(deadline time.Time) {
	c.unproven.Store(unprovenBytes)
	_ = c.SetReadDeadline(deadline)
}

// proven lifts the bounds.
func (c *countedConn) proven() {
	c.unproven.Store(-1)
	_ = c.SetReadDeadline(time.Time{})
}
