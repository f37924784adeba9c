package forwarder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// GapLimits say how long an exchange may be silent.
type GapLimits struct {
	// First bounds the time to the first byte, Next that between two reads.
	First time.Duration
	Next  time.Duration
	// Extend is asked when a limit runs out; true grants Next once more. Nil never extends.
	Extend func() bool
}

// GapReader cancels an exchange when its body is silent for too long.
//
// A connection can go silent for good while new ones work; without a limit the
// caller would wait until its own deadline. The limit turns the silence into
// an error that can be resumed on a new connection.
type GapReader struct {
	body   io.Reader
	limits GapLimits
	cancel context.CancelFunc
	// onRead is called after each read that brought bytes; it may be nil.
	onRead func()
	silent atomic.Bool

	// mu guards timer, which its own function resets.
	mu    sync.Mutex
	timer *time.Timer
}

// NewGapReader starts watching; the first limit runs from now on. cancel ends
// the exchange, and onRead, if not nil, is called whenever bytes came.
func NewGapReader(limits GapLimits, onRead func(), cancel context.CancelFunc) *GapReader {
	g := &GapReader{limits: limits, onRead: onRead, cancel: cancel}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.timer = time.AfterFunc(limits.First, g.expire)

	return g
}

func (g *GapReader) expire() {
	if g.limits.Extend != nil && g.limits.Extend() {
		g.restart()

		return
	}

	g.silent.Store(true)
	g.cancel()
}

func (g *GapReader) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.timer.Reset(g.limits.Next)
}

// SetBody sets the body to read from.
func (g *GapReader) SetBody(body io.Reader) {
	g.body = body
}

// Read implements io.Reader.
func (g *GapReader) Read(p []byte) (int, error) {
	n, err := g.body.Read(p)
	if n > 0 {
		g.restart()

		if g.onRead != nil {
			g.onRead()
		}
	}

	return n, err
}

// Stop ends the watch. It must be called once the exchange is over.
func (g *GapReader) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.timer.Stop()
}

// Silent says whether the limit ran out.
func (g *GapReader) Silent() bool {
	return g.silent.Load()
}
