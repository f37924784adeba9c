package server

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: a long answer that a caller came back for breaks off thirty seconds after its first connection broke.
// Events: the connection breaks; the caller resumes a second later and follows the answer; the window ends.
// Cause: the end of the window cancelled the run without a look at who follows it.
func TestFollowedRunOutlivesItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := false
		run := &requestRun{cancel: func() { cancelled = true }}

		run.followers.Add(1)
		run.cancelUnfollowed(time.Minute)
		time.Sleep(3*time.Minute + time.Second)
		synctest.Wait()
		assert.Assert(t, !cancelled)

		run.followers.Add(-1)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, cancelled)
	})
}
