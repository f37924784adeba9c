package granter

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// HandleAsk answers MethodAsk.
func (h *Holder) HandleAsk(_ context.Context, from string, params json.RawMessage) (any, error) {
	var asked askParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, errors.Wrap(err, "decode asks")
	}

	return h.take(from, asked), nil
}

// HandleRelease takes MethodRelease.
func (h *Holder) HandleRelease(_ context.Context, from string, params json.RawMessage) (any, error) {
	var released askParams
	if err := json.Unmarshal(params, &released); err != nil {
		return nil, errors.Wrap(err, "decode releases")
	}

	return h.take(from, released), nil
}

// HandleDecided takes MethodDecided.
func (r *Router) HandleDecided(_ context.Context, from string, params json.RawMessage) (any, error) {
	var decided decidedParams
	if err := json.Unmarshal(params, &decided); err != nil {
		return nil, errors.Wrap(err, "decode decisions")
	}

	for _, d := range decided.Decisions {
		r.decided(from, d)
	}

	return struct{}{}, nil
}

// HandleInFlight answers MethodInFlight.
func (r *Router) HandleInFlight(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var asked inFlightParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, errors.Wrap(err, "decode pool")
	}

	return r.compare(asked.Pool, asked.digest), nil
}
