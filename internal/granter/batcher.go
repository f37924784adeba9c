package granter

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
)

// errNoAnswer marks a holder that answered with fewer decisions than asks.
var errNoAnswer = errors.New("the holder answered without a decision")

// batcher sends asks, releases and cancels to holders: each at once, or gathered
// for a few milliseconds in one message. It is safe for concurrent use.
type batcher struct {
	router *Router

	mu sync.Mutex
	// batches holds what is being gathered, by holder.
	batches map[string]*batch
}

// batch is one message in the making.
type batch struct {
	params askParams
	// replies takes one answer for each ask, in order.
	replies []chan reply
	timer   *time.Timer
}

type reply struct {
	decision decision
	err      error
}

func newBatcher(r *Router) *batcher {
	return &batcher{router: r, batches: make(map[string]*batch)}
}

// ask sends one ask and returns the holder's answer. Urgent asks are not
// gathered, but take along what was. The error means that the holder was silent.
func (b *batcher) ask(ctx context.Context, peer string, item askItem, urgent bool) (decision, error) {
	if b.direct(peer) {
		return b.askNow(ctx, peer, item)
	}

	answer := make(chan reply, 1)

	b.gather(peer, urgent, func(m *batch) {
		m.params.Asks = append(m.params.Asks, item)
		m.replies = append(m.replies, answer)
	})

	select {
	case r := <-answer:
		return r.decision, r.err
	case <-ctx.Done():
		return decision{}, errors.Wrap(ctx.Err(), "ask for a slot")
	}
}

// release tells a holder that a grant has ended.
func (b *batcher) release(peer string, item releaseItem) {
	if b.direct(peer) {
		b.tell(peer, askParams{Releases: []releaseItem{item}})

		return
	}

	b.gather(peer, false, func(m *batch) { m.params.Releases = append(m.params.Releases, item) })
}

// cancel takes an ask back.
func (b *batcher) cancel(peer string, item cancelItem) {
	if b.direct(peer) {
		b.tell(peer, askParams{Cancels: []cancelItem{item}})

		return
	}

	b.gather(peer, false, func(m *batch) { m.params.Cancels = append(m.params.Cancels, item) })
}

func (b *batcher) direct(peer string) bool {
	return b.router.options.MessagePolicy != MessageBatched || b.local(peer)
}

func (b *batcher) local(peer string) bool {
	return peer == b.router.options.Node
}

func (b *batcher) askNow(ctx context.Context, peer string, item askItem) (decision, error) {
	result, err := b.call(ctx, peer, askParams{Asks: []askItem{item}})
	if err != nil {
		return decision{}, err
	}

	if len(result.Answers) != 1 {
		return decision{}, errNoAnswer
	}

	return result.Answers[0], nil
}

// call sends one message with asks and waits for its answer, HolderTimeout at most.
func (b *batcher) call(ctx context.Context, peer string, params askParams) (askResult, error) {
	r := b.router
	if b.local(peer) {
		return r.holder.take(peer, params), nil
	}

	ctx, cancel := context.WithTimeout(ctx, r.options.HolderTimeout)
	defer cancel()

	r.counters.messages.Add(1)

	var result askResult

	err := r.caller.Call(ctx, peer, MethodAsk, params, &result)

	return result, err
}

const (
	// tellTries is how often a message without asks is sent at once until it succeeds.
	tellTries = 3
	// tellFor is how long it is sent again each probeEvery after that.
	tellFor = 10 * time.Second
)

// tell sends a message without asks. A lost release holds its slot until the
// holder's second comparison, which may be MaxReconcileInterval away; so one that
// fails is sent again, which changes nothing when it had arrived.
func (b *batcher) tell(peer string, params askParams) {
	if b.local(peer) {
		b.router.holder.take(peer, params)

		return
	}

	go func() {
		until := time.Now().Add(tellFor)

		for tries := 1; b.tellOnce(peer, params) != nil && time.Now().Before(until); tries++ {
			if tries >= tellTries {
				sleeper.Sleep(b.router.ctx, probeEvery)
			}

			if b.router.ctx.Err() != nil {
				return
			}
		}
	}()
}

func (b *batcher) tellOnce(peer string, params askParams) error {
	r := b.router

	ctx, cancel := context.WithTimeout(r.ctx, r.options.HolderTimeout)
	defer cancel()

	r.counters.messages.Add(1)

	return r.caller.Notify(ctx, peer, MethodRelease, params)
}

// gather adds to the batch for a holder, and sends it at once or after MaxBatchDelay.
func (b *batcher) gather(peer string, urgent bool, add func(*batch)) {
	b.mu.Lock()
	defer b.mu.Unlock()

	m := b.batches[peer]
	if m == nil {
		m = &batch{}
		m.timer = time.AfterFunc(b.router.options.MaxBatchDelay, func() { b.flush(peer, m) })
		b.batches[peer] = m
	}

	add(m)

	if urgent {
		m.timer.Stop()
		delete(b.batches, peer)

		go b.send(peer, m)
	}
}

// flush sends a batch whose time has come, unless an urgent ask took it along.
func (b *batcher) flush(peer string, m *batch) {
	b.mu.Lock()
	waiting := b.batches[peer] == m

	if waiting {
		delete(b.batches, peer)
	}

	b.mu.Unlock()

	if waiting {
		b.send(peer, m)
	}
}

func (b *batcher) send(peer string, m *batch) {
	if len(m.replies) == 0 {
		b.tell(peer, m.params)

		return
	}

	result, err := b.call(b.router.ctx, peer, m.params)
	if err == nil && len(result.Answers) != len(m.replies) {
		err = errNoAnswer
	}

	for i, answer := range m.replies {
		if err != nil {
			answer <- reply{err: err}

			continue
		}

		answer <- reply{decision: result.Answers[i]}
	}
}
