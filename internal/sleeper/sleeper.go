// Package sleeper waits for a time or for the end of a context.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the length and returns true, or returns false as soon as ctx has ended.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
