package process_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/replayer"
)

// freezeTime is how long a frozen node stays frozen at least; it decides no verdict.
const freezeTime = 3 * time.Second

// keptEntries gives callers a fixed answer of GET /v1/entries, as if they had kept it.
type keptEntries struct {
	client *http.Client
	answer string
}

func newKeptEntries(addresses ...string) keptEntries {
	var entries []string
	for _, v := range addresses {
		entries = append(entries, fmt.Sprintf(`{"address":%q}`, v))
	}

	// A booking must not go out on a kept connection, as in the replayer's own client.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	return keptEntries{client: client, answer: `{"keep_seconds":60,"entries":[` + strings.Join(entries, ",") + `]}`}
}

// Do implements replayer.Doer.
func (k keptEntries) Do(request *http.Request) (*http.Response, error) {
	if request.URL.Path != "/v1/entries" {
		return k.client.Do(request)
	}

	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(k.answer))}, nil
}

// Symptom: one VM that hangs makes callers of all others wait, or a booking runs a second time when it wakes.
// Events: one node after the other is frozen for some seconds and goes on; callers use the other two; bookings were under way on the frozen one.
// Cause: a frozen node may hold a pool, a shard of claims or a limit, closes no connection, and goes on afterwards as if no time had passed.
func TestFrozenNodeHoldsUpNobodyElse(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 3)

	// Each node is frozen once, so that whoever holds a pool or a shard is.
	for i, node := range f.nodes {
		var others []string

		for _, v := range f.nodes {
			if v != node {
				others = append(others, v.address)
			}
		}

		options := f.replayOptions()
		options.Client = newKeptEntries(others...)

		keys := bookAtOnce(t, node, fmt.Sprintf("frozen-%d", i))

		node.signal(t, syscall.SIGSTOP)
		frozen := time.Now()

		// All callers of the others have their answers before the node wakes.
		checkAllWhole(t, f, replay(t, options, mix(uint64(200+i), 40, 2*time.Second)))

		again := keys.again(t, others[0])

		time.Sleep(time.Until(frozen.Add(freezeTime)))
		node.signal(t, syscall.SIGCONT)

		checkAllWhole(t, f, replay(t, options, mix(uint64(210+i), 40, time.Second)))
		keys.check(t, f, again)
	}
}

// checkAllWhole checks the promises, and that each caller got its whole answer.
func checkAllWhole(t *testing.T, f *fleet, result replayer.Result) {
	t.Helper()
	f.checkPromises(t, result)

	for _, v := range result.Outcomes {
		assert.Equal(t, v.Ending, replayer.Whole, "%s", describe(v))
	}
}

// bookings are keys asked for at one node, and what their callers hear.
type bookings struct {
	keys    []string
	answers []booking
	group   sync.WaitGroup
}

// bookAtOnce asks a node for a dozen bookings and returns while they are under way.
func bookAtOnce(t *testing.T, node *process, prefix string) *bookings {
	t.Helper()

	const count = 12

	b := &bookings{answers: make([]booking, count)}

	for i := range count {
		b.keys = append(b.keys, fmt.Sprintf("%s-%d", prefix, i))
		b.group.Go(func() { b.answers[i] = book(t, node.address, b.keys[i], `{"bath":1}`) })
	}

	return b
}

// again asks another node for the same bookings, one after the other.
func (b *bookings) again(t *testing.T, address string) []booking {
	t.Helper()

	var answers []booking
	for _, key := range b.keys {
		answers = append(answers, book(t, address, key, `{"bath":1}`))
	}

	return answers
}

// check compares both answers to each key with its runs.
func (b *bookings) check(t *testing.T, f *fleet, again []booking) {
	t.Helper()
	b.group.Wait()

	for i, key := range b.keys {
		checkRuns(t, key, booked(t, f, key), b.answers[i], again[i])
	}
}

// checkRuns compares all the answers to one key with its runs.
func checkRuns(t *testing.T, key string, runs int, answers ...booking) {
	t.Helper()
	assert.Assert(t, runs <= 1, "%s ran %d times: %+v", key, runs, answers)

	allNotRun := true

	for _, v := range answers {
		if v.status == http.StatusOK {
			assert.Equal(t, runs, 1, "%s: %+v", key, answers)
		}

		allNotRun = allNotRun && v.ran == "not_run" && v.code != "key_in_progress"
	}

	if allNotRun {
		assert.Equal(t, runs, 0, "%s: %+v", key, answers)
	}
}
