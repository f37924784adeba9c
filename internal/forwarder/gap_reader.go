package forwarder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// GapLimits bound how long an exchange may receive no bytes.
type GapLimits struct {
	// First bounds the time to the first byte, Next the time between two reads.
	First time.Duration
	Next  time.Duration
	// Extend is called when a limit expires; true extends it by Next. Nil never extends.
	Extend func() bool
	// Paused returns for how long the process has stood still since its start. That time doesn't count, since what came meanwhile
	// has not been read. Nil means that it never did.
	Paused func() time.Duration
}

// GapReader cancels an exchange when its body delivers no bytes for too long.
//
// A connection can go silent permanently while new ones work; without a limit the
// caller would wait until its own deadline. The limit turns the silence into an
// error, after which the request can be resumed on a new connection.
type GapReader struct {
	body   io.Reader
	limits GapLimits
	cancel context.CancelFunc
	// onRead is called after each read that returned bytes; it may be nil.
	onRead func()
	silent atomic.Bool

	// mu guards timer, which its own callback resets, and paused.
	mu    sync.Mutex
	timer *time.Timer
	// paused is for how long the process had stood still when that was last looked at: first at the start, then only when a limit
	// expires. A pause before the last read thus extends the next limit once.
	paused time.Duration
}

// NewGapReader returns a reader whose first limit starts now. cancel ends the
// exchange; onRead, if not nil, is called after each read that returned bytes.
func NewGapReader(limits GapLimits, onRead func(), cancel context.CancelFunc) *GapReader {
	if limits.Paused == nil {
		limits.Paused = func() time.Duration { return 0 }
	}

	g := &GapReader{paused: limits.Paused(), limits: limits, onRead: onRead, cancel: cancel}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.timer = time.AfterFunc(limits.First, g.expire)

	return g
}

func (g *GapReader) expire() {
	if g.extendByPause() {
		return
	}

	if g.limits.Extend != nil && g.limits.Extend() {
		g.restart()

		return
	}

	g.silent.Store(true)
	g.cancel()
}

// extendByPause extends the limit by the time that the process stood still since the last look, if it did.
func (g *GapReader) extendByPause() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	paused := g.limits.Paused()
	pause := paused - g.paused
	g.paused = paused

	if pause > 0 {
		g.timer.Reset(pause)
	}

	return pause > 0
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

// Stop stops the timer. It must be called when the exchange has ended.
func (g *GapReader) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.timer.Stop()
}

// Silent reports whether a limit expired and the exchange was cancelled.
func (g *GapReader) Silent() bool {
	return g.silent.Load()
}
