package gauger

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/messenger"
	"quincepath.example/quincepath/internal/server"
)

// newPeers joins two messengers by a relay before the second and returns the first. The second knows method "echo".
func newPeers(t *testing.T, counts *tally) *messenger.Messenger {
	t.Helper()

	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", anyPort)
	assert.NilError(t, err)

	r, err := newRelay(t.Context(), counts, "b", listener.Addr().String())
	assert.NilError(t, err)

	go r.run(t.Context())

	a := messenger.New(messenger.Options{Self: "a", Credential: "secret", Peers: map[string]string{"b": r.address()}, Logger: zerolog.Nop()})
	b := messenger.New(messenger.Options{Self: "b", Credential: "secret", Logger: zerolog.Nop()})
	b.Handle("echo", func(_ context.Context, _ string, params json.RawMessage) (any, error) { return params, nil })

	go func() { _ = b.Run(t.Context(), listener) }()

	return a
}

func TestRelayCountsWhatMessengersCount(t *testing.T) {
	counts := newTally()
	a := newPeers(t, counts)

	for range 10 {
		var answer string

		assert.NilError(t, a.Call(t.Context(), "b", "echo", "some words", &answer))
		assert.Equal(t, answer, "some words")
	}

	seen := counts.snapshot()
	sent := a.Traffic()

	var bytes, messages int64

	for _, v := range seen.methods {
		bytes += v.bytes
		messages += v.messages
	}

	assert.Equal(t, seen.methods["echo"].messages, int64(20))
	assert.Equal(t, bytes, sent.BytesOut+sent.BytesIn)
	// Each of a's messages was a call, and each has its answer.
	assert.Equal(t, messages, 2*sent.MessagesOut)
	assert.Equal(t, seen.nodes["b"], bytes)
	assert.Equal(t, seen.links, 1)
}

func TestRelayCountsDatagrams(t *testing.T) {
	counts := newTally()

	target, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp", anyPort)
	assert.NilError(t, err)

	defer target.Close()

	r, err := newRelay(t.Context(), counts, "b", target.LocalAddr().String())
	assert.NilError(t, err)

	go r.run(t.Context())

	out, err := new(net.Dialer).DialContext(t.Context(), "udp", r.address())
	assert.NilError(t, err)

	_, err = out.Write([]byte("hello"))
	assert.NilError(t, err)

	buffer := make([]byte, 100)

	size, _, err := target.ReadFrom(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:size]), "hello")
	assert.Equal(t, counts.snapshot().methods[methodDatagram], count{messages: 1, bytes: 5})
}

func TestLine(t *testing.T) {
	figures := func(nodes int, bytes float64) Figures {
		return Figures{Nodes: nodes, Phase: PhaseIdle, PeerBytes: bytes}
	}

	slopes := Slopes([]Figures{figures(3, 106), figures(9, 118), figures(30, 160)})
	assert.Equal(t, len(slopes), len(quantities))
	assert.Equal(t, slopes[0].Quantity, "peer bytes/s")
	assert.Equal(t, slopes[0].Least, 106.0)
	assert.Equal(t, slopes[0].Most, 160.0)
	assert.Assert(t, slopes[0].At(370) > 839.999 && slopes[0].At(370) < 840.001)

	assert.Equal(t, len(Slopes([]Figures{figures(3, 106), figures(3, 107)})), 0)
}

func TestRatesArePerSecondAndNode(t *testing.T) {
	start := time.Unix(0, 0)
	begun := observation{at: start, usage: Usage{Processor: time.Second, MemoryBytes: 500}}
	ended := observation{
		at:            start.Add(10 * time.Second),
		usage:         Usage{Processor: 3 * time.Second, MemoryBytes: 900},
		platformCalls: map[string]int64{"/v3/kv/range": 20},
		platformBytes: 4000,
		polls:         40,
		upstreamBytes: 8000,
		peers: tallySnapshot{
			methods: map[string]count{"slot.ask": {messages: 20, bytes: 2000}},
			nodes:   map[string]int64{"node-1": 2000, "node-2": 2000},
			links:   1,
		},
	}
	figures := Figures{Nodes: 2, Phase: PhaseIdle}
	figures.compare(begun, ended, Usage{MemoryBytes: 100})

	assert.DeepEqual(t, figures, Figures{
		Nodes: 2, Phase: PhaseIdle, Seconds: 10,
		PeerBytes: 200, PeerMessages: 2, BusiestPeerBytes: 200, Links: 1,
		Methods:       map[string]Method{"slot.ask": {Bytes: 200, Messages: 2}},
		PlatformCalls: map[string]float64{"/v3/kv/range": 2},
		PlatformBytes: 200, Polls: 2, PollBytes: 200,
		Cores: 0.1, MemoryBytes: 400,
	})
}

func TestGaugeOfTwoNodes(t *testing.T) {
	all, err := Gauge(t.Context(), Options{
		Serve: server.Run, Nodes: 2, Duration: time.Second, Rate: 40, Changes: 1, Policy: loader.PolicyQueuePerRequest,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(all), 3)

	idle, load, changed := all[0], all[1], all[2]
	answered, failed := load.Answered()

	assert.Assert(t, idle.Polls > 0 && idle.PollBytes > 0, "%+v", idle)
	assert.Equal(t, answered+failed, int64(40))
	assert.Assert(t, answered > 0 && load.Methods["slot.ask"].Bytes > 0, "%+v", load)
	assert.Equal(t, changed.Changes, 1)
	assert.Assert(t, changed.PlatformCalls["/v3/kv/txn"] > 0, "%+v", changed)
}
