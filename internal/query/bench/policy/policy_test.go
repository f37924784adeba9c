package policy

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/pkg/classifier"
)

func TestRun(t *testing.T) {
	cases := map[string]struct {
		options Options
		code    classifier.Code
	}{
		"one_run":      {Options{Shop: "barbagallo", Scenario: "straggler", Policy: "power_of_two", Seed: 1}, classifier.OK},
		"missed":       {Options{Shop: "barbagallo", Scenario: "straggler", Policy: "power_of_two", Seed: 1, Check: true}, classifier.ExpectationMissed},
		"unknown_name": {Options{Shop: "barbagallo", Scenario: "strangler", Policy: all}, classifier.InvalidUsage},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer

			c.options.Factory = &factory.Factory{Streams: factory.Streams{Out: &out}}
			err := Run(context.Background(), c.options)

			if c.code == classifier.OK {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, classifier.From(err).Code, c.code)
			}

			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

// Symptom: a policy looks right or wrong about its refusals only by chance.
// Events: a refused request is played again without giving up.
// Cause: the replay has to leave everything but this one request as it was.
func TestRefusals(t *testing.T) {
	var out bytes.Buffer

	options := Options{Shop: "le_goff", Scenario: "class_burst", Policy: "queue", Seed: 1, Refusals: 2}
	options.Factory = &factory.Factory{Streams: factory.Streams{Out: &out}}

	assert.NilError(t, Run(context.Background(), options))
	golden.Assert(t, out.String(), "refusals.golden")
}
