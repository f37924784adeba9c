package balancer

import (
	"math"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/throttler"
)

// noShareWait is how long a request has to wait if this node may use no part of the limits: after that time a node that
// decides for the others is found.
const noShareWait = 2500 * time.Millisecond

// SetLimit applies the rate limit of an upstream, if it is listed.
func (p *Pool) SetLimit(now time.Time, limit throttler.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.servers {
		if s.ID == limit.Upstream {
			s.bucket.SetLimit(now, limit)
		}
	}
}

// SetLimitTerms sets which part of the upstreams' rate limits this node may use, 0 for none, and what a request costs in
// tokens.
func (p *Pool) SetLimitTerms(now time.Time, share, cost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if share == p.limitShare && cost == p.limitCost {
		return
	}

	p.limitShare, p.limitCost = share, cost

	for _, s := range p.servers {
		s.bucket.SetTerms(now, share, cost)
	}
}

// UpstreamIDs returns the IDs of the listed upstreams.
func (p *Pool) UpstreamIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	ids := make([]string, 0, len(p.servers))
	for _, s := range p.servers {
		ids = append(ids, s.ID)
	}

	return ids
}

// namedLimit returns the server's rate limit, also one that has ended; nil if it never named one.
func (s *server) namedLimit() *throttler.Limit {
	limit := s.bucket.Limit()
	if limit.Version == 0 {
		return nil
	}

	return &limit
}

// limitWaitMS returns how long rate limits make the request wait if the given number of requests goes before it. It is 0
// if an upstream without a limit could take the request, or if the limits admit it now.
func (p *Pool) limitWaitMS(now time.Time, request *Request, ahead int) float64 {
	rate, admitted, limited := 0.0, 0.0, false

	for _, s := range p.servers {
		if !s.usable(now, request) || slices.Contains(request.Excluded, s.ID) {
			continue
		}

		serverRate := s.bucket.Rate()
		if math.IsInf(serverRate, 1) {
			return 0
		}

		limited = true
		rate += serverRate
		admitted += max(s.bucket.Requests(now), 0)
	}

	switch {
	case !limited:
		return 0
	case rate == 0:
		return milliseconds(noShareWait)
	}

	return milliseconds(time.Duration(max(float64(ahead+1)-admitted, 0) / rate * float64(time.Second)))
}
