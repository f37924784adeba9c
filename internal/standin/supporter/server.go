package supporter

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// MaxBody is the longest request body in bytes.
const MaxBody = 4 << 20

const (
	shutdownTime  = 5 * time.Second
	headerTimeout = 10 * time.Second
)

// Serve listens until the context ends, then lets open requests end for up to 5 s.
// It calls ready (when not nil) with the address in use. It returns nil after the context's end.
func Serve(ctx context.Context, listen string, h http.Handler, ready func(addr string), log zerolog.Logger) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", listen)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	addr := l.Addr().String()
	log.Info().Str("event", "standin_listening").Str("address", addr).Send()
	if ready != nil {
		ready(addr)
	}
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return stop(ctx, s, log)
}

func stop(ctx context.Context, s *http.Server, log zerolog.Logger) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
	defer cancel()
	err := s.Shutdown(limited)
	log.Info().Str("event", "standin_stopped").Bool("all_ended", err == nil).Send()
	if err == nil {
		return nil
	}
	return errors.Wrap(s.Close(), "close open connections")
}

// WriteJSON answers with a status and a JSON body. A lost connection is the reader's to notice.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes a body of at most MaxBody bytes, or answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(v)
	if err == nil {
		return true
	}
	WriteError(w, http.StatusBadRequest, err.Error())
	return false
}

type errorBody struct {
	Error string `json:"error"`
}

// WriteError answers with a status and a JSON body whose key error has the text.
func WriteError(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, errorBody{Error: text})
}
