package broker

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-jump"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// upstreamsPerPartition is the number of upstreams for which one node decides. A decision examines all of them, so a
// holder's work grows with both the requests and the upstreams of its partition. With 30, the busiest node used 0.36 of
// a core on average over a heavy day and answered late in bursts; with 15, it used 0.26.
const upstreamsPerPartition = 15

// partitioning divides the upstreams of a service into partitions. The zero value has one empty partition.
//
// Both requests and upstreams are assigned to partitions by consistent hashing. When an upstream is added or removed, only
// its share of the requests moves, and when a partition is added or removed, only what it gains or had. With modulo
// hashing, each loss of one upstream would send nearly all sessions to engines that have never read them. Every prompt would
// be read again, visible as prompt parts that are read many times although the caches could hold them, and engines could no
// longer keep up with bursts. On 90 engines, two in five of which crash, consistent hashing achieves a quarter more of what
// is attainable.
//
// A change of one upstream is applied without looking at the others, unless it changes the number of partitions: a fleet
// with more upstreams has more such changes, and each node applies all of them.
type partitioning struct {
	// weights holds the number of upstreams in each partition that accept new requests. It is replaced, never modified.
	weights []float64
	// partitions holds the upstreams of each partition, sorted by ID.
	partitions [][]partitionMember
	// count is the number of upstreams in all partitions.
	count int
}

// partitionMember is an upstream of a partition.
type partitionMember struct {
	id       string
	draining bool
	// softwareVersion is empty if it isn't known.
	softwareVersion string
}

func newPartitionMember(upstream *cataloguer.Upstream) partitionMember {
	return partitionMember{id: upstream.ID, draining: upstream.Draining, softwareVersion: upstream.SoftwareVersion}
}

// apply removes and adds upstreams. It returns the indexes of the partitions that changed, also of those that no longer
// exist.
func (p *partitioning) apply(put []partitionMember, remove []string) map[int]bool {
	touched := make(map[int]bool)

	if len(p.partitions) == 0 {
		p.partitions = make([][]partitionMember, 1)
		touched[0] = true
	}

	for _, id := range remove {
		p.remove(id, touched)
	}

	for _, member := range put {
		p.put(member, touched)
	}

	p.resize(max((p.count+upstreamsPerPartition/2)/upstreamsPerPartition, 1), touched)
	p.updateWeights(touched)

	return touched
}

func (p *partitioning) put(member partitionMember, touched map[int]bool) {
	partition := partitionIndex(member.id, len(p.partitions))
	touched[partition] = true

	if i, found := findMember(p.partitions[partition], member.id); found {
		p.partitions[partition][i] = member
	} else {
		p.partitions[partition] = slices.Insert(p.partitions[partition], i, member)
		p.count++
	}
}

func (p *partitioning) remove(id string, touched map[int]bool) {
	partition := partitionIndex(id, len(p.partitions))

	if i, found := findMember(p.partitions[partition], id); found {
		p.partitions[partition] = slices.Delete(p.partitions[partition], i, i+1)
		p.count--
		touched[partition] = true
	}
}

// resize changes the number of partitions and moves the upstreams that belong to another one then.
func (p *partitioning) resize(size int, touched map[int]bool) {
	before := len(p.partitions)

	var moving []partitionMember

	for i := size; i < before; i++ {
		moving = append(moving, p.partitions[i]...)
		touched[i] = true
	}

	p.partitions = p.partitions[:min(size, before)]

	for i := before; i < size; i++ {
		p.partitions = append(p.partitions, nil)
		touched[i] = true
	}

	// Upstreams move only to partitions that are new.
	if size > before {
		for i := range before {
			p.partitions[i] = slices.DeleteFunc(p.partitions[i], func(member partitionMember) bool {
				moves := partitionIndex(member.id, size) != i
				if moves {
					moving = append(moving, member)
					touched[i] = true
				}

				return moves
			})
		}
	}

	p.count -= len(moving)

	for _, member := range moving {
		p.put(member, touched)
	}
}

func (p *partitioning) updateWeights(touched map[int]bool) {
	weights := make([]float64, len(p.partitions))
	copy(weights, p.weights)

	for i := range touched {
		if i >= len(weights) {
			continue
		}

		weights[i] = 0

		for _, member := range p.partitions[i] {
			if !member.draining {
				weights[i]++
			}
		}
	}

	p.weights = weights
}

// weightsFor returns the weights of the partitions for a request: if only upstreams of one software version may get it, the
// number of those in each partition.
func (p *partitioning) weightsFor(work *balancer.Request) []float64 {
	if work.SoftwareVersion == "" {
		return p.weights
	}

	weights := make([]float64, len(p.partitions))

	for i, members := range p.partitions {
		for _, member := range members {
			if !member.draining && member.softwareVersion == work.SoftwareVersion && !slices.Contains(work.Excluded, member.id) {
				weights[i]++
			}
		}
	}

	return weights
}

// findMember returns the position of an upstream in a partition, or where it belongs.
func findMember(partition []partitionMember, id string) (int, bool) {
	return slices.BinarySearchFunc(partition, id, func(member partitionMember, id string) int { return strings.Compare(member.id, id) })
}

// partitionIndex returns the partition of an upstream.
func partitionIndex(id string, partitions int) int {
	return int(jump.Hash(xxhash.Sum64String(id), partitions))
}

// partitionsOf returns the partition for a request, in proportion to the weights of the partitions, and the one to ask if that
// one refuses the request. Requests whose prompts differ only in the last part go to the same partitions, so that the shared
// parts are read only there.
func partitionsOf(work *balancer.Request, weights []float64) []int {
	if len(weights) < 2 {
		return []int{0}
	}

	shared := work.ID
	if n := len(work.PromptParts); n > 1 {
		shared = work.PromptParts[n-2].ID
	}

	var key [16]byte

	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(shared))

	best, second := 0, 0
	bestScore, secondScore := -1.0, -1.0

	for i, weight := range weights {
		binary.LittleEndian.PutUint64(key[8:], uint64(i))

		switch score := chooser.WeightedScore(weight, xxhash.Sum64(key[:])); {
		case score > bestScore:
			second, secondScore = best, bestScore
			best, bestScore = i, score
		case score > secondScore:
			second, secondScore = i, score
		}
	}

	// A partition without upstreams has nothing to offer.
	if secondScore <= 0 {
		return []int{best}
	}

	return []int{best, second}
}

func poolName(service string, partition int) string {
	return service + "/" + strconv.Itoa(partition)
}

// splitPoolName returns the service and the partition of a pool, or false if it isn't the name of a pool.
func splitPoolName(name string) (string, int, bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, false
	}

	partition, err := strconv.Atoi(name[i+1:])

	return name[:i], partition, err == nil && partition >= 0
}
