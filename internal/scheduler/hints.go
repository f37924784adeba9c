package scheduler

// CacheHints tells what servers probably have in their prompt caches. A wrong hint costs a prefill and nothing more.
type CacheHints interface {
	// CachedTokens is the number of prompt tokens that a server needn't read again; zero when nothing is known.
	CachedTokens(service, upstream string, prefixes []uint64) int
}

// tieShare is the part by which the speeds of two servers may differ while they
// count as equally good. Speeds are means of noisy measures and never quite equal.
const tieShare = 0.1

// choose is best for a request that is granted now. What is not repeatable is
// spread first. Then among the servers that are
// as good as the best one it takes the one that probably knows most of the
// prompt. Which requests can go at all doesn't depend on hints.
func (v *view) choose(w *waiter, extra bool) *server {
	best := v.best(w, extra)
	if best != nil && !extra && v.pool.exposed(&w.request, w.class) {
		best = v.spread(w, best)
	}

	hints := v.pool.options.CacheHints

	if best == nil || hints == nil || len(w.request.Prefixes) == 0 {
		return best
	}

	found := best
	service := v.pool.service.Name
	saved := hints.CachedTokens(service, best.upstream.Name, w.request.Prefixes)

	for _, s := range v.pool.servers {
		if s == best || !v.tied(w, s, best, extra) {
			continue
		}

		if more := hints.CachedTokens(service, s.upstream.Name, w.request.Prefixes); more > saved {
			found, saved = s, more
		}
	}

	return found
}

// tied says whether the request can go to a server that has as much room as the best one and is about as fast.
func (v *view) tied(w *waiter, s, best *server, extra bool) bool {
	if s.excluded(&w.request) || (v.straggles(s) && !v.straggles(best)) {
		return false
	}

	return v.roomFor(w, s, extra) == v.roomFor(w, best, extra) && best.slow >= s.slow*(1-tieShare)
}

func (v *view) roomFor(w *waiter, s *server, extra bool) int {
	if extra {
		return v.extraRoom(s)
	}

	return v.room(s, w.class.settings.Tier == topTier)
}

// caches says whether the server probably has a part of the prompt in its cache.
func (v *view) caches(w *waiter, s *server) bool {
	hints := v.pool.options.CacheHints

	return hints != nil && len(w.request.Prefixes) > 0 && hints.CachedTokens(v.pool.service.Name, s.upstream.Name, w.request.Prefixes) > 0
}
