// Package scheduler is the exact queue of one pool: the servers of one service
// that are scheduled together. It decides who gets the next slot, who waits,
// who is told no and who has to give a slot back.
//
// It is plain code over events and time: no goroutines, no locks, no timers.
// A driver calls it with the present time and carries the decisions out.
//
// The rules, in the order in which they hold:
//
//	Tier 1          gets any free slot first, on servers that neither straggle nor failed since
//	                their last whole answer, while others exist; on these too once half its
//	                target is spent, or when a plain service has no other slot.
//	Headroom        is a small number of free slots that only tier 1 uses: its largest recent
//	                burst less the slots that become free while it comes; none after 30 s without it.
//	Guaranteed share  a class below tier 1 that is owed at least one request of slot time goes next.
//	Tiers 2 to 5    are strict.
//	Age             moves a request up one tier each MoveUpAfter, up to tier 2.
//	Organisations   share a tier by deficit round robin; the cost is the class's mean tokens,
//	                corrected by the true number, or 1 for plain services.
//	Resumed answers go before the new requests of their organisation and tier.
//	Server          the one with most free slots for its speed; ties by the prompt's prefix.
//	                Below tier 1, what is not repeatable goes where least such work is in flight.
//	Limit           of a server: doubled by rounds until the first sign of too many (engines),
//	                then additive increase and multiplicative decrease, from token gaps
//	                against the strictest target that runs there, and first tokens (plain
//	                services: whole times) against the class's own target.
//	Preemption      at the last moment at which tier 1 still meets its target: the lowest tier,
//	                then the least progress, then the newest; engines and repeatable work only.
//	                Tier 1 takes the place that is given back, above the limit too.
//	Engine priority in place of preemption: tier 1 goes above the limit, a few for each server.
//	Giving up       when the estimated wait exceeds MaxWait or the estimated start the target
//	                (four times the target from tier 4 down); at MaxWait for certain. Tier 1
//	                never by an estimate, and only after all lower tiers.
//	Retry-After     is when the queue has drained, after the requests refused before.
//	Queue           is bounded; the newest of the lowest tier is refused.
package scheduler
