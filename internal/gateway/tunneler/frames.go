package tunneler

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/headreader"
)

const (
	// frameHeaderBytes is the length of a frame's header, which holds the number of bytes that follow. A frame without
	// bytes means that the upstream closed the connection.
	frameHeaderBytes = 2
	// bufferBytes is the size of the buffer for each direction of a tunnel.
	bufferBytes = 4 << 10
)

// copyBytes is io.Copy without splice, which takes two more file descriptors.
func copyBytes(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, bufferBytes))
}

// copyFrames copies what the upstream sends until it closes the connection, and returns an error if either connection
// fails before.
func copyFrames(client io.Writer, upstream io.Reader) error {
	buffer := make([]byte, bufferBytes)

	for {
		n, err := upstream.Read(buffer[frameHeaderBytes:])
		if n > 0 || errors.Is(err, io.EOF) {
			binary.BigEndian.PutUint16(buffer, uint16(n))

			if _, err := client.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}

		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return nil
		case errors.Is(err, io.EOF):
			// The next read returns io.EOF without bytes.
		case err != nil:
			return err
		}
	}
}

// conn is the node's end of a tunnel.
type conn struct {
	net.Conn
	// head bounds the heads of the peer's answers to the request for the tunnel.
	head   *headreader.Reader
	reader *bufio.Reader
	// remaining is the number of bytes of the current frame that have not been read.
	remaining int
	// closed is true once the upstream has closed its connection.
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.closed {
		return 0, io.EOF
	}

	if len(p) == 0 {
		return 0, nil
	}

	if c.remaining == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return 0, brokenOff(err)
		}

		c.remaining = int(binary.BigEndian.Uint16(header[:]))
		c.closed = c.remaining == 0

		if c.closed {
			return 0, io.EOF
		}
	}

	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n

	return n, brokenOff(err)
}

// brokenOff returns the error of a tunnel that ends without the upstream's close.
func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// Buffered returns the number of bytes that were received and not read.
func (c *conn) Buffered() int {
	return c.reader.Buffered() + c.remaining
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection to the peer has no descriptor")
	}

	return raw.SyscallConn()
}
