package demo

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/server"
	"quincepath.example/quincepath/internal/tracer"
)

// Symptom: a class of the demo gets only refusals, or another caller's answer.
// Events: the demo's tree lacks a class, organisation or key of its trace, or a node mixes answers up.
// Cause: the trace's names and the demo's settings are written in two places.
func TestOneRequestOfEachClassEndsWhole(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	c := newCluster(server.Run, zerolog.Nop())

	defer c.running.Wait()
	defer stop()

	events := oneOfEachClass(tracer.Mix(1))
	assert.Equal(t, len(events), 10)
	assert.NilError(t, c.start(ctx, 2, events))

	keys := map[string]string{}
	for _, v := range events {
		keys[v.Organisation] = keyOf(v.Organisation)
	}

	result, err := replayer.New(replayer.Options{Entries: c.entries, Keys: keys, StandIns: true}).Play(ctx, events)
	assert.NilError(t, err)
	assert.Equal(t, len(result.Entries), 2)

	tokens := 0

	for _, v := range result.Outcomes {
		assert.Equal(t, v.Ending, replayer.Whole, "%s: %s", v.Event.Class, v.Reason)
		assert.Equal(t, v.Tokens, v.Event.AnswerTokens)
		tokens += v.Tokens
	}

	audit, err := replayer.AuditStandIns(ctx, http.DefaultClient, c.standIns, result)
	assert.NilError(t, err)
	assert.Equal(t, audit.Unassigned, 0)
	assert.Equal(t, len(audit.Doubles)+len(audit.NotRunButRan), 0)

	for _, v := range audit.Produced {
		tokens -= v
	}

	assert.Equal(t, tokens, 0)
}

// oneOfEachClass returns the first event of each class, all due at once.
func oneOfEachClass(events []tracer.Event) []tracer.Event {
	var kept []tracer.Event

	for _, v := range events {
		if slices.ContainsFunc(kept, func(k tracer.Event) bool { return k.Service == v.Service && k.Class == v.Class }) {
			continue
		}

		v.AtMS = 0
		kept = append(kept, v)
	}

	return kept
}
