package messenger

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// frames is a connection that returns what was written to it.
type frames struct {
	net.Conn
	bytes.Buffer
	writes int
}

func (f *frames) Read(p []byte) (int, error) { return f.Buffer.Read(p) }
func (f *frames) Close() error               { return nil }

func (f *frames) Write(p []byte) (int, error) {
	f.writes++

	return f.Buffer.Write(p)
}

func raw(text string) *json.RawMessage {
	message := json.RawMessage(text)

	return &message
}

// Guards against envelopes that a node of the former release, which has the library encode and decode them, reads otherwise.
func TestEnvelopesAreThoseOfTheLibrary(t *testing.T) {
	requests := []*jsonrpc2.Request{
		{Method: "pool.choose", ID: jsonrpc2.ID{Num: 7}, Params: raw(`{"s":"chat/0","w":{"x":["a\"}","b"]}}`)},
		{Method: "pool.report", Notif: true, Params: raw(`{"r":[]}`)},
		{Method: "peer.ping"},
		{Method: "quoted \"\n\u2028<é", Params: raw(`null`)},
		{Method: "named", ID: jsonrpc2.ID{Str: "x", IsString: true}},
		{Method: "noted", Meta: raw(`{"a":1}`)},
	}

	for _, request := range requests {
		conn := &frames{}
		writer := newStream(conn)
		writer.onSend(request, nil)
		assert.NilError(t, writer.WriteObject(request))

		var read jsonrpc2.Request

		library := jsonrpc2.VarintObjectCodec{}
		assert.NilError(t, library.ReadObject(bufio.NewReader(&conn.Buffer), &read))
		assert.DeepEqual(t, &read, request)

		// The other way round.
		assert.NilError(t, library.WriteObject(&conn.Buffer, request))

		reader := newStream(conn)

		var served *jsonrpc2.Request

		reader.serve = func(request *jsonrpc2.Request) { served = request }
		err := reader.ReadObject(&read)

		if request.ID.IsString || request.Meta != nil {
			assert.NilError(t, err)
			assert.DeepEqual(t, &read, request)
		} else {
			assert.ErrorContains(t, err, "EOF")
			assert.DeepEqual(t, served, request)
		}
	}
}

// answering answers each request with its parameters, or with an error if it has none.
type answering struct{}

func (answering) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Params == nil {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: 3, Message: "none"})

		return
	}

	_ = conn.Reply(ctx, request.ID, request.Params)
}

// Guards against results that are lost or belong to another call, with a peer of the former release at either end.
func TestResultsAreThoseOfTheLibrary(t *testing.T) {
	for _, former := range []string{"caller", "none", "callee"} {
		near, far := net.Pipe()
		connect := func(end string, conn net.Conn, handler jsonrpc2.Handler) *jsonrpc2.Conn {
			if end == former {
				return jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), handler)
			}

			stream := newStream(conn)

			return jsonrpc2.NewConn(t.Context(), stream, handler, stream.options()...)
		}

		callee := connect("callee", far, answering{})
		caller := connect("caller", near, refuseAll{})

		for _, want := range []string{`{"a":[1,"]}"]}`, `null`, `"é"`, `17`, `{"a":[1,2]}`} {
			var got json.RawMessage

			assert.NilError(t, caller.Call(t.Context(), "echo", json.RawMessage(want), &got))
			assert.Equal(t, string(got), want)
			assert.ErrorContains(t, caller.Call(t.Context(), "echo", nil, &got), "none")
		}

		assert.NilError(t, caller.Close())
		_ = callee.Close()
	}
}

// Guards against parameters that are decoded and encoded again before a handler sees them, which took most of a holder's
// processor time: the library's own codec makes 330 allocations here.
func TestRequestCostsFewAllocationsAndOneWrite(t *testing.T) {
	var params strings.Builder

	params.WriteString(`{"r":[`)

	for i := range 20 {
		if i > 0 {
			params.WriteByte(',')
		}

		params.WriteString(`{"s":"chat/0","i":"0b8f6a52-9c41-4d07-be2a-35f68a1c77d0.0","f":true}`)
	}

	params.WriteString(`]}`)

	request := &jsonrpc2.Request{Method: "pool.report", Params: raw(params.String()), Notif: true}
	conn := &frames{}
	stream := newStream(conn)
	stream.serve = func(*jsonrpc2.Request) {}

	allocations := testing.AllocsPerRun(100, func() {
		stream.onSend(request, nil)
		assert.NilError(t, stream.WriteObject(request))
		assert.ErrorContains(t, stream.ReadObject(nil), "EOF")
	})

	assert.Equal(t, conn.writes, 101)
	assert.Assert(t, allocations < 16, "%v allocations", allocations)
}
