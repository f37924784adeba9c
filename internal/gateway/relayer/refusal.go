package relayer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// refusalBody is the JSON body of an error response that the node writes itself.
type refusalBody struct {
	Code      string         `json:"code"`
	Result    int            `json:"result_code"`
	Ran       classifier.Ran `json:"ran"`
	Message   string         `json:"message"`
	RequestID string         `json:"request_id,omitempty"`
}

// fail ends an accepted request with an error response.
func (r *Relayer) fail(out *callerResponse, failure *classifier.Error) {
	out.stats.code = failure.Code
	r.refuse(out.writer, out.request.id, out.request.decided, out.request, failure)
}

// refuse counts, logs and writes an error response of this node. The request is nil if it was not accepted; decided is the basis of the
// decision.
func (r *Relayer) refuse(w http.ResponseWriter, id string, decided basis, request *request, failure *classifier.Error) {
	name := ""
	if request != nil {
		name = request.route.Name
	}

	r.options.Meter.Refused(name, failure.Code)

	event := r.options.Logger.Info().
		Str("request_id", id).
		Int("result_code", int(failure.Code)).
		Str("result", failure.Code.String()).
		Str("reason", failure.Reason)

	event = decided.addTo(event)

	if request != nil {
		counts := request.progress.read()
		event = event.Stringer("request_key", request.traits.Content).Str("prompt_part", request.verdict.Part).Str("route", request.route.Name).Str("service", request.service).Int("rank", request.engineRank).
			Int("sends", counts.sends).Int("runs", counts.runs).Int("silences", counts.silences).Strs("excluded", request.excluded).
			Dur("age_ms", time.Since(request.arrived)).Dur("queue_ms", request.queueDrainTime).
			Dur("return_ms", request.returnAfter)
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
	// A failed write means that the caller disconnected; the connection closes when the handler returns.
	_ = json.NewEncoder(w).Encode(refusalBody{
		Code:      failure.Code.String(),
		Result:    int(failure.Code),
		Ran:       failure.Ran,
		Message:   failure.Reason,
		RequestID: id,
	})
}
