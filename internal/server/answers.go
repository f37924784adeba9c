package server

import (
	"encoding/json"
	"net/http"
	"strconv"

	"quincepath.example/quincepath/internal/refuser"
	"quincepath.example/quincepath/pkg/classifier"
)

// refuse counts, logs and answers a request that doesn't run. Nothing may have been written before.
func (n *Node) refuse(w http.ResponseWriter, requestID string, failure *classifier.Error) {
	n.noteRefusal(requestID, failure)
	writeError(w, requestID, failure)
}

// noteRefusal counts and logs a request that doesn't run.
func (n *Node) noteRefusal(requestID string, failure *classifier.Error) {
	n.meter.Refused("", failure.Code)
	n.logger.Info().
		Str("request_id", requestID).
		Int("result_code", int(failure.Code)).
		Str("result", failure.Code.String()).
		Str("reason", failure.Reason).
		Msg("request_refused")
}

// writeError answers with a numbered result. Nothing may have been written before.
func writeError(w http.ResponseWriter, requestID string, failure *classifier.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerResult, failure.Code.String())
	header.Set(headerRan, string(failure.Ran))

	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}

	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(refuser.CeilSeconds(failure.RetryAfter)))
	}

	w.WriteHeader(classifier.Describe(failure.Code).Status)
	// A failed write means that the caller left; its connection ends with the handler.
	_ = json.NewEncoder(w).Encode(refuser.New(requestID, failure))
}

// writeJSON answers with status 200. The headers of the answer must be set before.
func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller left; its connection ends with the handler.
	_ = json.NewEncoder(w).Encode(answer)
}
