package gateway

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/prober"
)

// entry is a node that callers may use.
type entry struct {
	address string
	// hash is a hash of the address.
	hash uint64
	// weight is the node's capacity.
	weight float64
}

// entriesFor returns the addresses that a caller should use, sorted; all of them if limit is 0.
//
// Where there are more, each caller gets its own, by weighted rendezvous hashing: callers use a node as often as its
// capacity allows, and a caller's addresses change only by nodes that come and go, since callers drop their connections to
// an address that is missing from a new response. Callers take only the first addresses of a longer response, so a large
// fleet would work with a few of its nodes.
func (r *roster) entriesFor(caller string, limit int) []string {
	chosen := r.entries
	if limit > 0 && len(chosen) > limit {
		chosen = r.chooseEntries(caller, limit)
	}

	addresses := make([]string, 0, len(chosen))
	for _, e := range chosen {
		addresses = append(addresses, e.address)
	}

	slices.Sort(addresses)

	return addresses
}

func (r *roster) chooseEntries(caller string, limit int) []entry {
	type scored struct {
		entry
		score float64
	}

	var key [16]byte

	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(caller))

	all := make([]scored, 0, len(r.entries))

	for _, e := range r.entries {
		binary.LittleEndian.PutUint64(key[8:], e.hash)
		all = append(all, scored{entry: e, score: chooser.WeightedScore(e.weight, xxhash.Sum64(key[:]))})
	}

	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })

	chosen := make([]entry, 0, limit)
	for _, s := range all[:limit] {
		chosen = append(chosen, s.entry)
	}

	return chosen
}

// addEntry adds a node that callers may use.
func (r *roster) addEntry(name, address string) {
	listed, _ := r.nodes.Get(name)
	r.entries = append(r.entries, entry{address: address, hash: xxhash.Sum64String(address), weight: listed.Capacity})
}

// weighUnknown gives nodes without a known capacity that of the weakest other one.
func (r *roster) weighUnknown() {
	least := math.Inf(1)

	for _, e := range r.entries {
		if e.weight > 0 {
			least = min(least, e.weight)
		}
	}

	if math.IsInf(least, 1) {
		least = 1
	}

	for i := range r.entries {
		if r.entries[i].weight <= 0 {
			r.entries[i].weight = least
		}
	}
}

// isEntry reports whether callers may be sent to another node.
func isEntry(member *prober.Member) bool {
	return !member.Leaving && member.State == prober.Live
}
