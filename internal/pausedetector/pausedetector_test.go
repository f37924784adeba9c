package pausedetector_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/pausedetector"
)

// clock is the clock of a detector that can be ahead of the virtual time, as after a pause.
type clock struct {
	start  time.Time
	paused time.Duration
}

func (c *clock) now() time.Duration { return time.Second + time.Since(c.start) + c.paused }

// Guards against deadlines that count the time in which the process stood still, because nobody knows of it: also in the moment
// after a pause, when the detector has not run yet.
func TestPauseIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		var log bytes.Buffer

		c := &clock{start: time.Now()}
		d := pausedetector.New(c.now, zerolog.New(&log))

		go d.Run(ctx)

		time.Sleep(10*time.Second + 20*time.Millisecond)
		assert.Equal(t, d.Paused(), time.Duration(0))

		c.paused += 600 * time.Millisecond
		paused := d.Paused()
		assert.Assert(t, paused > 500*time.Millisecond && paused <= 600*time.Millisecond, "%s", paused)

		time.Sleep(10 * time.Second)
		assert.Equal(t, d.Paused(), paused)
		assert.Equal(t, d.Counters().Pauses, int64(1))
		assert.Equal(t, strings.Count(log.String(), "process_paused"), 1)
	})
}

// Guards against a busy machine that counts as one that stands still: a tick that is a little late is no pause.
func TestLateTickIsNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		c := &clock{start: time.Now()}
		d := pausedetector.New(c.now, zerolog.Nop())

		go d.Run(ctx)

		for range 100 {
			time.Sleep(time.Second)

			c.paused += 60 * time.Millisecond
		}

		assert.Equal(t, d.Paused(), time.Duration(0))
	})
}
