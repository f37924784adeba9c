package budgeter

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MethodBorrow asks a peer to cover an extra attempt of the caller, or part of one, from its own budget.
	MethodBorrow = "budget.borrow"
	// maxPeersAsked is the maximum number of peers asked for one attempt, one after the other.
	maxPeersAsked = 8
	// maxConcurrentBorrows is the maximum number of attempts for which peers are asked at the same time.
	maxConcurrentBorrows = 8
	// peerTimeout limits the call to one peer, borrowTimeout the calls to all of them and the wait for the semaphore.
	peerTimeout   = 50 * time.Millisecond
	borrowTimeout = 100 * time.Millisecond
	// minBackoff is how long no peer is asked after none could lend enough. It doubles up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minLoan is the smallest fraction of an attempt that is lent, unless the peer asks for less.
	minLoan = 0.05
	// maxServices limits the number of services with counters when a peer asks for an unknown one.
	maxServices = 1_000
)

var errInvalidAmount = errors.New("the amount to borrow must be above 0 and at most 1")

// Peers sends messages to other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

type borrowParams struct {
	Service string `json:"service"`
	// Amount is the fraction of an attempt to borrow, above 0 and at most 1.
	Amount float64 `json:"amount"`
}

type borrowResult struct {
	// Amount is the fraction that the peer lends; 0 if it has nothing to spare.
	Amount float64 `json:"amount"`
}

// borrower limits how often peers are asked, and keeps borrowed amounts that were not used.
type borrower struct {
	semaphore chan struct{}

	mu sync.Mutex
	// backoffs holds by service until when no peer is asked.
	backoffs map[string]backoff
	// leftovers holds by service what was borrowed but was not enough for a whole attempt.
	leftovers map[string]loan
	// askCount counts the calls to peers, which are asked in round-robin order.
	askCount int
}

type backoff struct {
	until, duration time.Duration
}

// loan is a borrowed fraction of an attempt that may be used until it expires.
type loan struct {
	amount  float64
	expires time.Duration
}

func newBorrower() borrower {
	return borrower{semaphore: make(chan struct{}, maxConcurrentBorrows), backoffs: make(map[string]backoff), leftovers: make(map[string]loan)}
}

// takeLeftover removes and returns the leftover of the service if it stays valid for at least minValidity.
func (b *borrower) takeLeftover(now, minValidity time.Duration, service string) loan {
	b.mu.Lock()
	defer b.mu.Unlock()

	leftover := b.leftovers[service]
	delete(b.leftovers, service)

	if leftover.amount == 0 || leftover.expires-now < minValidity {
		return loan{}
	}

	return leftover
}

func (b *borrower) keepLeftover(service string, leftover loan) {
	if leftover.amount == 0 {
		return
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	b.leftovers[service] = leftover
}

// nextPeer returns the next peer to ask.
func (b *borrower) nextPeer(peers []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.askCount++

	return peers[b.askCount%len(peers)]
}

// acquire acquires the semaphore for calls to peers. It returns false during a backoff and when ctx ends.
func (b *borrower) acquire(ctx context.Context, now time.Duration, service string) bool {
	b.mu.Lock()
	backingOff := now < b.backoffs[service].until
	b.mu.Unlock()

	if backingOff {
		return false
	}

	select {
	case b.semaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release releases the semaphore and updates the backoff: lent says whether the peers lent enough.
func (b *borrower) release(now time.Duration, service string, lent bool) {
	<-b.semaphore

	b.mu.Lock()
	defer b.mu.Unlock()

	if lent {
		delete(b.backoffs, service)

		return
	}

	previous := b.backoffs[service]
	if now < previous.until {
		return
	}

	duration := min(max(2*previous.duration, minBackoff), maxBackoff)
	b.backoffs[service] = backoff{until: now + duration, duration: duration}
}

// borrow reserves an extra attempt of which this node's own budget covers only the fraction own; peers lend the rest.
func (b *Budgeter) borrow(ctx context.Context, service string, own float64) (*Permit, bool) {
	if b.options.Peers == nil {
		return nil, false
	}

	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()

	if !b.borrower.acquire(ctx, b.options.Now(), service) {
		return nil, false
	}

	borrowed := b.borrowFromPeers(ctx, service, 1-own)
	permit := &Permit{budgeter: b, service: service, own: max(1-borrowed.amount, 0), borrowed: borrowed.amount, expires: borrowed.expires}

	_, ok := b.reserve(service, permit.own)
	if !ok {
		b.borrower.keepLeftover(service, borrowed)
	}

	b.borrower.release(b.options.Now(), service, ok)

	return permit, ok
}

// borrowFromPeers borrows up to the missing fraction of an attempt, starting with the leftover of the service.
func (b *Budgeter) borrowFromPeers(ctx context.Context, service string, missing float64) loan {
	now, loanTime := b.options.Now(), durationsOf(b.options.Window).loanTime

	borrowed := b.borrower.takeLeftover(now, loanTime/2, service)
	if borrowed.amount == 0 {
		// Lenders start counting when they are asked, which is later, so the loan never outlasts their record of it.
		borrowed.expires = now + loanTime
	}

	peers := b.peers()

	for asked := 0; asked < min(len(peers), maxPeersAsked); asked++ {
		if borrowed.amount >= missing-roundingTolerance || ctx.Err() != nil {
			break
		}

		amount := b.askPeer(ctx, b.borrower.nextPeer(peers), borrowParams{Service: service, Amount: missing - borrowed.amount})
		borrowed.amount += amount
		b.update(service, func(c *counters) { c.totals.borrowed += amount })
	}

	return borrowed
}

// peers returns the other live nodes, sorted by name.
func (b *Budgeter) peers() []string {
	peers := slices.DeleteFunc(slices.Clone(b.options.Live()), func(name string) bool { return name == b.options.Self })
	slices.Sort(peers)

	return peers
}

// askPeer asks one peer for a loan and returns the amount that it lends.
func (b *Budgeter) askPeer(ctx context.Context, peer string, params borrowParams) float64 {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	var result borrowResult
	if err := b.options.Peers.Call(ctx, peer, MethodBorrow, params, &result); err != nil {
		b.options.Logger.Debug().Err(err).Str("peer", peer).Msg("borrow_failed")

		return 0
	}

	return min(max(result.Amount, 0), params.Amount)
}

// HandleBorrow handles MethodBorrow.
func (b *Budgeter) HandleBorrow(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request borrowParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}

	if request.Amount <= 0 || request.Amount > 1 {
		return nil, errInvalidAmount
	}

	return borrowResult{Amount: b.lend(request.Service, request.Amount)}, nil
}

// lend lends a peer up to the given fraction of an attempt, from what this node is unlikely to need itself.
func (b *Budgeter) lend(service string, amount float64) float64 {
	share := b.options.Share()
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	// The peer may name a service that this node has never seen, so the number of counters is limited.
	if _, known := b.services[service]; !known && len(b.services) >= maxServices {
		return 0
	}

	c := b.countersFor(now, service)

	spare := b.available(c, share) - c.recentDemand()
	if spare < min(amount, minLoan) {
		return 0
	}

	amount = min(amount, spare)
	c.extraAttempts.add(c.slotAt(now+c.loanTime+c.lateArrival), amount)
	c.totals.lent += amount

	return amount
}
