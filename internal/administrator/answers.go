package administrator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/refuser"
	"quincepath.example/quincepath/pkg/classifier"
)

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	s.writeStatus(w, r, classifier.Describe(classifier.From(err).Code).Status, err)
}

func (s *Server) writeStatus(w http.ResponseWriter, r *http.Request, status int, err error) {
	failure := classifier.From(err)

	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refuser.CeilSeconds(failure.RetryAfter)))
	}

	s.options.Logger.Warn().
		Str("method", r.Method).
		Str("path", r.URL.Path).
		Int("result_code", int(failure.Code)).
		Str("result", failure.Code.String()).
		AnErr("cause", failure.Unwrap()).
		Msg("operator_call_failed")

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator left; the connection ends with the handler.
	_ = json.NewEncoder(w).Encode(refuser.New("", failure))
}

// answer writes what a call returned: its value, or the error in its place.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, value any, err error) {
	if err != nil {
		s.writeError(w, r, err)
		return
	}

	writeJSON(w, value)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator left; the connection ends with the handler.
	_ = json.NewEncoder(w).Encode(answer)
}

// listed returns an empty list for none, as scripts can't go through a null.
func listed[T any](items []T) []T {
	if items == nil {
		return []T{}
	}

	return items
}

// readJSON reads one JSON value and refuses unknown fields: a misspelt
// base_revision would otherwise overwrite a newer branch.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()

	err := decoder.Decode(into)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}

		if err == nil {
			err = errors.New("more follows the JSON value")
		}
	}

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return classifier.New(classifier.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}

	return classifier.New(classifier.InvalidRequest, "the body is not the JSON that this call takes: %v", err)
}
