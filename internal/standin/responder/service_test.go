package responder

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func call(t *testing.T, s *Service, method, path, body string, headers ...string) (r *httptest.ResponseRecorder, aborted bool) {
	t.Helper()
	q := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	r = httptest.NewRecorder()
	defer func() {
		err, _ := recover().(error)
		aborted = errors.Is(err, http.ErrAbortHandler)
	}()
	s.Handler().ServeHTTP(r, q)
	return r, false
}

// Symptom: work is done twice although the caller saw only one answer.
// Events: the run is recorded, then the connection breaks before the answer.
// Cause: callers that run a request again without its idempotency key; the list of runs shows it.
func TestFailAfterRunRecordsRun(t *testing.T) {
	s := New(Options{Name: "billing", Slots: 1})
	call(t, s, "POST", "/standin/switches", `{"fail_after_run":true}`)
	_, aborted := call(t, s, "POST", "/pay", "x", "Idempotency-Key", "k1", "X-Request-Id", "r1")
	assert.Assert(t, aborted)
	call(t, s, "POST", "/standin/switches", `{"fail_after_run":false}`)
	r, _ := call(t, s, "POST", "/pay", "x", "Idempotency-Key", "k1", "X-Request-Id", "r1")
	var a answer
	assert.NilError(t, json.NewDecoder(r.Body).Decode(&a))
	assert.Equal(t, a.Run, 2)
	assert.Equal(t, a.IdempotencyKey, "k1")
	list := s.runs.List()
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].IdempotencyKey, "k1")
	assert.Equal(t, list[0].Run, 1)
	call(t, s, "POST", "/standin/switches", `{"refuse":true}`)
	r, _ = call(t, s, "GET", "/pay", "")
	assert.Equal(t, r.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.runs.List()), 2)
}

func TestSlotsGoByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1, Work: time.Second})
		for _, p := range []string{"3", "5", "2", "1"} {
			go call(t, s, "GET", "/"+p, "", "X-Priority", p)
			synctest.Wait()
		}
		time.Sleep(10 * time.Second)
		order := ""
		for _, v := range s.runs.List() {
			order += v.Path
		}
		assert.Equal(t, order, "/3/1/2/5")
	})
}

func TestSilentHoldsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1, Work: time.Second})
		call(t, s, "POST", "/standin/switches", `{"silent":true,"delay":3}`)
		done := false
		go func() {
			call(t, s, "GET", "/", "")
			done = true
		}()
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Assert(t, !done)
		assert.Equal(t, len(s.runs.List()), 1)
		call(t, s, "POST", "/standin/switches", `{"silent":false}`)
		synctest.Wait()
		assert.Assert(t, done)
	})
}

func TestRunServesUntilContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan string, 1), make(chan error, 1)
	o := Options{Listen: "127.0.0.1:0", Slots: 1, Ready: func(a string) { ready <- a }}
	go func() { ended <- Run(ctx, o, zerolog.New(io.Discard)) }()
	r, err := http.Get("http://" + <-ready + "/load")
	assert.NilError(t, err)
	r.Body.Close()
	assert.Equal(t, r.StatusCode, http.StatusOK)
	cancel()
	assert.NilError(t, <-ended)
}
