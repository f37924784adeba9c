package broker

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// partSize is the number of upstreams for which one node decides. A decision looks at all of
// them, so a holder's work grows with both the requests and the upstreams of its part: with 30 the busiest
// node used 0.36 of a core on the mean of a heavy day and answered late in its bursts, with 15 it used 0.26.
const partSize = 15

// layout says how the upstreams of a service are parted. The zero layout has one part.
type layout struct {
	// ends holds for each part the number of upstreams in it and those before it.
	ends []int
}

func newLayout(parts [][]balancer.Upstream) layout {
	l := layout{}
	total := 0

	for _, part := range parts {
		total += len(part)
		l.ends = append(l.ends, total)
	}

	return l
}

// part returns the part for a request, in proportion to the parts' sizes. Requests that share their
// parts but the last go to one part, so that what they share is read there only.
func (l layout) part(work *balancer.Work) int {
	if len(l.ends) < 2 || l.ends[len(l.ends)-1] == 0 {
		return 0
	}

	shared := work.ID
	if n := len(work.Parts); n > 1 {
		shared = work.Parts[n-2].ID
	}

	place := int(xxhash.Sum64String(shared) % uint64(l.ends[len(l.ends)-1]))

	for i, end := range l.ends {
		if place < end {
			return i
		}
	}

	return 0
}

// split parts upstreams by their id, so that one that comes or goes moves no other. It returns one part at least.
func split(upstreams []balancer.Upstream) [][]balancer.Upstream {
	count := max((len(upstreams)+partSize/2)/partSize, 1)
	parts := make([][]balancer.Upstream, count)

	for _, upstream := range upstreams {
		i := xxhash.Sum64String(upstream.ID) % uint64(count)
		parts[i] = append(parts[i], upstream)
	}

	return parts
}

func poolName(service string, part int) string {
	return service + "/" + strconv.Itoa(part)
}
