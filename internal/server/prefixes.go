package server

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-resty/resty/v2"
	"github.com/tidwall/gjson"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/prefixer"
)

// cacheEvents is what an engine publishes about its prompt cache, late and with gaps.
type cacheEvents struct {
	// Last is the highest sequence number that the engine gave out so far; nil
	// when it doesn't say, and then its restart goes unnoticed.
	Last   *int         `json:"last"`
	Events []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Sequence int           `json:"sequence"`
	Kind     prefixer.Kind `json:"kind"`
	// PrefixHash is hexadecimal.
	PrefixHash string `json:"prefix_hash"`
}

// pollPrefixes reads the cache events of the engines of one service that this
// node holds, and forgets the others. The holder alone uses them, so no other node reads them.
func (n *Node) pollPrefixes(ctx context.Context, client *resty.Client, service configurer.Service) {
	if n.router == nil || service.Kind != configurer.KindEngine {
		return
	}

	n.prefixes.RetainUpstreams(service.Name, func(name string) bool {
		_, ok := service.Upstreams[name]

		return ok
	})

	for _, upstream := range service.Upstreams {
		// A pool that is full skips this round; the events are still there in the next.
		_ = n.background.Go(func() { n.pollCacheEvents(ctx, client, service.Name, upstream) })
	}
}

// pollCacheEvents takes in what an engine published since the last time. An
// engine that publishes nothing stays without hints.
func (n *Node) pollCacheEvents(ctx context.Context, client *resty.Client, service string, upstream configurer.Upstream) {
	var published cacheEvents

	after := n.prefixes.AppliedSequence(service, upstream.Name)

	response, err := client.R().SetContext(ctx).SetResult(&published).
		SetQueryParam("after", strconv.Itoa(after)).Get(upstream.Address + "/cache_events")
	if err != nil || response.IsError() {
		return
	}

	last := after
	if published.Last != nil {
		last = *published.Last
	}

	n.prefixes.Apply(service, upstream.Name, last, published.taken())
}

// taken returns the events that can be read.
func (c cacheEvents) taken() []prefixer.Event {
	events := make([]prefixer.Event, 0, len(c.Events))

	for _, e := range c.Events {
		block, err := strconv.ParseUint(e.PrefixHash, 16, 64)
		if err != nil {
			continue
		}

		events = append(events, prefixer.Event{Sequence: e.Sequence, Kind: e.Kind, PrefixHash: block})
	}

	return events
}

// prefixesOf returns the sampled hashes of the prompt in an engine request.
func prefixesOf(body []byte) []uint64 {
	return prefixer.Sample(prefixer.HashBlocks(promptHead(body)))
}

// promptHead returns the start of the prompt as engines read it, as far as prefixes are looked at.
func promptHead(body []byte) string {
	const most = prefixer.MaxBlocks * prefixer.BlockBytes

	var head strings.Builder

	gjson.GetBytes(body, "messages").ForEach(func(_, message gjson.Result) bool {
		head.WriteString(message.Get("role").String() + ": ")
		writeText(&head, message.Get("content"))
		head.WriteString("\n")

		return head.Len() < most
	})

	if head.Len() == 0 {
		writeText(&head, gjson.GetBytes(body, "prompt"))
	}

	text := head.String()

	return text[:min(len(text), most)]
}

// writeText adds a text, a list of texts as lines, or a list of parts with texts.
func writeText(head *strings.Builder, content gjson.Result) {
	if !content.IsArray() {
		head.WriteString(content.String())

		return
	}

	for i, part := range content.Array() {
		if part.IsObject() {
			head.WriteString(part.Get("text").String())

			continue
		}

		if i > 0 {
			head.WriteString("\n")
		}

		head.WriteString(part.String())
	}
}
