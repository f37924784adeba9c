package replayer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// DefaultWorkers is the largest number of callers at once.
	DefaultWorkers = 4000
	// DefaultAnswerLimit is how long a caller waits for its answer with all tries.
	DefaultAnswerLimit = 2 * time.Minute
	// lateAfter is the delay from which a send counts as late.
	lateAfter   = 20 * time.Millisecond
	dialLimit   = 2 * time.Second
	idleTimeout = 30 * time.Second
)

// Options say how to play a trace.
type Options struct {
	// Entries are the IP:port addresses to start from; at least one.
	Entries []string
	// Keys are the bearer keys by organisation.
	Keys map[string]string
	// Speed divides the trace's times; 0 counts as 1.
	Speed float64
	// Workers bounds the callers at once; 0 means DefaultWorkers. A send that waits for a worker is late.
	Workers int
	// AnswerLimit bounds a caller's whole wait; 0 means DefaultAnswerLimit.
	AnswerLimit time.Duration
	// StandIns says that all upstreams are our stand-ins, whose answers are known beforehand.
	StandIns bool
	// AskAgain lets callers repeat a not repeatable request with an idempotency
	// key after a broken connection, as the key is meant for.
	AskAgain bool
	// ByService has callers name their service in GET /v1/entries and use the
	// addresses in the order of the answer. Otherwise they take all entries in turn.
	ByService bool
	// TLS, if set, has nodes called by HTTPS with these settings.
	TLS *tls.Config
	// Client replaces the HTTP client, for tests.
	Client Doer
	// Progress, if set, is called after each ending, from many goroutines.
	Progress func(ended, all int)
}

// Player plays traces against running nodes.
type Player struct {
	options Options
	guide   *guide
	// kept reuses connections; fresh opens one for each call. A request that must
	// not be repeated goes on a fresh one: on a kept one that the node has just
	// closed, nobody could tell whether it was sent.
	kept, fresh Doer
}

// New returns a player.
func New(options Options) *Player {
	if options.Speed <= 0 {
		options.Speed = 1
	}

	if options.Workers <= 0 {
		options.Workers = DefaultWorkers
	}

	if options.AnswerLimit <= 0 {
		options.AnswerLimit = DefaultAnswerLimit
	}

	p := &Player{options: options, kept: options.Client, fresh: options.Client}
	if options.Client == nil {
		p.kept, p.fresh = newClient(options, true), newClient(options, false)
	}

	return p
}

// scheme is how nodes are called.
func (o Options) scheme() string {
	if o.TLS != nil {
		return "https://"
	}

	return "http://"
}

func newClient(options Options, keepAlive bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
			TLSClientConfig:     options.TLS,
			MaxIdleConnsPerHost: options.Workers,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (p *Player) clientFor(e tracer.Event) Doer {
	if e.NotRepeatable {
		return p.fresh
	}

	return p.kept
}

// Play sends the events at their times and returns when each has ended. It
// fails before the first event when an organisation has no key or no entry
// answers, and with the context's error when ctx ends before the trace.
func (p *Player) Play(ctx context.Context, events []tracer.Event) (Result, error) {
	key, err := p.checkKeys(events)
	if err != nil {
		return Result{}, err
	}

	following, stop := context.WithCancel(ctx)
	defer stop()

	p.guide = newGuide(p.kept, p.options, key, events)
	if err := p.guide.start(following); err != nil {
		return Result{}, err
	}

	result := Result{Started: time.Now(), Outcomes: make([]Outcome, len(events))}
	err = p.send(ctx, events, result)
	result.Took = time.Since(result.Started)
	result.Entries = p.guide.addresses()

	return result, err
}

// checkKeys returns one of the keys, for the calls that belong to no event.
func (p *Player) checkKeys(events []tracer.Event) (string, error) {
	if len(events) == 0 {
		return "", classifier.New(classifier.InvalidUsage, "the trace has no events")
	}

	var unknown []string

	for _, v := range events {
		if _, ok := p.options.Keys[v.Organisation]; !ok && !slices.Contains(unknown, v.Organisation) {
			unknown = append(unknown, v.Organisation)
		}
	}

	slices.Sort(unknown)

	if len(unknown) > 0 {
		return "", classifier.New(classifier.InvalidUsage, "no key is given for the organisations %v of the trace", unknown)
	}

	return p.options.Keys[events[0].Organisation], nil
}

// send hands each event to a worker at its time, whatever the earlier ones do.
func (p *Player) send(ctx context.Context, events []tracer.Event, result Result) error {
	// The pool needs no stop: its workers end when the queue is empty.
	group := pond.NewPool(p.options.Workers).NewGroup()

	var ended atomic.Int64

	for i, v := range events {
		due := time.Duration(float64(v.AtMS) * float64(time.Millisecond) / p.options.Speed)

		if !sleeper.Sleep(ctx, time.Until(result.Started.Add(due))) {
			return errors.CombineErrors(errors.Wrap(ctx.Err(), "the replay was ended"), group.Wait())
		}

		c := &caller{player: p, index: i, event: v, due: result.Started.Add(due)}

		group.Submit(func() {
			result.Outcomes[i] = c.run(ctx)
			result.Outcomes[i].Due = due

			if p.options.Progress != nil {
				p.options.Progress(int(ended.Add(1)), len(events))
			}
		})
	}

	return errors.Wrap(group.Wait(), "wait for the answers")
}
