package broker

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
)

// partSize is the number of upstreams for which one node decides. A decision looks at all of
// them, so a holder's work grows with both the requests and the upstreams of its part: with 30 the busiest
// node used 0.36 of a core on the mean of a heavy day and answered late in its bursts, with 15 it used 0.26.
const partSize = 15

// layout says how the upstreams of a service are parted. The zero layout has one part.
//
// Requests and upstreams are each given to a part by rendezvous hashing. When an upstream comes or goes, only its share of
// the requests changes parts, and when a part is added or dropped, only what it gains or had. Otherwise each loss of one upstream would
// send nearly all sessions to engines that have never read them: every prompt is read anew, engines that could keep
// up with a burst can't any more, and it shows as prompt parts that are read many times though memory would hold them. On 90
// engines, two in five of which crash, it brings a quarter more of what can be had.
type layout struct {
	// weights holds for each part the number of upstreams in it that take new requests.
	weights []float64
}

func newLayout(parts [][]balancer.Upstream) layout {
	l := layout{}

	for _, part := range parts {
		weight := 0.0

		for _, upstream := range part {
			if !upstream.Draining {
				weight++
			}
		}

		l.weights = append(l.weights, weight)
	}

	return l
}

// part returns the part for a request, in proportion to the parts' weights. Requests that share their
// parts but the last go to one part, so that what they share is read there only.
func (l layout) part(work *balancer.Request) int {
	if len(l.weights) < 2 {
		return 0
	}

	shared := work.ID
	if n := len(work.PromptParts); n > 1 {
		shared = work.PromptParts[n-2].ID
	}

	var key [16]byte

	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(shared))

	best, most := 0, -1.0

	for i, weight := range l.weights {
		binary.LittleEndian.PutUint64(key[8:], uint64(i))

		// The part with the most of weight / -ln(u), for an even u from 0 to 1, wins in proportion to its weight.
		if score := weight / -math.Log(fraction(xxhash.Sum64(key[:]))); score > most {
			best, most = i, score
		}
	}

	return best
}

// fraction returns a number above 0 and below 1 for a hash.
func fraction(hash uint64) float64 {
	const bits = 53

	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// split parts upstreams by their id. It returns one part at least.
func split(upstreams []balancer.Upstream) [][]balancer.Upstream {
	count := max((len(upstreams)+partSize/2)/partSize, 1)
	parts := make([][]balancer.Upstream, count)
	names := make([]string, count)
	places := make(map[string]int, count)

	for i := range names {
		names[i] = strconv.Itoa(i)
		places[names[i]] = i
	}

	chosen := chooser.New(names)

	for _, upstream := range upstreams {
		i := places[chosen.Choose(upstream.ID)]
		parts[i] = append(parts[i], upstream)
	}

	return parts
}

func poolName(service string, part int) string {
	return service + "/" + strconv.Itoa(part)
}
