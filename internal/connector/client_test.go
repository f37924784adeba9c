package connector_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/connector"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
)

type platform interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	List(ctx context.Context, prefix string) ([]storer.KeyValue, int64, error)
	Put(ctx context.Context, key string, value []byte, lease int64) (int64, error)
	Delete(ctx context.Context, key string) (int64, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
	Grant(ctx context.Context, length time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	Revoke(ctx context.Context, lease int64) error
	Watch(ctx context.Context, prefix string, from int64) (<-chan storer.WatchEvents, error)
	VMs(ctx context.Context) (storer.VMList, error)
}

type bench struct {
	server *keeper.Server
	url    string
	client *connector.Client
}

func start(t *testing.T, served keeper.Options, options connector.Options) bench {
	t.Helper()
	s := keeper.New(served, zerolog.Nop())
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	options.Addresses = append(options.Addresses, h.URL)
	options.Token = served.Token
	c, err := connector.New(options)
	assert.NilError(t, err)
	t.Cleanup(c.Close)

	return bench{server: s, url: h.URL, client: c}
}

func (b bench) set(t *testing.T, switches string) {
	t.Helper()
	response, err := http.Post(b.url+"/standin/switches", "application/json", bytes.NewBufferString(switches))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func (b bench) counts(t *testing.T) map[string]int64 {
	t.Helper()
	response, err := http.Get(b.url + "/standin/counts")
	assert.NilError(t, err)
	defer response.Body.Close()
	counts := map[string]int64{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counts))

	return counts
}

// The client over HTTP and the Local in process answer one script alike.
func TestPlatforms_AnswerAlike(t *testing.T) {
	b := start(t, keeper.Options{Token: "secret"}, connector.Options{PageSize: 2})
	platforms := map[string]platform{
		"client": b.client,
		"local":  keeper.NewLocal(keeper.NewStore(keeper.StoreOptions{}), nil),
	}
	for name, p := range platforms {
		t.Run(name, func(t *testing.T) { script(t, p) })
	}
}

func script(t *testing.T, p platform) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	messages, err := p.Watch(ctx, "k/", 2)
	assert.NilError(t, err)
	assert.Equal(t, (<-messages).Created, true)
	lease, err := p.Grant(ctx, 59500*time.Millisecond)
	assert.NilError(t, err)
	for i := range 5 {
		_, err := p.Put(ctx, fmt.Sprintf("k/%d", i), []byte{0, 0xff, byte(i)}, lease)
		assert.NilError(t, err)
	}
	_, err = p.Put(ctx, "l", nil, 0)
	assert.NilError(t, err)
	kv, revision, err := p.Get(ctx, "k/3")
	assert.NilError(t, err)
	want := storer.KeyValue{Key: "k/3", Value: []byte{0, 0xff, 3}, CreateRevision: 5, ModRevision: 5, Version: 1, Lease: lease}
	assert.DeepEqual(t, kv, want)
	assert.Equal(t, revision, int64(7))
	kv, _, err = p.Get(ctx, "absent")
	assert.NilError(t, err)
	assert.Equal(t, kv.Version, int64(0))
	found, revision, err := p.List(ctx, "k/")
	assert.NilError(t, err)
	assert.Equal(t, len(found), 5)
	assert.Equal(t, revision, int64(7))
	all, _, err := p.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(all), 6)

	swap := storer.Txn{
		Compares: []storer.Compare{
			{Key: "k/3", Target: storer.TargetMod, Number: 5},
			{Key: "k/2", Target: storer.TargetValue, Value: []byte{0, 0xff, 2}},
			{Key: "k/9", Target: storer.TargetCreate},
			{Key: "l", Target: storer.TargetVersion, Relation: storer.RelationGreater},
		},
		Success: []storer.Op{{Kind: storer.OpPut, Key: "k/3", Value: []byte("new")}, {Kind: storer.OpDelete, Key: "k/4"}},
		Failure: []storer.Op{{Kind: storer.OpRange, Key: "k/", RangeEnd: storer.PrefixEnd("k/"), Limit: 1}},
	}
	result, err := p.Txn(ctx, swap)
	assert.NilError(t, err)
	assert.DeepEqual(t, result, storer.TxnResult{
		Succeeded: true, Revision: 8, Responses: []storer.OpResult{{Kind: storer.OpPut}, {Kind: storer.OpDelete, Deleted: 1}},
	})
	result, err = p.Txn(ctx, swap)
	assert.NilError(t, err)
	assert.Equal(t, result.Succeeded, false)
	assert.Equal(t, result.Responses[0].More, true)
	assert.Equal(t, result.Responses[0].Count, int64(4))
	_, err = p.Put(ctx, "big", make([]byte, keeper.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, storer.ErrRefused)
	assert.ErrorIs(t, err, storer.ErrNotApplied)

	left, err := p.KeepAlive(ctx, lease)
	assert.NilError(t, err)
	assert.Equal(t, left, time.Minute)
	assert.NilError(t, p.Revoke(ctx, lease))
	_, err = p.KeepAlive(ctx, lease)
	assert.ErrorIs(t, err, storer.ErrLeaseNotFound)
	_, err = p.Put(ctx, "k/0", nil, lease)
	assert.ErrorIs(t, err, storer.ErrLeaseNotFound)
	deleted, err := p.Delete(ctx, "k/3")
	assert.NilError(t, err)
	assert.Equal(t, deleted, int64(1))
	list, err := p.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.VMs), 0)
	assert.Equal(t, told(messages, 11), "P2 P3 P4 P5 P6 P8 D8 D9 D9 D9 D10 ")
	cancel()
	for range messages {
	}
}

func told(messages <-chan storer.WatchEvents, count int) string {
	text := ""
	for message := range messages {
		for _, e := range message.Events {
			text += fmt.Sprintf("%c%d ", e.Kind[0], e.KeyValue.ModRevision)
			count--
		}
		if count <= 0 {
			return text
		}
	}

	return text
}

// Symptom: a write is done twice, or given up although done. Sequence: the platform applies the
// write and the connection breaks before the reply. Cause: a silent retry, or "failed" told for it.
func TestClient_LostReply(t *testing.T) {
	b := start(t, keeper.Options{}, connector.Options{})
	b.set(t, `{"lose_replies":1}`)
	_, err := b.client.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrUnknown)
	kv, _, err := b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, kv.Version, int64(1))
	assert.Equal(t, b.counts(t)["put"], int64(1))
}

// Symptom: a node acts as if a late write had failed. Sequence: the platform answers after the
// call's timeout. Cause: a timeout taken for a refusal.
func TestClient_Timeout(t *testing.T) {
	release := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer silent.Close()
	defer close(release)
	b := start(t, keeper.Options{}, connector.Options{Addresses: []string{silent.URL}, CallTimeout: 200 * time.Millisecond})
	_, err := b.client.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrUnknown)
	_, _, err = b.client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, b.counts(t)["put"], int64(0))
}

func TestClient_Outage(t *testing.T) {
	b := start(t, keeper.Options{}, connector.Options{})
	b.set(t, `{"outage":true}`)
	_, err := b.client.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrUnknown)
	_, _, err = b.client.Get(t.Context(), "a")
	assert.ErrorIs(t, err, storer.ErrNotApplied)
	_, err = b.client.Watch(t.Context(), "a", 0)
	assert.ErrorIs(t, err, storer.ErrNotApplied)
	b.set(t, `{"outage":false}`)
	_, err = b.client.Put(t.Context(), "a", nil, 0)
	assert.NilError(t, err)
}

func TestClient_RefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := listener.Addr().String()
	assert.NilError(t, listener.Close())
	alone, err := connector.New(connector.Options{Addresses: []string{closed}})
	assert.NilError(t, err)
	_, err = alone.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrNotApplied)

	b := start(t, keeper.Options{}, connector.Options{Addresses: []string{closed}})
	_, err = b.client.Put(t.Context(), "a", nil, 0)
	assert.NilError(t, err)
}

func TestClient_Throttled(t *testing.T) {
	b := start(t, keeper.Options{WritesPerSecond: 0.001}, connector.Options{})
	_, err := b.client.Put(t.Context(), "a", nil, 0)
	assert.NilError(t, err)
	_, err = b.client.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrThrottled)
	assert.ErrorIs(t, err, storer.ErrNotApplied)

	own := start(t, keeper.Options{}, connector.Options{WritesPerSecond: 0.001})
	_, err = own.client.Put(t.Context(), "a", nil, 0)
	assert.NilError(t, err)
	_, err = own.client.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrThrottled)
	assert.Equal(t, own.counts(t)["put"], int64(1))
}

// Symptom: a watch that resumes from a forgotten revision misses changes. Sequence: the watch
// breaks, the history is compacted, the watch resumes. Cause: compaction not told to the caller.
func TestClient_WatchCompacted(t *testing.T) {
	b := start(t, keeper.Options{}, connector.Options{})
	for range 3 {
		_, err := b.client.Put(t.Context(), "a", nil, 0)
		assert.NilError(t, err)
	}
	assert.NilError(t, b.server.Store().Compact(4))
	messages, err := b.client.Watch(t.Context(), "a", 2)
	assert.NilError(t, err)
	<-messages
	last := <-messages
	assert.ErrorIs(t, last.Err, storer.ErrCompacted)
	assert.Equal(t, last.CompactRevision, int64(4))
	_, open := <-messages
	assert.Equal(t, open, false)
	messages, err = b.client.Watch(t.Context(), "a", 4)
	assert.NilError(t, err)
	assert.Equal(t, told(messages, 1), "P4 ")
	assert.Equal(t, b.counts(t)["watch"], int64(2))
}

func TestClient_WatchBroken(t *testing.T) {
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"result":{"header":{"revision":"7"},"created":true}}`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer breaking.Close()
	c, err := connector.New(connector.Options{Addresses: []string{breaking.URL}})
	assert.NilError(t, err)
	messages, err := c.Watch(t.Context(), "a", 0)
	assert.NilError(t, err)
	assert.Equal(t, (<-messages).Revision, int64(7))
	assert.ErrorIs(t, (<-messages).Err, storer.ErrNotApplied)
	_, open := <-messages
	assert.Equal(t, open, false)
}

// Symptom: a write is done twice. Sequence: a platform address answers 307 after it passed the
// write on, and the client sends it again to the place named. Cause: redirects followed.
func TestClient_FollowsNoRedirect(t *testing.T) {
	b := start(t, keeper.Options{}, connector.Options{})
	moved := httptest.NewServer(http.RedirectHandler(b.url+"/v3/kv/put", http.StatusTemporaryRedirect))
	defer moved.Close()
	c, err := connector.New(connector.Options{Addresses: []string{moved.URL}})
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrUnknown)
	assert.Equal(t, b.counts(t)["put"], int64(0))
}

// Symptom: a node's leases end while one of two addresses of the platform answers.
// Events: the first address takes connections and never answers; the node only writes.
// Cause: a write that may have left is not repeated, and the next one went to the same address.
func TestClient_WritesLeaveASilentAddress(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })

	b := start(t, keeper.Options{}, connector.Options{
		Addresses:   []string{silent.Addr().String()},
		CallTimeout: 50 * time.Millisecond,
	})
	_, err = b.client.Put(t.Context(), "a", nil, 0)
	assert.ErrorIs(t, err, storer.ErrUnknown)
	_, err = b.client.Put(t.Context(), "a", nil, 0)
	assert.NilError(t, err)
	assert.Equal(t, b.counts(t)["put"], int64(1))
}
