package tracer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maker gathers the events of one generated trace. The same seed gives the same trace.
type maker struct {
	story  string
	rng    *rand.Rand
	events []Event
	keys   int
}

func newMaker(story string, seed uint64) *maker {
	return &maker{story: story, rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(story)))}
}

// kind is a sort of request with the spread of its lengths.
type kind struct {
	service, class string
	// path is empty for engines.
	path          string
	organisations []string
	// promptMedian and answerMedian are medians in tokens of log-normal lengths.
	promptMedian, answerMedian float64
	// spread is the standard deviation of the lengths' logarithm.
	spread        float64
	notRepeatable bool
	comeBack      bool
}

// flow adds requests that come at random, with the given mean rate a second, until end.
func (m *maker) flow(k kind, rate float64, end time.Duration) {
	var at time.Duration

	for {
		at += time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return
		}

		m.add(k, at)
	}
}

// burst adds count requests spread evenly at random over [from, to).
func (m *maker) burst(k kind, count int, from, to time.Duration) {
	for range count {
		m.add(k, from+time.Duration(m.rng.Int64N(int64(to-from))))
	}
}

// add adds one request and returns it.
func (m *maker) add(k kind, at time.Duration) Event {
	e := Event{
		AtMS:          at.Milliseconds(),
		Service:       k.service,
		Class:         k.class,
		Organisation:  k.organisations[m.rng.IntN(len(k.organisations))],
		Path:          k.path,
		NotRepeatable: k.notRepeatable,
		ComeBack:      k.comeBack,
	}

	if k.path == "" {
		e.PromptTokens = m.length(k.promptMedian, k.spread)
		e.AnswerTokens = m.length(k.answerMedian, k.spread)
	}

	if k.notRepeatable {
		m.keys++
		e.IdempotencyKey = m.story + "-" + k.class + "-" + strconv.Itoa(m.keys)
	}

	m.events = append(m.events, e)

	return e
}

// again adds the same request some time later: the caller didn't wait for the answer and asked again.
func (m *maker) again(e Event, after time.Duration) {
	e.AtMS += after.Milliseconds()
	m.events = append(m.events, e)
}

// between returns a random time in [low, high).
func (m *maker) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

func (m *maker) length(median, spread float64) int {
	const longestTimes = 8

	n := median * math.Exp(m.rng.NormFloat64()*spread)

	return max(1, int(min(n, median*longestTimes)))
}

// trace returns the events sorted by time.
func (m *maker) trace() []Event {
	slices.SortStableFunc(m.events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })

	return m.events
}
