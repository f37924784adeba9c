package headreader_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/headreader"
)

// endless returns an x at each read.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}

	return len(p), nil
}

// Guards against connections that stay within the bound of a head each and take a node's memory together.
func TestHeadsShareTheirMemory(t *testing.T) {
	const limit = 1 << 20

	memory := headreader.NewMemory(limit)

	var readers []*headreader.Reader

	read := 0

	for {
		reader := headreader.New(endless{}, headreader.MaxBytes, memory)
		reader.Begin()

		n, err := io.Copy(io.Discard, reader)
		read += int(n) - headreader.FreeBytes

		readers = append(readers, reader)

		if errors.Is(err, headreader.ErrNoMemory) {
			break
		}

		assert.Assert(t, errors.Is(err, headreader.ErrTooLong))
		assert.Equal(t, int(n), headreader.MaxBytes)
	}

	assert.Assert(t, len(readers) > 2 && read <= limit/2, "%d connections, %d bytes", len(readers), read)

	for _, reader := range readers {
		reader.Release()
	}

	assert.Equal(t, memory.Counters(), headreader.Counters{LimitBytes: limit, TooLong: int64(len(readers) - 1), NoMemory: 1})
}

// Guards against a bound on heads that ends a body: what follows a head has no bound.
func TestBodyAfterALongHeadIsWhole(t *testing.T) {
	body := strings.Repeat("body ", 1<<20)
	head := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", headreader.MaxBytes-100) + "\r\nConnection: close\r\n\r\n"
	memory := headreader.NewMemory(1 << 20)
	reader := headreader.New(strings.NewReader(head+body), headreader.MaxBytes, memory)
	buffer := bufio.NewReader(reader)

	reader.Begin()

	response, err := http.ReadResponse(buffer, nil)
	assert.NilError(t, err)
	reader.End()
	assert.Assert(t, memory.Counters().UsedBytes > 0)

	received, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, bytes.Equal(received, []byte(body)))

	reader.Release()
	assert.Equal(t, memory.Counters().UsedBytes, int64(0))
}

// segments returns one of its parts at each read.
type segments []string

// Read implements io.Reader.
func (s *segments) Read(p []byte) (int, error) {
	if len(*s) == 0 {
		return 0, io.EOF
	}

	n := copy(p, (*s)[0])
	(*s)[0] = (*s)[0][n:]

	if len((*s)[0]) == 0 {
		*s = (*s)[1:]
	}

	return n, nil
}

// Guards against short heads that find no memory because long ones take it all.
func TestShortHeadNeedsNoSharedMemory(t *testing.T) {
	parts := &segments{"HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", headreader.FreeBytes-100) + "\r\n", "Content-Length: 0\r\n", "\r\n", "HTTP"}
	reader := headreader.New(parts, headreader.MaxBytes, headreader.NewMemory(0))
	reader.Begin()

	response, err := http.ReadResponse(bufio.NewReader(reader), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// yielding returns the memory of another head once a reader found none.
type yielding struct {
	*headreader.Reader
	other *headreader.Reader
}

// Read implements io.Reader.
func (y yielding) Read(p []byte) (int, error) {
	n, err := y.Reader.Read(p)
	if errors.Is(err, headreader.ErrNoMemory) {
		y.other.Release()
	}

	return n, err
}

// Guards against a head that found no memory for its middle passing for one that ends there: net/http reads on after an error behind a
// part of a line, and takes the end of the line for the end of the head.
func TestHeadWithoutMemoryForItsMiddleIsNotWhole(t *testing.T) {
	memory := headreader.NewMemory(4 * (headreader.MaxBytes - headreader.FreeBytes))
	other := headreader.New(endless{}, headreader.MaxBytes, memory)
	other.Begin()

	_, err := io.Copy(io.Discard, other)
	assert.ErrorIs(t, err, headreader.ErrTooLong)

	begin := "HTTP/1.1 200 OK\r\nX-A: "
	begin += strings.Repeat("a", headreader.FreeBytes-len(begin))
	reader := headreader.New(strings.NewReader(begin+"\r\nContent-Length: 6\r\n\r\nanswer"), headreader.MaxBytes, memory)
	reader.Begin()

	response, err := http.ReadResponse(bufio.NewReaderSize(yielding{Reader: reader, other: other}, headreader.FreeBytes), nil)
	if err == nil {
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		t.Fatalf("status %d, length %d, body %q", response.StatusCode, response.ContentLength, body)
	}

	assert.ErrorIs(t, err, headreader.ErrNoMemory)
	assert.Equal(t, memory.Counters().NoMemory, int64(1))
}
