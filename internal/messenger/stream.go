package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/tidwall/gjson"
)

const (
	// readBytes is the size of a connection's buffer for reading. Most messages are shorter.
	readBytes = 512
	// eagerBytes is the longest message whose memory is allocated by its announced length.
	eagerBytes = 64 << 10
	// pooledBytes is the largest buffer for writing that is kept.
	pooledBytes = 16 << 10
)

// writeBuffers holds *[]byte for messages that are being written.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// stream frames messages like the library's buffered stream, which keeps 8 KB for each end
// of a connection; with hundreds of peers that was half of what connections took.
// The library writes one message at a time.
//
// It also encodes and decodes the envelopes of messages. The library decodes the parameters of a request into maps and encodes
// them again before a handler sees them, and took 60% of a holder's processor time. Messages that stream doesn't
// encode or decode itself pass through the library's code.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	codec  boundedCodec
	// request or response is the message that WriteObject is about to get, from onSend. The library calls both
	// under one lock.
	request  *jsonrpc2.Request
	response *jsonrpc2.Response
	// result is that of the response that ReadObject returned last, nil if the library decoded it. It is used only by the
	// goroutine that reads.
	result json.RawMessage
	// serve takes requests instead of the library; nil before the peer has proved the credential. It is set and called only by
	// the goroutine that reads.
	serve func(request *jsonrpc2.Request)
}

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, reader: bufio.NewReaderSize(conn, readBytes), codec: boundedCodec{limit: maxMessageBytes}}
}

// options returns the hooks that a connection of the library needs to use the stream.
func (s *stream) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onRecv)}
}

// onSend takes the message that WriteObject gets next, in a type that can be read.
func (s *stream) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	s.request, s.response = request, response
}

// onRecv puts the result into the response that ReadObject returned.
func (s *stream) onRecv(_ *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil || s.result == nil {
		return
	}

	result := s.result
	s.result = nil
	response.Result = &result
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(object any) error {
	buffer, _ := writeBuffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= pooledBytes {
			writeBuffers.Put(buffer)
		}
	}()

	// The length goes in front of the message once it is known.
	message, ok := appendMessage(append((*buffer)[:0], make([]byte, binary.MaxVarintLen64)...), s.request, s.response)
	s.request, s.response = nil, nil

	if !ok {
		data, err := json.Marshal(object)
		if err != nil {
			return err
		}

		message = append(message[:binary.MaxVarintLen64], data...)
	}

	*buffer = message

	var length [binary.MaxVarintLen64]byte

	n := binary.PutUvarint(length[:], uint64(len(message)-binary.MaxVarintLen64))
	start := binary.MaxVarintLen64 - n
	copy(message[start:], length[:n])

	_, err := s.conn.Write(message[start:])
	if err != nil {
		// The peer would take the next message for the rest of this one.
		_ = s.conn.Close()
	}

	return err
}

// appendMessage appends the JSON of a message, and returns false for one that the library has to encode.
func appendMessage(message []byte, request *jsonrpc2.Request, response *jsonrpc2.Response) ([]byte, bool) {
	switch {
	case request != nil && request.Meta == nil && len(request.ExtraFields) == 0 && !request.ID.IsString && request.ID.Str == "":
		message = append(message, `{"jsonrpc":"2.0","method":`...)
		message = gjson.AppendJSONString(message, request.Method)

		if !request.Notif {
			message = append(message, `,"id":`...)
			message = strconv.AppendUint(message, request.ID.Num, 10)
		}

		if request.Params != nil {
			message = append(message, `,"params":`...)
			message = append(message, *request.Params...)
		}
	case response != nil && response.Meta == nil && response.Error == nil && response.Result != nil && len(*response.Result) > 0 && !response.ID.IsString:
		message = append(message, `{"jsonrpc":"2.0","id":`...)
		message = strconv.AppendUint(message, response.ID.Num, 10)
		message = append(message, `,"result":`...)
		message = append(message, *response.Result...)
	default:
		return message, false
	}

	return append(message, '}'), true
}

// ReadObject implements jsonrpc2.ObjectStream. Requests for which there is serve don't end it.
func (s *stream) ReadObject(v any) error {
	for {
		message, err := s.codec.readMessage(s.reader)
		if err != nil {
			return err
		}

		e, ok := parseEnvelope(message)

		switch {
		case ok && e.method != "" && s.serve != nil:
			s.serve(e.request())

			continue
		case ok && e.method == "" && e.result != nil:
			s.result = e.result

			// Decodes only what identifies the call; onRecv adds the result.
			return json.Unmarshal(append(strconv.AppendUint([]byte(`{"id":`), e.id, 10), `,"result":null}`...), v)
		default:
			s.result = nil

			return json.Unmarshal(message, v)
		}
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	return s.conn.Close()
}

// envelope holds the parts of a message: a request has a method, a successful response a result.
type envelope struct {
	id             uint64
	hasID          bool
	method         string
	params, result json.RawMessage
}

// request returns the request that the library would decode.
func (e *envelope) request() *jsonrpc2.Request {
	request := &jsonrpc2.Request{Method: e.method, ID: jsonrpc2.ID{Num: e.id}, Notif: !e.hasID}
	if e.params != nil {
		request.Params = &e.params
	}

	return request
}

// parseEnvelope splits a message, and returns false for one that is neither a plain request nor a successful response with a
// number as ID. The parts refer to the message.
func parseEnvelope(message []byte) (envelope, bool) {
	var e envelope

	if !gjson.ValidBytes(message) {
		return e, false
	}

	plain := true

	gjson.ParseBytes(message).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "jsonrpc":
		case "id":
			id, err := strconv.ParseInt(value.Raw, 10, 64)
			e.id, e.hasID = uint64(max(id, 0)), true
			plain = plain && err == nil && id >= 0
		case "method":
			e.method = value.Str
		case "params":
			e.params = message[value.Index : value.Index+len(value.Raw)]
		case "result":
			e.result = message[value.Index : value.Index+len(value.Raw)]
		default:
			plain = false
		}

		return plain
	})

	isRequest, isResponse := e.method != "" && e.result == nil, e.method == "" && e.result != nil && e.hasID

	return e, plain && (isRequest || isResponse)
}

// boundedCodec is the library's length-prefixed codec with a bound on the
// length: a peer that announces a huge message must not make this node hold it.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	limit uint64
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (b boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	message, err := b.readMessage(stream)
	if err != nil {
		return err
	}

	return json.Unmarshal(message, v)
}

// readMessage returns the next message, which the caller may keep.
func (b boundedCodec) readMessage(stream *bufio.Reader) ([]byte, error) {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return nil, err
	}

	if length > b.limit {
		return nil, errors.Newf("a message of %d bytes is longer than %d", length, b.limit)
	}

	if length <= eagerBytes {
		message := make([]byte, length)
		_, err = io.ReadFull(stream, message)

		return message, err
	}

	var message bytes.Buffer

	_, err = io.CopyN(&message, stream, int64(length))

	return message.Bytes(), err
}
