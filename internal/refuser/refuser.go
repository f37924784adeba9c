// Package refuser builds the JSON body of refusals and failures. Callers and operators get the same format, so that a
// client reads both with the same code.
package refuser

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// errorType is the error type of all failures that the router itself reports. The OpenAI API names the source of an error
// in this field.
const errorType = "quincepath_error"

// ErrorResponse is the body of every refusal and failure, in the error format of the OpenAI API.
type ErrorResponse struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject describes a failed request to the client.
type ErrorObject struct {
	// Message is a description for humans; programs should not parse it.
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is the name of the result code, and ResultCode its number.
	Code       string `json:"code"`
	ResultCode int    `json:"result_code"`
	// Ran says whether an upstream executed the request.
	Ran classifier.Ran `json:"ran"`
	// RetryAfterSeconds is how long to wait before a retry. It is omitted if a retry is of no use.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	// RequestID is omitted if the request was not assigned one.
	RequestID string `json:"request_id,omitempty"`
}

// New returns the response body for a failure. requestID may be empty.
func New(requestID string, failure *classifier.Error) ErrorResponse {
	return ErrorResponse{Error: ErrorObject{
		Message:           failure.Reason,
		Type:              errorType,
		Code:              failure.Code.String(),
		ResultCode:        int(failure.Code),
		Ran:               failure.Ran,
		RetryAfterSeconds: failure.RetryAfter.Seconds(),
		RequestID:         requestID,
	}}
}

// CeilSeconds rounds up to whole seconds, since the Retry-After header takes no fractions.
func CeilSeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}
