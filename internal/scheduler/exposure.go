package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// minSpreadRoomFraction is the fraction of the best server's free slots for its speed that a server
// needs to be chosen for its lower exposure.
const minSpreadRoomFraction = 0.5

// exposure measures what the failure of a server would lose: an answer that is not repeatable can't be
// resumed elsewhere, so all its tokens so far are wasted. Their number grows with its running time.
type exposure struct {
	// count is the number of such answers in flight.
	count int
	// runningTime is the sum of their running times as of at.
	runningTime time.Duration
	at          time.Time
}

// total returns the sum of the running times of the answers as of now.
func (e *exposure) total(now time.Time) time.Duration {
	return e.runningTime + time.Duration(e.count)*now.Sub(e.at)
}

// add counts an answer that began at since.
func (e *exposure) add(now, since time.Time) {
	e.runningTime = e.total(now) + now.Sub(since)
	e.at = now
	e.count++
}

// remove reverses add.
func (e *exposure) remove(now, since time.Time) {
	e.runningTime = e.total(now) - now.Sub(since)
	e.at = now
	e.count--
}

// isExposed reports whether the answer is lost if its server fails and placement takes this into
// account. Tier 1 is placed where it starts soonest instead.
func (p *Pool) isExposed(request *Request, c *class) bool {
	if p.service.Kind != configurer.KindEngine || c.settings.Tier == highestTier {
		return false
	}

	return request.NotRepeatable || !c.settings.Repeatable
}

// leastExposed returns the server with the lowest exposure among those with about as much room as the
// best one. Choosing by room alone concentrates long answers that can't be resumed on a few engines,
// because each answer counts the same however long it runs. The loss of these engines then wastes far
// more than their share of the work, and the wasted share differs widely from crash to crash.
func (v *serverView) leastExposed(w *waiter, best *server) *server {
	found, least := best, best.exposure.total(v.now)
	minRoom := minSpreadRoomFraction * float64(v.freeSlots(best, false)) / best.currentSlowness

	for _, s := range v.pool.servers {
		free := v.freeSlots(s, false)
		if free <= 0 || float64(free)/s.currentSlowness < minRoom || s.excluded(&w.request) {
			continue
		}

		if exposed := s.exposure.total(v.now); exposed < least {
			found, least = s, exposed
		}
	}

	return found
}
