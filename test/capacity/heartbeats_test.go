package capacity_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/prober"
)

const (
	// heartbeatWarmUp is the time in which all nodes see each other and their introductions end.
	heartbeatWarmUp = 75 * time.Second
	// heartbeatLength is the time over which figures are taken.
	heartbeatLength = 10 * time.Second
)

// BenchmarkHeartbeats runs the probes of a whole fleet over real sockets in one process.
func BenchmarkHeartbeats(b *testing.B) {
	for _, nodes := range []int{9, 100, designNodes} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				heartbeats(b, nodes)
			}
		})
	}
}

func heartbeats(b *testing.B, nodes int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()

	before := heldBytes()
	fleet, probers, _ := startHeartbeats(ctx, b, nodes)

	time.Sleep(heartbeatWarmUp)

	begun, busy, at := countersOf(fleet), processorTime(b), time.Now()

	time.Sleep(heartbeatLength)

	passed := time.Since(at).Seconds() * float64(nodes)
	spent := (processorTime(b) - busy).Seconds()
	ended := countersOf(fleet)

	live := 0
	for _, p := range probers {
		live += len(p.Live(time.Now()))
	}

	b.ReportMetric(float64(ended.SentBytes-begun.SentBytes)/passed, "sent_B/s")
	b.ReportMetric(float64(ended.ReceivedBytes-begun.ReceivedBytes)/passed, "received_B/s")
	b.ReportMetric(float64(ended.Sent-begun.Sent)/passed, "sent/s")
	b.ReportMetric(100*spent/passed, "core_%")
	b.ReportMetric(float64(heldBytes()-before)/float64(nodes)/1e3, "KB/node")
	b.ReportMetric(float64(live)/float64(nodes), "live_seen")
}

// startHeartbeats starts so many nodes that know each other and those given besides, and returns the list of all.
func startHeartbeats(ctx context.Context, b *testing.B, nodes int, besides ...prober.VM) ([]*heartbeater.Heartbeater, []*prober.Prober, []prober.VM) {
	var (
		list    = besides
		fleet   []*heartbeater.Heartbeater
		probers []*prober.Prober
	)

	codec, err := prober.NewCodec("secret")
	assert.NilError(b, err)

	for i := range nodes {
		self := prober.VM{
			Name: fmt.Sprintf("node-%d", i+1), Address: "127.0.0.1:1",
			FailureDomain: fmt.Sprintf("domain-%d", i%12),
		}

		options := prober.DefaultOptions()
		options.Incarnation = time.Now().UnixMilli()
		options.Seed = uint64(i + 1)

		// The socket's port is known only once it is open, and the prober is a part of the heartbeater.
		address := freeDatagramAddress(ctx, b)
		self.PeerAddress = address
		options.Self = self

		p := prober.New(options)
		h, err := heartbeater.Listen(ctx, heartbeater.Options{Name: self.Name, Listen: address, Codec: codec, Prober: p, Logger: zerolog.Nop()})
		assert.NilError(b, err)

		list = append(list, self)
		fleet = append(fleet, h)
		probers = append(probers, p)
	}

	for i, h := range fleet {
		probers[i].SetListedNodes(time.Now(), list)

		go func() { _ = h.Run(ctx) }()
	}

	return fleet, probers, list
}

func freeDatagramAddress(ctx context.Context, b *testing.B) string {
	b.Helper()

	codec, err := prober.NewCodec("secret")
	assert.NilError(b, err)

	h, err := heartbeater.Listen(ctx, heartbeater.Options{Listen: "127.0.0.1:0", Codec: codec})
	assert.NilError(b, err)

	address := h.Address()
	assert.NilError(b, h.Close())

	return address
}

func countersOf(fleet []*heartbeater.Heartbeater) heartbeater.Counters {
	var sum heartbeater.Counters

	for _, h := range fleet {
		c := h.Counters()
		sum.Sent += c.Sent
		sum.SentBytes += c.SentBytes
		sum.ReceivedBytes += c.ReceivedBytes
	}

	return sum
}

// processorTime is the processor time of this process so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()

	var usage syscall.Rusage

	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
