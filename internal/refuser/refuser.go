// Package refuser gives refusals and failures their one form in JSON, for
// callers and for operators, so that a client reads both with the same code.
package refuser

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// failureType is the type of all failures that are the router's own, as the
// OpenAI API names the source of an error.
const failureType = "quincepath_error"

// ErrorResponse is the body of every refusal and failure; its outer shape is that of the OpenAI API.
type ErrorResponse struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject is what a client learns of a request that failed.
type ErrorObject struct {
	// Message says in words what went wrong; it isn't meant for programs.
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the name of the result, and ResultCode its number.
	Code       string `json:"code"`
	ResultCode int    `json:"result_code"`
	// Ran says whether the request had an effect.
	Ran classifier.Ran `json:"ran"`
	// RetryAfterSeconds is when to come back; it is left out where coming back is of no use.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	// RequestID is left out where the request got none.
	RequestID string `json:"request_id,omitempty"`
}

// New returns the body for a failure; requestID may be empty.
func New(requestID string, failure *classifier.Error) ErrorResponse {
	return ErrorResponse{Error: ErrorObject{
		Message:           failure.Reason,
		Type:              failureType,
		Code:              failure.Code.String(),
		ResultCode:        int(failure.Code),
		Ran:               failure.Ran,
		RetryAfterSeconds: failure.RetryAfter.Seconds(),
		RequestID:         requestID,
	}}
}

// CeilSeconds rounds up, as the Retry-After header has no fractions.
func CeilSeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}
