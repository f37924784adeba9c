package relayer

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"

	"quincepath.example/quincepath/pkg/classifier"
)

// Counters count events by name, in snake case, as expvar shows them. It is safe for concurrent use.
type Counters struct {
	events expvar.Map
}

// Add counts one event.
func (c *Counters) Add(name string) {
	c.events.Add(name, 1)
}

// String returns all counts as JSON, as expvar wants it.
func (c *Counters) String() string {
	return c.events.String()
}

// refusal is the body of a refusal or failure.
type refusal struct {
	Code      string         `json:"code"`
	Result    int            `json:"result_code"`
	Ran       classifier.Ran `json:"ran"`
	Message   string         `json:"message"`
	RequestID string         `json:"request_id,omitempty"`
}

// refuse counts, logs and gives a final answer of this node. The request is nil when it was not accepted.
func (r *Relayer) refuse(w http.ResponseWriter, id string, request *request, failure *classifier.Error) {
	r.options.Counters.Add("refused_" + failure.Code.String())

	event := r.options.Logger.Info().
		Str("request_id", id).
		Int("result_code", int(failure.Code)).
		Str("result", failure.Code.String()).
		Str("reason", failure.Reason)

	if table := r.options.Table(); table != nil {
		event = event.Int64("version", table.Version)
	}

	if age, known := r.options.Catalog.Age(); known {
		event = event.Dur("configuration_age_ms", age)
	}

	if request != nil {
		event = event.Str("route", request.route.Name).Int("sends", request.sends).Int("runs", request.runs)
	}

	event.Msg("request_refused")

	writeRefusal(w, r.options.Headers.RequestID, id, failure)
}

func writeRefusal(w http.ResponseWriter, idHeader, id string, failure *classifier.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")

	if id != "" {
		header.Set(idHeader, id)
	}

	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}

	w.WriteHeader(classifier.Describe(failure.Code).Status)
	// A failed write means that the caller left; its connection ends with the handler.
	_ = json.NewEncoder(w).Encode(refusal{
		Code:      failure.Code.String(),
		Result:    int(failure.Code),
		Ran:       failure.Ran,
		Message:   failure.Reason,
		RequestID: id,
	})
}
