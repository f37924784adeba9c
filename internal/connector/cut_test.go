package connector_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/connector"
	"quincepath.example/quincepath/internal/standin/cutter"
	"quincepath.example/quincepath/internal/storer"
)

const cutHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// cutCall is a call whose answer is cut.
type cutCall struct {
	// body is that of the answer.
	body string
	call func(ctx context.Context, c *connector.Client) (any, error)
	// isWrite is true if the call may change the store.
	isWrite bool
	// want is what the answer says.
	want any
}

func cutCalls() map[string]cutCall {
	const page = `{"header":{"revision":"9"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7","version":"1"}],"count":"1"}`

	found := storer.KeyValue{Key: "k", Value: []byte("v"), ModRevision: 7, Version: 1}

	return map[string]cutCall{
		"get": {body: page, want: found, call: func(ctx context.Context, c *connector.Client) (any, error) {
			kv, _, err := c.Get(ctx, "k")

			return kv, err
		}},
		"list": {body: page, want: []storer.KeyValue{found}, call: func(ctx context.Context, c *connector.Client) (any, error) {
			kvs, _, err := c.List(ctx, "k")

			return kvs, err
		}},
		"put": {body: `{"header":{"revision":"9"}}`, isWrite: true, want: int64(9), call: func(ctx context.Context, c *connector.Client) (any, error) {
			return c.Put(ctx, "k", []byte("v"), 0)
		}},
		"delete": {body: `{"deleted":"1"}`, isWrite: true, want: int64(1), call: func(ctx context.Context, c *connector.Client) (any, error) {
			return c.Delete(ctx, "k")
		}},
		"transaction": {
			body: `{"header":{"revision":"9"},"succeeded":true}`, isWrite: true, want: storer.TxnResult{Succeeded: true, Revision: 9},
			call: func(ctx context.Context, c *connector.Client) (any, error) {
				return c.Txn(ctx, storer.Txn{Success: []storer.Op{{Kind: storer.OpPut, Key: "k", Value: []byte("v")}}})
			},
		},
		"lease": {body: `{"ID":"12","TTL":"30"}`, isWrite: true, want: int64(12), call: func(ctx context.Context, c *connector.Client) (any, error) {
			return c.Grant(ctx, time.Second)
		}},
		"renewal": {body: `{"result":{"ID":"12","TTL":"30"}}`, isWrite: true, want: 30 * time.Second, call: func(ctx context.Context, c *connector.Client) (any, error) {
			return c.KeepAlive(ctx, 12)
		}},
		"revocation": {body: `{"header":{"revision":"9"}}`, isWrite: true, call: func(ctx context.Context, c *connector.Client) (any, error) {
			return nil, c.Revoke(ctx, 12)
		}},
	}
}

// Guards against answers of the store that were cut off and count as whole, and against writes that are sent twice because of it, to the
// same address or the next.
func TestClient_AnswerThatIsCutOff(t *testing.T) {
	for name, test := range cutCalls() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			server, err := cutter.Listen(t.Context())
			assert.NilError(t, err)

			other, err := cutter.Listen(t.Context())
			assert.NilError(t, err)

			believed := 0

			for cut := range cutter.Cuts(cutter.Responses(cutHead, test.body)) {
				server.Answer(cut)
				other.Answer(cut)

				c, err := connector.New(connector.Options{Addresses: []string{server.Address(), other.Address()}})
				assert.NilError(t, err)

				got, err := test.call(t.Context(), c)
				c.Close()

				sent := len(server.TakeRequests()) + len(other.TakeRequests())
				assert.Assert(t, sent == 1 || !test.isWrite, "%v: sent %d times", cut, sent)

				switch {
				case err == nil:
					believed++

					assert.Assert(t, cut.LooksWhole(), "%v", cut)
					assert.DeepEqual(t, got, test.want)
				case test.isWrite:
					assert.ErrorIs(t, err, storer.ErrUnknown, "%v", cut)
				default:
					assert.ErrorIs(t, err, storer.ErrNotApplied, "%v", cut)
				}

				assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
			}

			assert.Assert(t, believed >= 6, "only %d answers were believed", believed)
		})
	}
}

// Guards against a watch whose messages were cut off: none is lost without an error behind it.
func TestClient_WatchThatIsCutOff(t *testing.T) {
	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	body := `{"result":{"created":true}}` + "\n" + `{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"aw==","mod_revision":"9"}}]}}` + "\n"

	for cut := range cutter.Cuts(cutter.Responses(cutHead, body)) {
		server.Answer(cut)

		c, err := connector.New(connector.Options{Addresses: []string{server.Address()}})
		assert.NilError(t, err)

		messages, err := c.Watch(t.Context(), "k", 5)
		if err != nil {
			assert.Assert(t, !cut.HasHead(), "%v: %v", cut, err)
			assert.ErrorIs(t, err, storer.ErrNotApplied, "%v", cut)

			continue
		}

		var received []storer.WatchEvents
		for message := range messages {
			received = append(received, message)
		}

		assert.ErrorIs(t, received[len(received)-1].Err, storer.ErrNotApplied, "%v", cut)

		for i, message := range received[:len(received)-1] {
			assert.Equal(t, message.Created, i == 0, "%v", cut)
			assert.Equal(t, len(message.Events), i, "%v", cut)
		}

		c.Close()
	}
}

// Guards against a refusal of a watch that was cut off and is taken for another one, which no new start would mend.
func TestClient_RefusalOfAWatchThatIsCutOff(t *testing.T) {
	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	responses := cutter.Responses("HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n", `{"code":11,"message":"compacted"}`)

	for cut := range cutter.Cuts(responses) {
		// What ends with its connection may be any refusal.
		if cut.EndsWithConnection && cut.LooksWhole() {
			continue
		}

		server.Answer(cut)

		c, err := connector.New(connector.Options{Addresses: []string{server.Address()}})
		assert.NilError(t, err)

		_, err = c.Watch(t.Context(), "k", 5)
		assert.ErrorIs(t, err, storer.ErrNotApplied, "%v", cut)

		if cut.IsWhole() {
			assert.ErrorIs(t, err, storer.ErrCompacted, "%v", cut)
		}

		assert.Assert(t, !errors.Is(err, storer.ErrRefused), "%v: %v", cut, err)
		c.Close()
	}
}
