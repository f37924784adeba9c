package granter

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
)

// errIncompleteAnswer is returned if an answer doesn't have one decision for each slot request.
var errIncompleteAnswer = errors.New("the holder's answer doesn't have one decision for each slot request")

// batcher sends slot requests, releases and cancellations to holders. Depending on
// the message policy, each is sent at once, or collected for a few milliseconds into
// one message. It is safe for concurrent use.
type batcher struct {
	router *Router

	mu sync.Mutex
	// batches holds the batches that are not sent yet, by holder.
	batches map[string]*batch
}

// batch is one message to which items are still added.
type batch struct {
	params entryParams
	// replies receives one reply for each slot request, in the same order.
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

// request sends one slot request and returns the holder's answer. An urgent request
// sends the open batch of its holder at once. An error means that the holder
// didn't answer.
func (b *batcher) request(ctx context.Context, holder string, request slotRequest, urgent bool) (decision, error) {
	if b.sendsDirectly(holder) {
		return b.requestDirectly(ctx, holder, request)
	}

	answer := make(chan reply, 1)

	b.enqueue(holder, urgent, func(open *batch) {
		open.params.Requests = append(open.params.Requests, request)
		open.replies = append(open.replies, answer)
	})

	select {
	case r := <-answer:
		return r.decision, r.err
	case <-ctx.Done():
		return decision{}, errors.Wrap(ctx.Err(), "request a slot")
	}
}

// release tells a holder that a grant has ended.
func (b *batcher) release(holder string, release slotRelease) {
	if b.sendsDirectly(holder) {
		b.notify(holder, entryParams{Releases: []slotRelease{release}})

		return
	}

	b.enqueue(holder, false, func(open *batch) { open.params.Releases = append(open.params.Releases, release) })
}

// cancel tells a holder that a slot request is withdrawn.
func (b *batcher) cancel(holder string, cancel slotCancel) {
	if b.sendsDirectly(holder) {
		b.notify(holder, entryParams{Cancels: []slotCancel{cancel}})

		return
	}

	b.enqueue(holder, false, func(open *batch) { open.params.Cancels = append(open.params.Cancels, cancel) })
}

func (b *batcher) sendsDirectly(holder string) bool {
	return b.router.options.MessagePolicy != MessageBatched || b.isLocal(holder)
}

func (b *batcher) isLocal(holder string) bool {
	return holder == b.router.options.Node
}

func (b *batcher) requestDirectly(ctx context.Context, holder string, request slotRequest) (decision, error) {
	result, err := b.call(ctx, holder, entryParams{Requests: []slotRequest{request}})
	if err != nil {
		return decision{}, err
	}

	if len(result.Answers) != 1 {
		return decision{}, errIncompleteAnswer
	}

	return result.Answers[0], nil
}

// call sends one message with slot requests and waits up to HolderTimeout for the answer.
func (b *batcher) call(ctx context.Context, holder string, params entryParams) (entryResult, error) {
	r := b.router
	if b.isLocal(holder) {
		return r.holder.handleMessage(holder, params), nil
	}

	ctx, cancel := context.WithTimeout(ctx, r.options.HolderTimeout)
	defer cancel()

	r.counters.messages.Add(1)

	var result entryResult

	err := r.caller.Call(ctx, holder, MethodAsk, params, &result)

	return result, err
}

const (
	// immediateNotifyAttempts is the number of attempts without a pause to send a message that has no slot requests.
	immediateNotifyAttempts = 3
	// notifyRetryTimeout bounds the time in which such a message is retried. Retries after
	// the immediate attempts are probeInterval apart.
	notifyRetryTimeout = 10 * time.Second
)

// notify sends a message without slot requests and retries if that fails. A lost
// release would keep its slot in use until the holder's second comparison, which
// may be MaxReconcileInterval away. A message that arrives twice has no further effect.
func (b *batcher) notify(holder string, params entryParams) {
	if b.isLocal(holder) {
		b.router.holder.handleMessage(holder, params)

		return
	}

	go func() {
		deadline := time.Now().Add(notifyRetryTimeout)

		for attempts := 1; b.notifyOnce(holder, params) != nil && time.Now().Before(deadline); attempts++ {
			if attempts >= immediateNotifyAttempts {
				sleeper.Sleep(b.router.ctx, probeInterval)
			}

			if b.router.ctx.Err() != nil {
				return
			}
		}
	}()
}

func (b *batcher) notifyOnce(holder string, params entryParams) error {
	r := b.router

	ctx, cancel := context.WithTimeout(r.ctx, r.options.HolderTimeout)
	defer cancel()

	r.counters.messages.Add(1)

	return r.caller.Notify(ctx, holder, MethodRelease, params)
}

// enqueue adds an item to the batch of a holder. The batch is sent at once if urgent, otherwise after MaxBatchDelay.
func (b *batcher) enqueue(holder string, urgent bool, add func(*batch)) {
	b.mu.Lock()
	defer b.mu.Unlock()

	open := b.batches[holder]
	if open == nil {
		open = &batch{}
		open.timer = time.AfterFunc(b.router.options.MaxBatchDelay, func() { b.flush(holder, open) })
		b.batches[holder] = open
	}

	add(open)

	if urgent {
		open.timer.Stop()
		delete(b.batches, holder)

		go b.send(holder, open)
	}
}

// flush sends a batch whose delay has passed, unless an urgent request sent it before.
func (b *batcher) flush(holder string, batch *batch) {
	b.mu.Lock()
	unsent := b.batches[holder] == batch

	if unsent {
		delete(b.batches, holder)
	}

	b.mu.Unlock()

	if unsent {
		b.send(holder, batch)
	}
}

func (b *batcher) send(holder string, sent *batch) {
	if len(sent.replies) == 0 {
		b.notify(holder, sent.params)

		return
	}

	result, err := b.call(b.router.ctx, holder, sent.params)
	if err == nil && len(result.Answers) != len(sent.replies) {
		err = errIncompleteAnswer
	}

	for i, answer := range sent.replies {
		if err != nil {
			answer <- reply{err: err}

			continue
		}

		answer <- reply{decision: result.Answers[i]}
	}
}
