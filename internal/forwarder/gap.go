package forwarder

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// GapReader cancels an exchange when its body is silent for too long.
//
// A connection can go silent for good while new ones work; without a limit the
// caller would wait until its own deadline. The limit turns the silence into
// an error that can be resumed on a new connection.
type GapReader struct {
	body   io.Reader
	limit  time.Duration
	timer  *time.Timer
	silent atomic.Bool
}

// NewGapReader starts watching; the first limit runs from now on. cancel ends the exchange.
func NewGapReader(firstLimit, limit time.Duration, cancel context.CancelFunc) *GapReader {
	g := &GapReader{limit: limit}
	g.timer = time.AfterFunc(firstLimit, func() {
		g.silent.Store(true)
		cancel()
	})

	return g
}

// Attach sets the body to read from and starts a new limit.
func (g *GapReader) Attach(body io.Reader) {
	g.body = body
}

// Read implements io.Reader.
func (g *GapReader) Read(p []byte) (int, error) {
	n, err := g.body.Read(p)
	if n > 0 {
		g.timer.Reset(g.limit)
	}

	return n, err
}

// Stop ends the watch. It must be called once the exchange is over.
func (g *GapReader) Stop() {
	g.timer.Stop()
}

// Silent says whether the limit ran out.
func (g *GapReader) Silent() bool {
	return g.silent.Load()
}
