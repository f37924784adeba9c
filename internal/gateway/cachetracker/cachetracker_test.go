package cachetracker_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cachetracker"
)

// call is one call of an engine, as a fakeSource saw it.
type call struct {
	engine string
	at     time.Duration
	isList bool
	since  int64
}

// fakeSource answers calls by two functions and records them. It must be used by one engine, or without changes of its state.
type fakeSource struct {
	start  time.Time
	calls  chan call
	list   func(ctx context.Context) (balancer.CacheList, error)
	events func(ctx context.Context, since int64) (cachetracker.Changes, error)
}

func newFakeSource() *fakeSource {
	return &fakeSource{
		start: time.Now(),
		calls: make(chan call, 1000),
		list: func(context.Context) (balancer.CacheList, error) {
			return balancer.CacheList{Epoch: "e", Next: 10, Parts: []balancer.PromptPart{{ID: "s", Tokens: 6300}}}, nil
		},
		events: func(_ context.Context, since int64) (cachetracker.Changes, error) {
			return cachetracker.Changes{Epoch: "e", Next: since}, nil
		},
	}
}

func (f *fakeSource) List(ctx context.Context, engine cachetracker.Engine) (balancer.CacheList, error) {
	f.calls <- call{engine: engine.ID, at: time.Since(f.start), isList: true}

	return f.list(ctx)
}

func (f *fakeSource) Events(ctx context.Context, engine cachetracker.Engine, since int64, wait time.Duration) (cachetracker.Changes, error) {
	f.calls <- call{engine: engine.ID, at: time.Since(f.start), since: since}

	changes, err := f.events(ctx, since)
	if err != nil || len(changes.Events) > 0 || changes.Lost {
		return changes, err
	}

	select {
	case <-time.After(wait):
		return changes, nil
	case <-ctx.Done():
		return changes, ctx.Err()
	}
}

func (f *fakeSource) recorded() []call {
	var calls []call

	for len(f.calls) > 0 {
		calls = append(calls, <-f.calls)
	}

	return calls
}

func newPool(engines int) *balancer.Pool {
	p := balancer.NewPool(balancer.Options{CacheTracking: true})
	upstreams := make([]balancer.Upstream, engines)

	for i := range upstreams {
		upstreams[i] = balancer.Upstream{ID: fmt.Sprint("e", i), Slots: 8}
	}

	p.SetUpstreams(time.Now(), upstreams, balancer.Engine{CacheTokens: 100_000, EventTokens: 3, ReportsCache: true})

	return p
}

func targets(p *balancer.Pool, count int) []cachetracker.Target {
	list := make([]cachetracker.Target, count)
	for i := range list {
		list[i] = cachetracker.Target{Engine: cachetracker.Engine{ID: fmt.Sprint("e", i)}, PoolName: "chat/0", Pool: p, Load: count - i}
	}

	return list
}

// track lets a tracker ask the engines for a virtual time.
func track(t *testing.T, source *fakeSource, p *balancer.Pool, engines int, duration time.Duration) cachetracker.Counters {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	tracker := cachetracker.New(source, zerolog.Nop())
	tracker.Update(ctx, targets(p, engines))
	time.Sleep(duration)

	// A request never waits for a call, whatever the engines answer.
	before := time.Now()
	_, decision := p.Acquire(before, "node", balancer.Request{ID: "r", PromptTokens: 700, Target: time.Second, TimeLimit: time.Second})
	assert.Equal(t, decision, balancer.Granted)
	assert.Equal(t, time.Since(before), time.Duration(0))

	counters := tracker.Counters()

	cancel()
	synctest.Wait()

	return counters
}

// Guards against engines that are charged for too many calls, and against a pool whose engines all list their caches at once.
func TestEnginesAreAskedOncePerSecondAndForTheirListsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource()
		// Events are always pending, so that no call waits.
		source.events = func(_ context.Context, since int64) (cachetracker.Changes, error) {
			return cachetracker.Changes{Epoch: "e", Next: since + 1, Events: []balancer.CacheEvent{{Number: since, Part: balancer.PromptPart{ID: fmt.Sprint(since), Tokens: 10}}}}, nil
		}
		p := newPool(10)
		counters := track(t, source, p, 10, 10*time.Second-time.Millisecond)
		assert.Equal(t, counters, cachetracker.Counters{Engines: 10, Lists: 10, Polls: 90})

		calls := source.recorded()
		last := map[string]time.Duration{}

		for i, c := range calls {
			if i < 10 {
				assert.Equal(t, c, call{engine: fmt.Sprint("e", 9-i), at: time.Duration(i) * 20 * time.Millisecond, isList: true})
			}

			if before, ok := last[c.engine]; ok {
				assert.Assert(t, c.at-before >= time.Second, "%s was asked %s after the call before", c.engine, c.at-before)
			}

			last[c.engine] = c.at
		}

		assert.Equal(t, p.CacheCounters().Events, int64(90))
	})
}

// Each case injects one failure for a minute of virtual time. It guards against calls in quick succession, lists that the
// engine's work has to wait for again and again, and a pool that takes what can't be true.
func TestFailures(t *testing.T) {
	endless := func(ctx context.Context) error {
		<-ctx.Done()

		return ctx.Err()
	}
	marked := func(kind error) error { return errors.Mark(errors.New("injected"), kind) }
	event := func(number int64) balancer.CacheEvent {
		return balancer.CacheEvent{Number: number, Part: balancer.PromptPart{ID: fmt.Sprint(number), Tokens: 10}}
	}

	cases := map[string]struct {
		inject func(source *fakeSource)
		// expected leaves out Engines.
		expected cachetracker.Counters
		// lists is the number of lists that the pool took.
		lists int64
	}{
		"list never ends": {
			inject: func(s *fakeSource) {
				s.list = func(ctx context.Context) (l balancer.CacheList, err error) { return l, endless(ctx) }
			},
			expected: cachetracker.Counters{Lists: 6, Failed: 6},
		},
		"events never end": {
			inject: func(s *fakeSource) {
				s.events = func(ctx context.Context, _ int64) (c cachetracker.Changes, err error) { return c, endless(ctx) }
			},
			expected: cachetracker.Counters{Lists: 1, Polls: 6, Failed: 6}, lists: 1,
		},
		"list of more than the memory": {
			inject: func(s *fakeSource) {
				s.list = func(context.Context) (balancer.CacheList, error) {
					return balancer.CacheList{Epoch: "e", Parts: []balancer.PromptPart{{ID: "a", Tokens: 99_000}, {ID: "b", Tokens: 99_000}}}, nil
				}
			},
			expected: cachetracker.Counters{Lists: 6, Invalid: 6, Refused: 6},
		},
		"not supported": {
			inject: func(s *fakeSource) {
				s.list = func(context.Context) (l balancer.CacheList, err error) { return l, marked(cachetracker.ErrUnsupported) }
			},
			expected: cachetracker.Counters{Lists: 1, Unsupported: 1},
		},
		"too many calls": {
			inject: func(s *fakeSource) {
				s.events = func(context.Context, int64) (c cachetracker.Changes, err error) {
					return c, marked(cachetracker.ErrBusy)
				}
			},
			expected: cachetracker.Counters{Lists: 1, Polls: 6, Busy: 6}, lists: 1,
		},
		"invalid bodies": {
			inject: func(s *fakeSource) {
				s.events = func(context.Context, int64) (c cachetracker.Changes, err error) {
					return c, marked(cachetracker.ErrInvalid)
				}
			},
			expected: cachetracker.Counters{Lists: 1, Polls: 6, Invalid: 6}, lists: 1,
		},
		"position goes back": {
			inject: func(s *fakeSource) {
				s.events = func(context.Context, int64) (cachetracker.Changes, error) {
					return cachetracker.Changes{Epoch: "e", Next: 3}, nil
				}
			},
			expected: cachetracker.Counters{Lists: 1, Polls: 6, Invalid: 6}, lists: 1,
		},
		"gap in each answer": {
			inject: func(s *fakeSource) {
				s.events = func(_ context.Context, since int64) (cachetracker.Changes, error) {
					return cachetracker.Changes{Epoch: "e", Next: since + 5, Lost: true}, nil
				}
			},
			expected: cachetracker.Counters{Lists: 12, Polls: 48, Gaps: 48}, lists: 12,
		},
		"new epoch in each answer": {
			inject: func(s *fakeSource) {
				s.events = func(_ context.Context, since int64) (cachetracker.Changes, error) {
					return cachetracker.Changes{Epoch: "other", Next: since}, nil
				}
			},
			expected: cachetracker.Counters{Lists: 12, Polls: 12, Epochs: 12, Refused: 12}, lists: 12,
		},
		"every second event never arrives": {
			inject: func(s *fakeSource) {
				s.events = func(_ context.Context, since int64) (cachetracker.Changes, error) {
					return cachetracker.Changes{Epoch: "e", Next: since + 4, Events: []balancer.CacheEvent{event(since + 1), event(since + 3)}}, nil
				}
			},
			expected: cachetracker.Counters{Lists: 3, Polls: 57, Missing: 87}, lists: 3,
		},
		"events late and out of order": {
			inject: func(s *fakeSource) {
				s.events = func(_ context.Context, since int64) (cachetracker.Changes, error) {
					return cachetracker.Changes{Epoch: "e", Next: since + 2, Events: []balancer.CacheEvent{event(since + 1), event(since), event(since - 3)}}, nil
				}
			},
			expected: cachetracker.Counters{Lists: 1, Polls: 59}, lists: 1,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeSource()
				c.inject(source)

				p := newPool(1)
				counters := track(t, source, p, 1, time.Minute-time.Millisecond)
				counters.Engines = 0
				assert.DeepEqual(t, counters, c.expected)
				assert.Equal(t, p.CacheCounters().Lists, c.lists)

				for i, calls := 1, source.recorded(); i < len(calls); i++ {
					assert.Assert(t, calls[i].at-calls[i-1].at >= time.Second)
				}
			})
		})
	}
}

// Guards against a former holder that goes on asking, or that takes an answer after it lost the pool.
func TestCallsEndWhenTheHolderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource()
		source.list = func(ctx context.Context) (balancer.CacheList, error) {
			<-ctx.Done()

			return balancer.CacheList{Epoch: "e"}, nil
		}
		p := newPool(1)
		tracker := cachetracker.New(source, zerolog.Nop())
		tracker.Update(t.Context(), targets(p, 1))
		time.Sleep(100 * time.Millisecond)
		tracker.Update(t.Context(), nil)
		time.Sleep(time.Minute)

		assert.Equal(t, len(source.recorded()), 1)
		assert.Equal(t, p.CacheCounters().Lists, int64(0))
		assert.Equal(t, tracker.Counters().Engines, 0)

		// It asks for a list again when it gets the pool back: it has missed events.
		tracker.Update(t.Context(), targets(p, 1))
		synctest.Wait()
		assert.Assert(t, source.recorded()[0].isList)
		tracker.Update(t.Context(), nil)
		synctest.Wait()
	})
}
