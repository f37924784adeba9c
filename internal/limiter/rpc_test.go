package limiter

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// fakeCaller passes calls to owners as JSON and counts the bytes.
type fakeCaller struct {
	owners map[string]*Owner
	bytes  int
}

var errNoAnswer = errors.New("no answer")

func (c *fakeCaller) Call(ctx context.Context, peer, method string, params, result any) error {
	if c.owners[peer] == nil {
		<-ctx.Done()

		return errNoAnswer
	}

	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}

	answer, err := c.owners[peer].HandleReport(ctx, "c", sent)
	if err != nil {
		return err
	}

	received, err := json.Marshal(answer)
	if err != nil {
		return err
	}

	c.bytes += len(method) + len(sent) + len(received)

	return json.Unmarshal(received, result)
}

func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := fixedLimits{Requests: 40, Concurrency: 20, Tokens: 500}
		names := []string{"b", "c"}
		l := New(Options{}, limits, "c", 1)
		local := NewOwner(time.Now(), Options{}, limits, "c")
		remote := NewOwner(time.Now(), Options{}, limits, "b")

		l.SetNodes(time.Now(), names, 2)
		local.SetNodes(time.Now(), names, 2)
		remote.SetNodes(time.Now(), names, 2)

		for range l.options.leaseDrainTime() / time.Second {
			time.Sleep(time.Second)
			local.Sweep(time.Now())
			remote.Sweep(time.Now())
		}

		calls := &fakeCaller{owners: map[string]*Owner{"b": remote}}

		for range 20 {
			time.Sleep(250 * time.Millisecond)

			for range 10 {
				l.Admit(time.Now(), testKey.Service, testKey.Organisation, "chat")
			}

			assert.NilError(t, l.Exchange(t.Context(), calls, local))
		}

		t.Logf("%d bytes in 5 s for one limit in use", calls.bytes)
		assert.Assert(t, l.Allowed(time.Now(), testKey).Requests > 30)

		_, err := remote.HandleReport(t.Context(), "c", json.RawMessage("{"))
		assert.ErrorContains(t, err, "can't be read")

		assert.Equal(t, l.states[testKey].owner, "b")

		calls.owners = nil
		started := time.Now()

		time.Sleep(time.Second)

		_, err = l.HandleReportRequest(t.Context(), "b", json.RawMessage(`{"keys":[{"service":"assistente","organisation":"catania"}]}`))
		assert.NilError(t, err)
		assert.ErrorContains(t, l.Exchange(t.Context(), calls, local), "no answer")
		assert.Assert(t, time.Since(started) <= 1250*time.Millisecond)
	})
}
