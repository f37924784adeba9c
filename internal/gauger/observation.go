package gauger

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Usage is processor time and memory at one moment.
type Usage struct {
	Processor   time.Duration
	MemoryBytes int64
}

// ownUsage reads this process: all nodes, stand-ins, relays and callers.
func ownUsage() (Usage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return Usage{}, errors.Wrap(err, "read processor time")
	}

	// What was freed since the last collection is no node's state.
	runtime.GC()

	var memory runtime.MemStats

	runtime.ReadMemStats(&memory)

	return Usage{
		Processor:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		MemoryBytes: int64(memory.HeapAlloc + memory.StackInuse),
	}, nil
}

// observation is all counts at one moment.
type observation struct {
	at            time.Time
	usage         Usage
	peers         tallySnapshot
	platformCalls map[string]int64
	platformBytes int64
	polls         int64
	upstreamBytes int64
}

func (f *fleet) observe() (observation, error) {
	// The usage is read first at both ends of a phase, so that its own cost falls into each phase once.
	usage, err := f.options.Usage()
	if err != nil {
		return observation{}, err
	}

	o := observation{
		at:            time.Now(),
		usage:         usage,
		peers:         f.tally.snapshot(),
		platformCalls: f.platform.calls(),
		platformBytes: f.platform.bytes.Load(),
	}

	for _, v := range f.upstreams {
		o.polls += v.calls()["/load"]
		o.upstreamBytes += v.bytes.Load()
	}

	return o, nil
}

// compare fills the figures from the counts at both ends of the phase.
func (f *Figures) compare(begun, ended observation, before Usage) {
	seconds := ended.at.Sub(begun.at).Seconds()
	nodes := float64(f.Nodes)
	perNode := func(count int64) float64 { return float64(count) / seconds / nodes }

	f.Seconds = seconds
	f.Cores = (ended.usage.Processor - begun.usage.Processor).Seconds() / seconds / nodes
	f.MemoryBytes = float64(ended.usage.MemoryBytes-before.MemoryBytes) / nodes
	f.PlatformBytes = perNode(ended.platformBytes - begun.platformBytes)
	f.Polls = perNode(ended.polls - begun.polls)

	// Under load the same connections carry answers as well.
	if polls := ended.polls - begun.polls; f.Phase == PhaseIdle && polls > 0 {
		f.PollBytes = float64(ended.upstreamBytes-begun.upstreamBytes) / float64(polls)
	}

	f.PlatformCalls = make(map[string]float64)
	for kind, count := range ended.platformCalls {
		if made := count - begun.platformCalls[kind]; made > 0 {
			f.PlatformCalls[kind] = float64(made) / seconds
		}
	}

	f.comparePeers(begun.peers, ended.peers, perNode)
}

func (f *Figures) comparePeers(begun, ended tallySnapshot, perNode func(int64) float64) {
	f.Methods = make(map[string]Method)
	f.Links = 2 * float64(ended.links) / float64(f.Nodes)

	for name, count := range ended.methods {
		last := begun.methods[name]
		if count.messages == last.messages {
			continue
		}

		// Each byte is sent by one node and received by another.
		method := Method{Bytes: 2 * perNode(count.bytes-last.bytes), Messages: 2 * perNode(count.messages-last.messages)}
		f.Methods[name] = method
		f.PeerBytes += method.Bytes
		f.PeerMessages += method.Messages
	}

	for name, bytes := range ended.nodes {
		f.BusiestPeerBytes = max(f.BusiestPeerBytes, perNode(bytes-begun.nodes[name])*float64(f.Nodes))
	}
}
