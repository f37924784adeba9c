package scheduler

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// backlog is a full pool in which each organisation has waiting requests that are replaced as they are
// served.
type backlog struct {
	pool          *Pool
	now           time.Time
	held          []string
	organisations []string
	next          int
}

// waitingPerOrganisation is the number of waiting requests of each organisation.
const waitingPerOrganisation = 3

func newBacklog(organisations, servers int) *backlog {
	service := testService(servers, 8)
	for _, class := range []string{"counter", "chat", "notes"} {
		service = withClass(service, class, func(c *configurer.Class) { c.MaxWait, c.GuaranteedShare, c.MoveUpAfter = 0, 0.1, 10*time.Minute })
	}

	b := &backlog{now: epoch, pool: New(service, Options{MaxQueue: 1 << 20, TargetFactor: -1, FixedSlots: true})}

	for i := range organisations {
		name := fmt.Sprintf("o%04d", i)
		service.Organisations[name] = configurer.Organisation{Name: name, Weight: 1 + i%4}
		b.organisations = append(b.organisations, name)
	}

	for range 8*servers + waitingPerOrganisation*organisations {
		b.submit("chat")
	}

	return b
}

func (b *backlog) submit(class string) {
	b.next++
	b.collect(b.pool.Submit(b.now, Request{
		ID:           strconv.Itoa(b.next),
		Entry:        "n1",
		Class:        class,
		Organisation: b.organisations[b.next%len(b.organisations)],
	}))
}

func (b *backlog) collect(decisions []Decision) {
	for _, d := range decisions {
		if d.Kind == Grant {
			b.held = append(b.held, d.GrantID)
		}
	}
}

// cycle runs one decision of each kind: an answer ends, the next request gets its slot, and another
// one is queued.
func (b *backlog) cycle() {
	b.now = b.now.Add(time.Millisecond)
	oldest := b.held[0]
	b.held = b.held[1:]
	b.collect(b.pool.Finish(b.now, oldest, done(time.Second)))
	b.submit("chat")
}

var benchSizes = []struct{ organisations, servers int }{{10, 4}, {10, 32}, {100, 4}, {100, 32}, {1000, 4}, {1000, 32}}

// BenchmarkDecision measures one Finish with its grant and one Submit that queues.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d/servers=%d", size.organisations, size.servers), func(b *testing.B) {
			full := newBacklog(size.organisations, size.servers)
			b.ReportAllocs()

			for b.Loop() {
				full.cycle()
			}
		})
	}
}

// TestDecisionAllocatesLittle bounds the allocations of a decision: the waiter, the grant, its ID and
// its map entries, whatever the size of the queue.
func TestDecisionAllocatesLittle(t *testing.T) {
	const most = 6

	for _, size := range benchSizes {
		full := newBacklog(size.organisations, size.servers)
		allocated := testing.AllocsPerRun(2000, full.cycle)
		assert.Assert(t, allocated <= most, "%d organisations, %d servers: %v", size.organisations, size.servers, allocated)
	}
}

// BenchmarkReview measures the periodic review of all waiting requests.
func BenchmarkReview(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d/servers=%d", size.organisations, size.servers), func(b *testing.B) {
			full := newBacklog(size.organisations, size.servers)
			for range 200 {
				full.cycle()
			}

			b.ReportAllocs()

			for b.Loop() {
				full.now = full.now.Add(reviewInterval)
				full.pool.Tick(full.now)
			}
		})
	}
}
