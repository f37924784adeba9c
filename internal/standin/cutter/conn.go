package cutter

import (
	"io"
	"net"
)

// Conn is a connection to a process that is killed after it has sent some bytes.
type Conn struct {
	net.Conn
	// Left is the number of bytes that are still read.
	Left int
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.Left == 0 {
		return 0, io.EOF
	}

	n, err := c.Conn.Read(p[:min(len(p), c.Left)])
	c.Left -= n

	return n, err
}
