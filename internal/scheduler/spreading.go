package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// spreadShare is the part of the best server's room for its speed that a server
// must have to be chosen for its exposure.
const spreadShare = 0.5

// exposure is what a server's failure would lose for good: an answer that is
// not repeatable can't be resumed elsewhere, so that all its tokens so far are
// wasted. They grow with the time for which it has run.
type exposure struct {
	// count is the number of such answers in flight.
	count int
	// sum is the time for which they had run by at, added up.
	sum time.Duration
	at  time.Time
}

// read is the sum of the times for which the answers have run until now.
func (e *exposure) read(now time.Time) time.Duration {
	return e.sum + time.Duration(e.count)*now.Sub(e.at)
}

// add counts an answer that began at since.
func (e *exposure) add(now, since time.Time) {
	e.sum = e.read(now) + now.Sub(since)
	e.at = now
	e.count++
}

// remove undoes add.
func (e *exposure) remove(now, since time.Time) {
	e.sum = e.read(now) - now.Sub(since)
	e.at = now
	e.count--
}

// exposed says whether the answer is lost with its server and may be placed for
// that. Tier 1 goes where it starts soonest.
func (p *Pool) exposed(request *Request, c *class) bool {
	if p.service.Kind != configurer.KindEngine || c.settings.Tier == topTier {
		return false
	}

	return request.NotRepeatable || !c.settings.Repeatable
}

// spread returns the least exposed server among those with about as much room as
// the best one. Room alone lets long answers that can't be resumed gather on a
// few engines, since each answer counts the same however long it runs. Then the
// loss of these engines wastes far more than their part of the work, which
// shows as a wasted share that differs widely from crash to crash.
func (v *view) spread(w *waiter, best *server) *server {
	found, least := best, best.exposure.read(v.now)
	enough := spreadShare * float64(v.room(best, false)) / best.slow

	for _, s := range v.pool.servers {
		room := v.room(s, false)
		if room <= 0 || float64(room)/s.slow < enough || s.excluded(&w.request) {
			continue
		}

		if exposed := s.exposure.read(v.now); exposed < least {
			found, least = s, exposed
		}
	}

	return found
}
