package sleeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()

		assert.Assert(t, Sleep(ctx, 2*time.Second))
		assert.Equal(t, time.Since(start), 2*time.Second)
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(start), 3*time.Second)
	})
}
