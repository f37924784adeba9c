package throttler

// Costs of a request, in tokens.
const (
	// CostDeciding is the cost at a node that decides for all others.
	CostDeciding = 1.0
	// CostTakingOver is the cost at a node that decides only since another one doesn't answer. That one may still decide for
	// nodes on the other side of a cut, so the node that takes over admits a quarter of the rate.
	CostTakingOver = 4.0
)

// minorityFraction is the fraction of their even part that a minority of the nodes uses, since the majority uses the whole
// limit.
const minorityFraction = 0.5

// Share returns the part of a limit that a node may use together with the nodes that it reaches: live of those in the
// store's list. More than half of the nodes may use all of it, fewer only half of their even part. So the sides of a cut
// use at most one and a quarter times the limit, and a limit is used in full while few nodes are down.
func Share(live, listed int) float64 {
	if listed == 0 || 2*live > listed {
		return 1
	}

	return minorityFraction * float64(live) / float64(listed)
}
