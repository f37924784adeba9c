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
	// MethodBorrow asks a peer to pay for an extra attempt of the caller.
	MethodBorrow = "budget.borrow"
	// askedPeers is the number of peers that are asked for one attempt, one after the other.
	askedPeers = 8
	// mostAsking is the number of attempts for which peers are asked at once.
	mostAsking = 8
	// askTimeout bounds the answer of a peer, borrowTimeout those of all of them and the wait for a place.
	askTimeout    = 50 * time.Millisecond
	borrowTimeout = 100 * time.Millisecond
	// leastPause is how long no peer is asked after none had anything left; it doubles up to mostPause.
	leastPause = 250 * time.Millisecond
	mostPause  = 2 * time.Second
	// leastLoan is the least part of an attempt that is lent.
	leastLoan = 0.05
	// mostServices bounds the services for which something is lent.
	mostServices = 1_000
)

var errAmount = errors.New("at most one attempt can be borrowed")

// Peers reaches other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

type borrowParams struct {
	Service string `json:"service"`
	// Amount is above 0 and at most 1.
	Amount float64 `json:"amount"`
}

type borrowAnswer struct {
	// Amount is what the peer pays for; 0 if it has nothing to spare.
	Amount float64 `json:"amount"`
}

// loans bounds the questions to peers.
type loans struct {
	places chan struct{}

	mu sync.Mutex
	// pauses hold by service until when nobody is asked.
	pauses map[string]pause
	// parts hold by service what was borrowed and did not make up a whole attempt.
	parts map[string]loan
	// turn counts the peers that were asked, so that all are asked one after the other.
	turn int
}

type pause struct {
	until, length time.Duration
}

// loan is a part of an attempt that may be used until it expires.
type loan struct {
	amount  float64
	expires time.Duration
}

func newLoans() loans {
	return loans{places: make(chan struct{}, mostAsking), pauses: make(map[string]pause), parts: make(map[string]loan)}
}

// takePart returns what was kept for the service if it can still be used for so long.
func (l *loans) takePart(now, atLeast time.Duration, service string) loan {
	l.mu.Lock()
	defer l.mu.Unlock()

	part := l.parts[service]
	delete(l.parts, service)

	if part.amount == 0 || part.expires-now < atLeast {
		return loan{}
	}

	return part
}

func (l *loans) keepPart(service string, part loan) {
	if part.amount == 0 {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.parts[service] = part
}

// next returns the peer to ask now.
func (l *loans) next(peers []string) string {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.turn++

	return peers[l.turn%len(peers)]
}

// begin takes a place among those that ask; false if it is no use to ask now.
func (l *loans) begin(ctx context.Context, now time.Duration, service string) bool {
	l.mu.Lock()
	paused := now < l.pauses[service].until
	l.mu.Unlock()

	if paused {
		return false
	}

	select {
	case l.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// end gives the place back and notes whether peers had something left.
func (l *loans) end(now time.Duration, service string, lent bool) {
	<-l.places

	l.mu.Lock()
	defer l.mu.Unlock()

	if lent {
		delete(l.pauses, service)

		return
	}

	former := l.pauses[service]
	if now < former.until {
		return
	}

	length := min(max(2*former.length, leastPause), mostPause)
	l.pauses[service] = pause{until: now + length, length: length}
}

// borrow pays for an extra attempt of which this node's own budget has a part left.
func (b *Budgeter) borrow(ctx context.Context, service string, own float64) (*Permit, bool) {
	if b.options.Peers == nil {
		return nil, false
	}

	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()

	if !b.loans.begin(ctx, b.options.Now(), service) {
		return nil, false
	}

	borrowed := b.gather(ctx, service, 1-own)
	charge := &Permit{budgeter: b, service: service, own: max(1-borrowed.amount, 0), borrowed: borrowed.amount, expires: borrowed.expires}

	_, ok := b.take(service, charge.own)
	if !ok {
		b.loans.keepPart(service, borrowed)
	}

	b.loans.end(b.options.Now(), service, ok)

	return charge, ok
}

// gather borrows what is missing of an attempt, or a part of it.
func (b *Budgeter) gather(ctx context.Context, service string, missing float64) loan {
	now, loanTime := b.options.Now(), durationsOf(b.options.Window).loan

	borrowed := b.loans.takePart(now, loanTime/2, service)
	if borrowed.amount == 0 {
		// Lenders count from when they are asked, which is later.
		borrowed.expires = now + loanTime
	}

	peers := b.peers()

	for asked := 0; asked < min(len(peers), askedPeers); asked++ {
		if borrowed.amount >= missing-rounding || ctx.Err() != nil {
			break
		}

		amount := b.ask(ctx, b.loans.next(peers), borrowParams{Service: service, Amount: missing - borrowed.amount})
		borrowed.amount += amount
		b.update(service, func(l *ledger) { l.totals.borrowed += amount })
	}

	return borrowed
}

// peers returns the other nodes that answer, in their order.
func (b *Budgeter) peers() []string {
	peers := slices.DeleteFunc(slices.Clone(b.options.Live()), func(name string) bool { return name == b.options.Self })
	slices.Sort(peers)

	return peers
}

// ask returns what a peer lends.
func (b *Budgeter) ask(ctx context.Context, peer string, params borrowParams) float64 {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	var answer borrowAnswer
	if err := b.options.Peers.Call(ctx, peer, MethodBorrow, params, &answer); err != nil {
		b.options.Logger.Debug().Err(err).Str("peer", peer).Msg("borrow_failed")

		return 0
	}

	return min(max(answer.Amount, 0), params.Amount)
}

// HandleBorrow answers MethodBorrow.
func (b *Budgeter) HandleBorrow(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var asked borrowParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	if asked.Amount <= 0 || asked.Amount > 1 {
		return nil, errAmount
	}

	return borrowAnswer{Amount: b.lend(asked.Service, asked.Amount)}, nil
}

// lend pays for a part of an attempt of a peer, from what this node is not likely to need itself.
func (b *Budgeter) lend(service string, amount float64) float64 {
	part := b.options.Share()
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	// A service that this node has no requests for may be any text.
	if _, known := b.services[service]; !known && len(b.services) >= mostServices {
		return 0
	}

	l := b.ledger(now, service)

	spare := b.available(l, part) - l.demand()
	if spare < min(amount, leastLoan) {
		return 0
	}

	amount = min(amount, spare)
	l.extras.add(l.at(now+l.loan+l.late), amount)
	l.totals.lent += amount

	return amount
}
