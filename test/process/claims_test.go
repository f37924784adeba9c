package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// booking is what a caller hears of one attempt at a booking.
type booking struct {
	status   int
	code     string
	ran      string
	replayed bool
	run      int
}

// book sends a booking that must run at most once. A broken connection gives status 0.
func book(tb testing.TB, address, key, body string) booking {
	tb.Helper()

	request, err := http.NewRequestWithContext(tb.Context(), http.MethodPost, "http://"+address+"/services/banco/book", strings.NewReader(body))
	assert.NilError(tb, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Quincepath-Class", "booking")
	request.Header.Set("Idempotency-Key", key)

	response, err := bookingClient.Do(request)
	if err != nil {
		return booking{}
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	if err != nil {
		return booking{}
	}

	var answer struct {
		Run   int `json:"run"`
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}

	assert.NilError(tb, json.Unmarshal(text, &answer), "%s", text)

	return booking{
		status:   response.StatusCode,
		code:     answer.Error.Code,
		ran:      answer.Error.Ran,
		replayed: response.Header.Get("Quincepath-Replayed") == "true",
		run:      answer.Run,
	}
}

// bookSettled books and, as callers are told, comes back while the earlier run is in progress.
func bookSettled(tb testing.TB, address, key, body string) booking {
	tb.Helper()

	var answer booking

	waitFor(tb, "the end of "+key, func() bool {
		answer = book(tb, address, key, body)

		return answer.code != "key_in_progress"
	})

	return answer
}

// bookingClient never sends again by itself: these tests count what was sent.
var bookingClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callLimit}

// booked counts how often the service ran a key.
func booked(tb testing.TB, f *fleet, key string) int {
	tb.Helper()

	count := 0

	for _, run := range serviceRuns(tb, f.service) {
		if run.IdempotencyKey == key {
			count++
		}
	}

	return count
}

// Symptom: a client got two confirmations for one bath and came in twice.
// Events: the assistant sends one booking to two nodes at once, then once more to each.
// Cause: each node knows only its own requests; the claim in the platform's store has to decide between them.
func TestOneBookingThroughTwoNodesRunsOnce(t *testing.T) {
	f := newFleet(t, 2)

	var group sync.WaitGroup

	for i := range 20 {
		for _, node := range f.nodes {
			group.Go(func() { book(t, node.address, fmt.Sprintf("bath-%d", i), `{"bath":1}`) })
		}
	}

	group.Wait()

	for i := range 20 {
		key := fmt.Sprintf("bath-%d", i)

		for _, node := range f.nodes {
			again := bookSettled(t, node.address, key, `{"bath":1}`)
			assert.Equal(t, again.status, http.StatusOK, "%+v", again)
			assert.Assert(t, again.replayed)
		}

		assert.Equal(t, booked(t, f, key), 1)
	}

	other := book(t, f.nodes[1].address, "bath-0", `{"bath":2}`)
	assert.Equal(t, other.code, "key_conflict")
	assert.Equal(t, other.ran, "not_run")
}

// Symptom: a renewal draft was sent to an operator twice.
// Events: the node that runs the request is killed after the service ran it; the caller asks another node with the same key.
// Cause: nobody recorded the result, so only the claim shows that the request may have run; it must not run again.
func TestKilledNodeLeavesOutcomeUnknown(t *testing.T) {
	f := newFleet(t, 2)
	switchOn(t, f.service, map[string]any{"silent": true})

	first := make(chan booking, 1)

	go func() { first <- book(t, f.nodes[0].address, "draft", `{"draft":1}`) }()

	waitFor(t, "the run of the draft", func() bool { return booked(t, f, "draft") == 1 })
	f.nodes[0].kill()
	assert.Equal(t, (<-first).status, 0)
	switchOn(t, f.service, map[string]any{"silent": false})

	second := bookSettled(t, f.nodes[1].address, "draft", `{"draft":1}`)
	assert.Equal(t, second.code, "outcome_unknown", "%+v", second)
	assert.Equal(t, second.ran, "unknown")
	assert.Equal(t, booked(t, f, "draft"), 1)
}

// Symptom: a booking is refused as "not run" while the book holds it, or hangs while the platform is away.
// Events: the platform's store has an outage; a booking and a lookup come; the store returns.
// Cause: without a claim a booking must not be sent, and what needs no claim must not wait for the store.
func TestPlatformOutageRefusesBookingsOnly(t *testing.T) {
	f := newFleet(t, 2)
	switchOn(t, f.platform, map[string]any{"outage": true})

	refused := book(t, f.nodes[0].address, "bath", `{"bath":1}`)
	assert.Equal(t, refused.code, "claim_unavailable", "%+v", refused)
	assert.Equal(t, refused.ran, "not_run")
	assert.Equal(t, booked(t, f, "bath"), 0)

	call(t, http.MethodPost, "http://"+f.nodes[0].address+"/services/banco/price", map[string]int{}, nil)
	switchOn(t, f.platform, map[string]any{"outage": false})

	waitFor(t, "the booking after the outage", func() bool {
		return book(t, f.nodes[0].address, "bath", `{"bath":1}`).status == http.StatusOK
	})
	assert.Equal(t, booked(t, f, "bath"), 1)
}

// Symptom: a client got two confirmations although each node wrote its claim first.
// Events: writes to the platform take effect and their replies are lost.
// Cause: a writer that takes the lost reply for a failure claims again, or gives up a claim that stands.
func TestLostRepliesOfThePlatformRunOnce(t *testing.T) {
	f := newFleet(t, 2)
	switchOn(t, f.platform, map[string]any{"lose_replies": 6})

	for i := range 12 {
		key := fmt.Sprintf("bath-%d", i)
		answers := []booking{
			book(t, f.nodes[i%2].address, key, `{"bath":1}`),
			book(t, f.nodes[(i+1)%2].address, key, `{"bath":1}`),
		}
		runs := booked(t, f, key)

		assert.Assert(t, runs <= 1, "%d runs, answers %+v", runs, answers)

		for _, answer := range answers {
			if answer.status == http.StatusOK {
				assert.Equal(t, runs, 1, "%+v", answers)
			}
		}

		if answers[0].ran == "not_run" && answers[1].ran == "not_run" {
			assert.Equal(t, runs, 0, "%+v", answers)
		}

		time.Sleep(10 * time.Millisecond)
	}
}

// Symptom: a caller that asks twice, as it may, is told that its booking's outcome is unknown, although the first answer comes a moment later.
// Events: one node runs a booking; another node has just started; the caller asks that one for the same key.
// Cause: a node that has not yet heard of any other takes the maker of the claim for dead.
func TestFreshNodeWaitsForRunningBooking(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)
	switchOn(t, f.service, map[string]any{"delay": 100})
	f.nodes[1].kill()

	first := make(chan booking, 1)

	go func() { first <- book(t, f.nodes[0].address, "bath", `{"bath":1}`) }()

	f.nodes[1] = f.startNode(t, 1)

	var second booking

	waitFor(t, "the answer through the fresh node", func() bool {
		second = book(t, f.nodes[1].address, "bath", `{"bath":1}`)

		return second.code != "key_in_progress"
	})

	assert.Equal(t, second.status, http.StatusOK, "%+v", second)
	assert.Equal(t, (<-first).status, http.StatusOK)
	assert.Equal(t, booked(t, f, "bath"), 1)
}
