package relayer

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// slowCaller takes one event every interval.
type slowCaller struct {
	interval time.Duration
	fails    bool
	taken    bytes.Buffer
}

func (c *slowCaller) Write(p []byte) (int, error) {
	time.Sleep(c.interval)

	if c.fails {
		return 0, errors.New("the caller has left")
	}

	return c.taken.Write(p)
}

func (c *slowCaller) flush() error { return nil }

// Guards against callers who read slowly and make the upstream wait, which breaks their answers off, and against a node
// that runs out of memory because hundreds of them do: the load is 400 slow readers of chats at a VM of 112 MB.
func TestSlowReadersHoldNeitherUpstreamsNorMemory(t *testing.T) {
	const (
		readers = 400
		events  = 100
		// limit is the memory for bodies of a VM of 112 MB.
		limit = 112 << 20 * 15 / 100
	)

	synctest.Test(t, func(t *testing.T) {
		var (
			used  atomic.Int64
			group sync.WaitGroup
		)

		start := time.Now()
		callers := make([]*slowCaller, readers)

		for i := range callers {
			callers[i] = &slowCaller{interval: 100 * time.Millisecond}
			queue := newEventQueue(callers[i], callers[i].flush, memoryReservation{used: &used, limit: limit})

			group.Go(func() {
				for event := range events {
					assert.Check(t, queue.push([]byte(fmt.Sprintf("id: %d\ndata: %0400d\n\n", event, i))) == nil)
				}

				assert.Check(t, time.Since(start) == 0, "the upstream waited %v", time.Since(start))
				assert.Check(t, used.Load() <= limit)
				queue.close()
			})
		}

		group.Wait()
		assert.Equal(t, used.Load(), int64(0))

		for i, caller := range callers {
			var want bytes.Buffer
			for event := range events {
				fmt.Fprintf(&want, "id: %d\ndata: %0400d\n\n", event, i)
			}

			assert.Assert(t, bytes.Equal(caller.taken.Bytes(), want.Bytes()), "caller %d got another stream", i)
		}
	})
}

// Guards against a node whose memory is full of events: streams wait for their callers then, and each goes on.
func TestStreamsWaitForTheirCallersWhenMemoryIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			used  atomic.Int64
			group sync.WaitGroup
		)

		for range 50 {
			caller := &slowCaller{interval: 10 * time.Millisecond}
			queue := newEventQueue(caller, caller.flush, memoryReservation{used: &used, limit: 10_000})

			group.Go(func() {
				for range 100 {
					assert.Check(t, queue.push(make([]byte, 400)) == nil)
					// A reservation that fails is counted for a moment.
					assert.Check(t, used.Load() <= 10_000+50*400)
				}

				queue.close()
				assert.Check(t, caller.taken.Len() == 40_000)
			})
		}

		group.Wait()
		assert.Equal(t, used.Load(), int64(0))
	})
}

// Guards against a stream that goes on at the upstream after its caller has left.
func TestPushFailsOnceTheCallerHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var used atomic.Int64

		caller := &slowCaller{interval: time.Millisecond, fails: true}
		queue := newEventQueue(caller, caller.flush, memoryReservation{used: &used, limit: 1 << 20})

		assert.NilError(t, queue.push([]byte("a")))
		time.Sleep(2 * time.Millisecond)
		assert.ErrorContains(t, queue.push([]byte("b")), "has left")
		queue.close()
		assert.Equal(t, used.Load(), int64(0))
	})
}

// Guards against a caller who is always a little behind and for whose stream all that was ever sent counts as held: the node
// then refuses the bodies of other requests.
func TestTakenEventsCountForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var used atomic.Int64

		caller := &slowCaller{interval: 10 * time.Millisecond}
		queue := newEventQueue(caller, caller.flush, memoryReservation{used: &used, limit: 1 << 20})

		for range 2_000 {
			assert.NilError(t, queue.push(make([]byte, 4<<10)))
			assert.Assert(t, used.Load() <= maxQueuedBytes, "%d bytes", used.Load())
		}

		queue.close()
		assert.Equal(t, used.Load(), int64(0))
	})
}
