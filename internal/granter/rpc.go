package granter

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// HandleAsk handles MethodAsk.
func (h *Holder) HandleAsk(_ context.Context, from string, params json.RawMessage) (any, error) {
	var message entryParams
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, errors.Wrap(err, "decode slot requests")
	}

	return h.handleMessage(from, message), nil
}

// HandleRelease handles MethodRelease.
func (h *Holder) HandleRelease(_ context.Context, from string, params json.RawMessage) (any, error) {
	var message entryParams
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, errors.Wrap(err, "decode slot releases")
	}

	return h.handleMessage(from, message), nil
}

// HandleDecided handles MethodDecided.
func (r *Router) HandleDecided(_ context.Context, from string, params json.RawMessage) (any, error) {
	var message decidedParams
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, errors.Wrap(err, "decode slot decisions")
	}

	for _, d := range message.Decisions {
		r.handleDecision(from, d)
	}

	return struct{}{}, nil
}

// HandleInFlight handles MethodInFlight.
func (r *Router) HandleInFlight(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var comparison inFlightParams
	if err := json.Unmarshal(params, &comparison); err != nil {
		return nil, errors.Wrap(err, "decode in-flight query")
	}

	return r.compareAttempts(comparison.Pool, comparison.digest), nil
}
