package follower_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/follower"
	"quincepath.example/quincepath/internal/storer"
)

// awayStore is a store that answers nothing.
type awayStore struct{ follower.Store }

func (awayStore) Position(context.Context) (storer.Position, error) {
	return storer.Position{}, errUnavailable
}

func (awayStore) Configuration(context.Context) (cataloguer.Configuration, storer.Position, error) {
	return cataloguer.Configuration{}, storer.Position{}, errUnavailable
}

// scriptedPeer gives the same answer to each call.
type scriptedPeer struct {
	answer string
	calls  atomic.Int64
}

func (p *scriptedPeer) Call(_ context.Context, _, _ string, _, result any) error {
	p.calls.Add(1)
	time.Sleep(time.Millisecond)

	if result == nil {
		return nil
	}

	return json.Unmarshal([]byte(p.answer), result)
}

func (p *scriptedPeer) Notify(context.Context, string, string, any) error { return nil }

// Guards against nodes that end, stop pulling or take what they have for current, as a peer's answer names a time that no duration holds,
// or parts that fit nothing.
func TestOddAnswerOfAPeer(t *testing.T) {
	const largest = "9223372036854775807"

	nested := strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)

	for name, answer := range map[string]string{
		"retry overflows": `{"retry_ms":9223372036855}`, "retry the largest": `{"retry_ms":` + largest + `}`, "retry below zero": `{"retry_ms":-1}`,
		"age overflows": `{"version":1,"age_ms":9223372036855,"revision":1}`, "age the largest": `{"version":1,"age_ms":` + largest + `,"registry_lag_ms":` + largest + `,"revision":1}`,
		"departure": `{"version":1,"age_ms":5,"departures":[{"id":"u","revision":1,"age_ms":` + largest + `},{"id":"u","revision":2,"age_ms":-` + largest + `},{}]}`,
		"size":      `{"version":1,"age_ms":5,"configuration":{"id":1,"size":` + largest + `,"data":"AAAA"}}`, "offset": `{"version":1,"age_ms":5,"configuration":{"id":1,"size":3,"offset":` + largest + `,"data":"AAAA"}}`,
		"no data": `{"version":1,"age_ms":5,"configuration":{},"registry":{}}`, "another base": `{"version":1,"age_ms":5,"configuration":{"base":7,"id":1,"size":3,"data":"AAAA"}}`,
		"delegated": `{"version":1,"age_ms":5,"delegated":["","\u0000",` + `"` + strings.Repeat("x", 10_000) + `"]}`, "nested": `{"more":` + nested + `}`,
		"not the type": `{"version":"1"}`, "fraction": `{"version":1,"age_ms":0.5}`, "null": "null",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				// Calls that are under way end by themselves.
				defer time.Sleep(time.Second)
				defer cancel()

				start := time.Now()
				catalog := cataloguer.New(func() time.Duration { return time.Since(start) })
				catalog.ApplyConfiguration(cataloguer.Configuration{Version: 1}, 0)
				catalog.ApplyFreshRegistry(cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: 1}}), false, 0)

				peer := &scriptedPeer{answer: answer}
				self := cataloguer.Node{Name: "10.0.1.2:7", Address: "10.0.1.2:8"}
				node := follower.New(follower.Options{
					Catalog: catalog, Store: awayStore{}, Peers: peer, Self: self, Seeds: func() []string { return nil },
					LiveNodes:     func() []string { return []string{"10.0.1.1:7", self.Name} },
					DepartedNodes: func() []string { return nil }, Logger: zerolog.Nop(),
				})

				go node.Run(ctx)
				time.Sleep(time.Minute)

				before := peer.calls.Load()

				time.Sleep(10 * time.Second)

				assert.Assert(t, peer.calls.Load() > before, "it pulls no more")

				if strings.HasPrefix(name, "age") || strings.HasPrefix(name, "retry") {
					age, known := catalog.ConfigurationAge()
					assert.Assert(t, known && age >= time.Minute, "%v", age)
					registryAge, _ := catalog.RegistryAge()
					assert.Assert(t, registryAge >= time.Minute, "%v", registryAge)
				}
			})
		})
	}
}
