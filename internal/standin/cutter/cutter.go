// Package cutter is a stand-in for HTTP servers that stop in the middle of their responses.
package cutter

import (
	"fmt"
	"iter"
	"strings"
)

// End is how a server ends a connection.
type End int

const (
	// Close closes it, as the system does for a process that was killed.
	Close End = iota
	// Reset resets it.
	Reset
	// Stay leaves it open until the client closes it.
	Stay
)

// String implements fmt.Stringer.
func (e End) String() string {
	switch e {
	case Reset:
		return "reset"
	case Stay:
		return "left open"
	default:
		return "closed"
	}
}

// Response is a response as the server would have sent it.
type Response struct {
	// Framing names how the end of the body is told.
	Framing string
	// Head holds all up to the body, including interim responses, Body what follows as it is on the wire.
	Head, Body string
	// EndsWithConnection is true if nothing else tells the end of the body.
	EndsWithConnection bool
}

// Responses returns a response in all framings. The head is the status line and the header lines, each with its CRLF; what tells the end
// of the body comes last in the head.
func Responses(head, body string) []Response {
	withLength := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	half := len(body) / 2
	chunks := chunk(body[:half]) + chunk(body[half:]) + "0\r\n"

	return []Response{
		{Framing: "length", Head: withLength, Body: body},
		{Framing: "length after an interim response", Head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withLength, Body: body},
		{Framing: "chunks", Head: chunked, Body: chunks + "\r\n"},
		{Framing: "chunks and a trailer", Head: chunked, Body: chunks + "X-Trailer: a\r\n\r\n"},
		{Framing: "connection", Head: head + "\r\n", Body: body, EndsWithConnection: true},
		{Framing: "connection of HTTP 1.0", Head: strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n", Body: body, EndsWithConnection: true},
	}
}

func chunk(data string) string {
	if data == "" {
		return ""
	}

	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// Cut is a response of which only the first bytes are sent.
type Cut struct {
	Response
	// Bytes is the number of bytes that are sent.
	Bytes int
	End   End
	// Early says that they are sent before the body of the request is read, and that the connection ends while it is still sent.
	Early bool
}

// Cuts returns the responses cut at each byte, and whole, with both ends of their connections.
func Cuts(responses []Response) iter.Seq[Cut] {
	return func(yield func(Cut) bool) {
		for _, response := range responses {
			for i := range 2 * (len(response.Head) + len(response.Body) + 1) {
				if !yield(Cut{Response: response, Bytes: i / 2, End: End(i % 2)}) {
					return
				}
			}
		}
	}
}

// Sent returns the bytes that are sent.
func (c Cut) Sent() string { return (c.Head + c.Body)[:c.Bytes] }

// String describes the cut.
func (c Cut) String() string {
	return fmt.Sprintf("ended by its %s, %s after %q", c.Framing, c.End, c.Sent())
}

// HasHead reports whether the head is sent whole.
func (c Cut) HasHead() bool { return c.Bytes >= len(c.Head) }

// IsWhole reports whether all is sent and the connection isn't reset.
func (c Cut) IsWhole() bool { return c.Bytes == len(c.Head)+len(c.Body) && c.End == Close }

// LooksWhole reports whether a client can't tell that the response was cut.
func (c Cut) LooksWhole() bool {
	if c.EndsWithConnection {
		return c.HasHead() && c.End == Close
	}

	return c.Bytes == len(c.Head)+len(c.Body)
}
