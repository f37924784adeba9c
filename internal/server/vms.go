package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/drainer"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// listInterval is the least time between two reads of the platform's list of VMs by this node.
	listInterval = 5 * time.Second
	// listIntervalPerNode stretches it, so that the whole fleet reads at most ten
	// times a second even if every node reads for itself.
	listIntervalPerNode = 100 * time.Millisecond
	// askLimit is how long a watcher may take to tell what it read.
	askLimit = time.Second
)

// methodLeavingVMs is a call from a node to a watcher of its failure domain.
const methodLeavingVMs = "vms.leaving"

// leavingResult answers methodLeavingVMs.
type leavingResult struct {
	// Read is false if the node doesn't read the list itself, or couldn't yet.
	Read bool `json:"read,omitempty"`
	// Leaving names the VMs that the list marks.
	Leaving []string `json:"leaving,omitempty"`
}

// vmReader reads the platform's list of VMs.
type vmReader interface {
	VMs(ctx context.Context) (storer.VMList, error)
}

// peerCaller calls other nodes.
type peerCaller interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// vmList knows which VMs the platform's list marks as leaving. The list grows
// with the fleet, and few of its VMs leave: so only the watchers of each failure
// domain read it, and the other nodes ask them for the marks. A node whose
// watchers don't answer reads it itself, else it would send work to VMs that
// stop. It is safe for concurrent use.
type vmList struct {
	self   string
	reader vmReader
	caller peerCaller
	// watchers names those of this node's failure domain.
	watchers func() []string

	mu sync.Mutex
	// told is what this node answers others.
	told leavingResult
}

// refresh returns the VMs that are marked, and whether the platform was asked.
func (l *vmList) refresh(ctx context.Context) (leaving []string, read bool, err error) {
	watchers := l.watchers()
	isWatcher := slices.Contains(watchers, l.self)

	if !isWatcher {
		// Two nodes that each take the other for a watcher must not pass old marks to and fro.
		l.tell(leavingResult{})

		if answer := l.ask(ctx, watchers); answer.Read {
			return answer.Leaving, false, nil
		}
	}

	list, err := l.reader.VMs(ctx)
	if err != nil {
		return nil, true, err
	}

	for _, vm := range list.VMs {
		if vm.State == "leaving" {
			leaving = append(leaving, vm.Name)
		}
	}

	if isWatcher {
		l.tell(leavingResult{Read: true, Leaving: leaving})
	}

	return leaving, true, nil
}

func (l *vmList) tell(result leavingResult) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.told = result
}

// ask returns the answer of the first watcher that has read the list.
func (l *vmList) ask(ctx context.Context, watchers []string) leavingResult {
	for _, watcher := range watchers {
		if answer := l.askOne(ctx, watcher); answer.Read {
			return answer
		}
	}

	return leavingResult{}
}

func (l *vmList) askOne(ctx context.Context, watcher string) leavingResult {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()

	var answer leavingResult
	if err := l.caller.Call(ctx, watcher, methodLeavingVMs, struct{}{}, &answer); err != nil {
		return leavingResult{}
	}

	return answer
}

// handleLeaving answers methodLeavingVMs. A watcher whose platform is out tells
// what it read last, so that the others don't turn to the platform too.
func (l *vmList) handleLeaving(context.Context, string, json.RawMessage) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.told, nil
}

// newVMList makes the list and answers other nodes.
func (n *Node) newVMList() *vmList {
	list := &vmList{
		self:     n.identity.node,
		reader:   n.store,
		caller:   n.messages,
		watchers: func() []string { return distributor.Watchers(n.members.self, n.members.view.Load().nodes) },
	}

	n.messages.Handle(methodLeavingVMs, list.handleLeaving)

	return list
}

// readList takes in the platform's lagging list of VMs until ctx ends.
func (n *Node) readList(ctx context.Context) {
	if n.store == nil {
		return
	}

	for {
		pause := listPause(n.members.known(), n.readListOnce(ctx))

		if !sleeper.Sleep(ctx, pause) {
			return
		}
	}
}

// listPause is the time until a node looks again. Marks of a watcher cost
// little, and are asked for more often, as they were old when it read them.
func listPause(nodes int, read bool) time.Duration {
	pause := time.Duration(nodes) * listIntervalPerNode
	if !read {
		pause /= 4
	}

	pause = max(listInterval, pause)

	// Jitter keeps nodes that started together from reading together.
	return pause + time.Duration(rand.Int64N(int64(pause)/4))
}

// readListOnce takes in the list and says whether the platform was asked.
func (n *Node) readListOnce(ctx context.Context) bool {
	names, read, err := n.vms.refresh(ctx)
	if err != nil {
		n.logger.Debug().Err(err).Msg("vm_list_unreadable")

		return read
	}

	leaving := make(map[string]bool, len(names))
	for _, name := range names {
		leaving[name] = true
	}

	n.members.prober.SetListedNodes(time.Now(), n.listedNodes(leaving))
	n.markLeavingUpstreams(drainer.SourceList, leaving)

	return read
}
