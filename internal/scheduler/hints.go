package scheduler

// CacheHints estimates what servers have in their prompt caches. A wrong hint costs one prefill and
// nothing more.
type CacheHints interface {
	// CachedTokens returns the number of prompt tokens that a server doesn't have to process again; zero
	// when unknown.
	CachedTokens(service, upstream string, prefixes []uint64) int
}

// maxTieDifference is the relative difference in speed up to which two servers count as equivalent.
// Speeds are means of noisy samples and never exactly equal.
const maxTieDifference = 0.1

// chooseServer picks the server for a request that is granted now. Requests that are not repeatable
// are first spread by exposure. Among the servers equivalent to the best one it then picks the one
// that probably has most of the prompt cached. Hints never decide whether a request can be granted.
func (v *serverView) chooseServer(w *waiter, aboveLimit bool) *server {
	best := v.bestServer(w, aboveLimit)
	if best != nil && !aboveLimit && v.pool.isExposed(&w.request, w.class) {
		best = v.leastExposed(w, best)
	}

	hints := v.pool.options.CacheHints

	if best == nil || hints == nil || len(w.request.Prefixes) == 0 {
		return best
	}

	found := best
	service := v.pool.service.Name
	saved := hints.CachedTokens(service, best.upstream.Name, w.request.Prefixes)

	for _, s := range v.pool.servers {
		if s == best || !v.isEquivalent(w, s, best, aboveLimit) {
			continue
		}

		if more := hints.CachedTokens(service, s.upstream.Name, w.request.Prefixes); more > saved {
			found, saved = s, more
		}
	}

	return found
}

// isEquivalent reports whether the request can go to a server that has as many free slots as the best
// one and is about as fast.
func (v *serverView) isEquivalent(w *waiter, s, best *server, aboveLimit bool) bool {
	if s.excluded(&w.request) || (v.isAvoided(s) && !v.isAvoided(best)) {
		return false
	}

	return v.freeSlotsFor(w, s, aboveLimit) == v.freeSlotsFor(w, best, aboveLimit) && best.currentSlowness >= s.currentSlowness*(1-maxTieDifference)
}

func (v *serverView) freeSlotsFor(w *waiter, s *server, aboveLimit bool) int {
	if aboveLimit {
		return v.oversubscribableSlots(s)
	}

	return v.freeSlots(s, w.class.settings.Tier == highestTier)
}

// hasPromptCached reports whether the server probably has part of the prompt in its cache.
func (v *serverView) hasPromptCached(w *waiter, s *server) bool {
	hints := v.pool.options.CacheHints

	return hints != nil && len(w.request.Prefixes) > 0 && hints.CachedTokens(v.pool.service.Name, s.upstream.Name, w.request.Prefixes) > 0
}
