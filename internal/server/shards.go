package server

import (
	"slices"
	"strconv"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/claimer"
)

// shardHolders names the node that writes a shard of claims for all others.
type shardHolders struct {
	*members
}

// Holder implements claimer.Holders. A wrong answer costs a write and breaks
// nothing: the compare-and-swap of the store decides, not the holder.
func (s shardHolders) Holder(shard int) string {
	shards := s.view.Load().shards
	if shard >= len(shards) {
		return ""
	}

	return shards[shard]
}

// spreadShards gives each shard the node that rendezvous hashing chooses among
// those that don't have their even part of the shards yet. A holder keeps the window
// of its shards in memory; hashing alone would give some node of a large fleet two or
// three shards, several times the mean, and its memory would outgrow its bound.
func spreadShards(live []string) []string {
	if len(live) == 0 {
		return nil
	}

	limit := (claimer.Shards + len(live) - 1) / len(live)
	holders := make([]string, claimer.Shards)
	held := make(map[string]int, len(live))
	rest := chooser.New(live)
	left := slices.Clone(live)

	for shard := range holders {
		holder := rest.Choose("claims/" + strconv.Itoa(shard))
		holders[shard] = holder

		held[holder]++
		if held[holder] == limit {
			left = slices.DeleteFunc(left, func(name string) bool { return name == holder })
			rest = chooser.New(left)
		}
	}

	return holders
}
