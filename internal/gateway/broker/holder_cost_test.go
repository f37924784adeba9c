package broker_test

import (
	"context"
	"fmt"
	"net"
	"runtime/pprof"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/messenger"
)

// decisionInterval paces the benchmark to 300 decisions per second: without gaps, wake-ups and batches would not cost what they do.
// Then caches are cold, too, and idle nodes cost something; back to back, the figure is that of the code alone.
const decisionInterval = time.Second / 300

// wiredNode is a broker whose messages go over TCP.
type wiredNode struct {
	*broker.Broker
	messages *messenger.Messenger
}

// startWired starts a node whose goroutines have the role as a profile label.
func startWired(ctx context.Context, b *testing.B, role string, listener net.Listener, live []string, state *cataloguer.State) wiredNode {
	b.Helper()

	self := listener.Addr().String()
	messages := messenger.New(messenger.Options{
		Self: self, Credential: "credential", Logger: zerolog.Nop(),
		Joined: func(name string) (string, bool) { return name, true },
	})
	node := broker.New(nodeOptions(self, func() []string { return live }, messages))

	registerHandlers(messages, node)
	node.Update(state)

	pprof.Do(ctx, pprof.Labels("role", role), func(ctx context.Context) {
		go func() { _ = messages.Run(ctx, listener) }()
		go node.Run(ctx)
	})

	return wiredNode{node, messages}
}

func registerHandlers(messages *messenger.Messenger, node *broker.Broker) {
	messages.HandleInline(broker.MethodChoose, node.HandleChoose)
	messages.Handle(broker.MethodReport, node.HandleReport)
}

// benchAskers is the number of nodes that ask. Each asks 25 times per second, which is more often than in a large fleet.
const benchAskers = 12

// BenchmarkHolder measures the processor time of all nodes for one request: the ask, the decision and its answer, and the reports
// to the holder and the standby. The two nodes that hold the pools have the label role=holder in a profile.
func BenchmarkHolder(b *testing.B) {
	for _, servers := range []int{12, 30, 90} {
		b.Run(fmt.Sprint(servers, "-servers"), func(b *testing.B) { benchmarkHolder(b, servers, decisionInterval) })
		b.Run(fmt.Sprint(servers, "-servers-back-to-back"), func(b *testing.B) { benchmarkHolder(b, servers, 0) })
	}
}

func benchmarkHolder(b *testing.B, servers int, interval time.Duration) {
	b.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	nodes := startBenchFleet(ctx, b, servers)
	before, sent := processorTime(), messagesOut(nodes)
	next := time.Now()
	declined := 0

	b.ResetTimer()

	for i := range b.N {
		pprof.Do(ctx, pprof.Labels("role", "asker"), func(ctx context.Context) {
			if _, ok := askerOf(nodes, i).Choose(ctx, service, holderRequest(i)); !ok {
				declined++
			}

			recordProgress(nodes, i)
		})

		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}

	b.StopTimer()
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(messagesOut(nodes)-sent)/float64(b.N), "writes/op")
	b.ReportMetric(float64(declined), "declined")
}

// startBenchFleet starts two nodes that hold the pools of all servers, followed by those that ask, and warms them up.
func startBenchFleet(ctx context.Context, b *testing.B, servers int) []wiredNode {
	b.Helper()

	var listing cataloguer.Listing
	for i := range servers {
		listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("i-7f3a91c2", i), Address: "10.128.0.9:8080", Service: service, Slots: 64})
	}

	state := serviceState(listing)
	state.Configuration.Services[0].Engine = &cataloguer.Engine{CacheTokens: 200_000, EventTokens: 5}

	var (
		listeners []net.Listener
		live      []string
		nodes     []wiredNode
	)

	for i := range benchAskers + 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}

		listeners = append(listeners, listener)

		if i < 2 {
			live = append(live, listener.Addr().String())
		}
	}

	for i, listener := range listeners {
		role := "asker"
		if i < 2 {
			role = "holder"
		}

		nodes = append(nodes, startWired(ctx, b, role, listener, live, state))
	}

	// A new holder decides only after its warm-up.
	_, _ = nodes[0].Choose(ctx, service, holderRequest(-1))
	_, _ = nodes[1].Choose(ctx, service, holderRequest(-1))
	time.Sleep(2600 * time.Millisecond)

	return nodes
}

// askerOf returns the node that sends a request.
func askerOf(nodes []wiredNode, request int) wiredNode {
	return nodes[2+(request+benchAskers*10)%benchAskers]
}

// recordProgress reports the first event and the end of requests that were sent before a request.
func recordProgress(nodes []wiredNode, request int) {
	const firstAfter, endAfter = 5, 50

	askerOf(nodes, request-firstAfter).RecordFirstEvent(holderRequest(request-firstAfter).ID, &balancer.Load{Running: 12, Waiting: 1})

	ended := askerOf(nodes, request-endAfter)
	id := holderRequest(request - endAfter).ID

	ended.RecordGaps(id, balancer.EventGaps{Events: 20, MeanMS: 64.3, LongestMS: 131.8})
	ended.RecordEnd(id, balancer.Served)
}

func holderRequest(i int) balancer.Request {
	return balancer.Request{
		ID: fmt.Sprintf("0b8f6a52-9c41-4d07-be2a-%012d.0", i+1000), Priority: 2, PromptTokens: 2368, OutputTokens: 60, TimeLimit: 6 * time.Second,
		Target: 800 * time.Millisecond, GapLimit: 500 * time.Millisecond,
		PromptParts: []balancer.PromptPart{{ID: "5c1e07a2", Tokens: 1000}, {ID: fmt.Sprint("91bd3f", i%300), Tokens: 1000}, {ID: fmt.Sprint("e4402b7d", i), Tokens: 368}},
	}
}

func messagesOut(nodes []wiredNode) int64 {
	var sum int64
	for _, node := range nodes {
		sum += node.messages.Traffic().MessagesOut
	}

	return sum
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage

	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
