package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// readBytes is the size of a connection's buffer for reading. Most messages are shorter.
const readBytes = 512

// stream frames messages like the library's buffered stream, which keeps 8 KB for each end
// of a connection; with hundreds of peers that was half of what connections took.
// The library writes one message at a time.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	codec  boundedCodec
}

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, reader: bufio.NewReaderSize(conn, readBytes), codec: boundedCodec{limit: maxMessageBytes}}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(object any) error {
	var message bytes.Buffer
	if err := s.codec.WriteObject(&message, object); err != nil {
		return err
	}

	_, err := s.conn.Write(message.Bytes())
	if err != nil {
		// The peer would take the next message for the rest of this one.
		_ = s.conn.Close()
	}

	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	return s.codec.ReadObject(s.reader, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	return s.conn.Close()
}

// boundedCodec is the library's length-prefixed codec with a bound on the
// length: a peer that announces a huge message must not make this node hold it.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	limit uint64
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (b boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}

	if length > b.limit {
		return errors.Newf("a message of %d bytes is longer than %d", length, b.limit)
	}

	return json.NewDecoder(io.LimitReader(stream, int64(length))).Decode(v)
}
