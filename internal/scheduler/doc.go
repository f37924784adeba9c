// Package scheduler schedules requests onto the servers of one service, which form
// a pool. It decides which request gets the next slot, which requests wait, which
// are refused, and which running ones are preempted.
//
// It is driven by events and the time that the caller passes in: it has no
// goroutines, locks or timers. The caller carries the decisions out.
//
// The rules, in order of precedence:
//
//	Tier 1          gets any free slot first, on servers that are not stragglers and have not
//	                failed since their last complete answer, while there are any. It uses the
//	                others once half its target has passed, or if a plain service has no other slot.
//	Headroom        is a small number of free slots reserved for tier 1: its largest recent burst,
//	                less the slots that become free while it arrives; none after 30 s without tier 1.
//	Guaranteed share  a class below tier 1 that is owed the slot time of a request goes next.
//	Tiers 2 to 5    are served in strict order.
//	Age             moves a request up one tier per MoveUpAfter, up to tier 2.
//	Organisations   share a tier by deficit round robin. The cost is the class's mean number of
//	                tokens, corrected by the actual number, or 1 for plain services.
//	Resumed answers are served before the new requests of their organisation and tier.
//	Server          is the one with the most free slots for its speed; ties are decided by cached
//	                prompt prefixes. Below tier 1, requests that are not repeatable go to the server
//	                with the least such work in flight.
//	Limit           of a server: on engines it doubles per round until the first sign of overload.
//	                Then it follows additive increase and multiplicative decrease. It compares token
//	                gaps with the strictest target of the running classes, and first tokens (plain
//	                services: whole times) with the class's own target.
//	Preemption      happens at the last moment at which tier 1 still meets its target: the lowest
//	                tier first, then the least progress, then the newest. It is limited to engines
//	                and repeatable requests. Tier 1 takes the released slot, even above the limit.
//	Engine priority replaces preemption: tier 1 may exceed the limit by a few requests per server.
//	Refusal         happens when the estimated wait exceeds MaxWait or the estimated start exceeds
//	                the target (four times the target from tier 4 down), and always at MaxWait.
//	                Tier 1 is never refused by an estimate, and only after all lower tiers.
//	Retry-After     is the time until the queue and the requests refused earlier are served.
//	Queue length    is bounded; the newest request of the lowest tier is refused.
package scheduler
