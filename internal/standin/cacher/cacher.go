// Package cacher is the prompt prefix cache of a stand-in engine: blocks in
// limited memory, and events about them that come late and with gaps.
package cacher

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quincepath.example/quincepath/internal/prefixer"
)

const (
	keptEvents = 8192
	lostOneIn  = 8
)

// Cache holds the blocks of one engine. It is not safe for concurrent use.
type Cache struct {
	lag  time.Duration
	seed uint64
	// now is the time of the present call.
	now    time.Time
	blocks *simplelru.LRU[uint64, struct{}]
	count  int
	events []event
}

type event struct {
	prefixer.Event
	at time.Time
}

// New returns an empty cache of so many blocks, at least 1. Its events show after
// lag. One in eight is lost for good, chosen by seed; the sequence numbers show the gaps.
func New(blocks int, lag time.Duration, seed uint64) *Cache {
	c := &Cache{lag: lag, seed: seed}
	c.blocks, _ = simplelru.NewLRU(max(blocks, 1), func(block uint64, _ struct{}) { c.publish(prefixer.KindEvicted, block) })

	return c
}

// Held returns the number of leading blocks of a prompt that the cache holds.
func (c *Cache) Held(blocks []uint64) int {
	for i, b := range blocks {
		if !c.blocks.Contains(b) {
			return i
		}
	}

	return len(blocks)
}

// Store takes the blocks of a prompt that was read; the least lately used ones make room.
func (c *Cache) Store(now time.Time, blocks []uint64) {
	c.now = now

	// The first block is used last: a block without those before it is of no use.
	for i := len(blocks) - 1; i >= 0; i-- {
		if c.blocks.Contains(blocks[i]) {
			c.blocks.Get(blocks[i])

			continue
		}

		c.publish(prefixer.KindStored, blocks[i])
		c.blocks.Add(blocks[i], struct{}{})
	}
}

// Clear empties the cache and begins the numbers anew, as a restart of the engine does.
func (c *Cache) Clear() {
	c.blocks.Purge()
	c.events, c.count = nil, 0
}

func (c *Cache) publish(kind prefixer.Kind, block uint64) {
	c.count++

	draw := xxhash.Sum64String(strconv.FormatUint(c.seed, 10) + "/" + strconv.Itoa(c.count))
	if draw%lostOneIn == 0 {
		return
	}

	if len(c.events) >= keptEvents {
		c.events = c.events[1:]
	}

	c.events = append(c.events, event{Event: prefixer.Event{Sequence: c.count, Kind: kind, PrefixHash: block}, at: c.now})
}

// Events returns what shows at a time of the events above a sequence number, and the highest number that shows.
func (c *Cache) Events(now time.Time, after int) (shown []prefixer.Event, last int) {
	limit := now.Add(-c.lag)

	for i := range c.events {
		if c.events[i].at.After(limit) {
			break
		}

		last = c.events[i].Sequence
		if last > after {
			shown = append(shown, c.events[i].Event)
		}
	}

	return shown, last
}
