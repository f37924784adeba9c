package generator

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/standin/cacher"
	"quincepath.example/quincepath/internal/standin/supporter"
)

// defaultCacheBlocks is the memory for prefixes when the options give none.
const defaultCacheBlocks = 1024

// prefixes is the cache of prompt prefixes of one engine.
type prefixes struct {
	mu    sync.Mutex
	cache *cacher.Cache
}

func newPrefixes(o Options) *prefixes {
	blocks := o.CacheBlocks
	if blocks <= 0 {
		blocks = defaultCacheBlocks
	}
	return &prefixes{cache: cacher.New(blocks, o.LoadLag, o.Seed)}
}

// cached returns the number of leading tokens of a prompt that needn't be read again.
func (p *prefixes) cached(blocks []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Held(blocks) * prefixer.BlockTokens
}

func (p *prefixes) store(blocks []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.Store(time.Now(), blocks)
}

type prefixEvent struct {
	Sequence int           `json:"sequence"`
	Kind     prefixer.Kind `json:"kind"`
	// PrefixHash is hexadecimal: JSON numbers of 64 bits lose digits in some readers.
	PrefixHash string `json:"prefix_hash"`
}

type prefixEvents struct {
	// Last is the highest sequence number that shows; it falls when the engine begins anew.
	Last   int           `json:"last"`
	Events []prefixEvent `json:"events"`
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.cache.mu.Lock()
	shown, last := e.cache.cache.Events(time.Now(), n)
	e.cache.mu.Unlock()
	answer := prefixEvents{Last: last, Events: []prefixEvent{}}
	for _, v := range shown {
		answer.Events = append(answer.Events, prefixEvent{
			Sequence: v.Sequence, Kind: v.Kind, PrefixHash: strconv.FormatUint(v.PrefixHash, 16),
		})
	}
	supporter.WriteJSON(w, http.StatusOK, answer)
}
