package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/loader"
)

const (
	// limitedRate is the rate that the upstreams name, in requests a second.
	limitedRate = 3.0
	// limitSettling is how long after an upstream named its rate all nodes keep it. Then it is kept for limitSpan.
	limitSettling = 8 * time.Second
	limitSpan     = 8 * time.Second
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window at most limitFactor times what the rate
	// allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitCallers is the number of callers, each with one request after the other.
	limitCallers = 8
)

// Guards against nodes of the own interface that send upstreams more than the rate that they name for all nodes together,
// or nothing, on each kind of service.
func TestNodesKeepTheRateThatUpstreamsName(t *testing.T) {
	for _, kind := range []string{"engine", "plain"} {
		t.Run(kind, func(t *testing.T) {
			var (
				mu       sync.Mutex
				arrivals []time.Time
			)

			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)

				if r.Method == http.MethodGet {
					_, _ = io.WriteString(w, `{"running":0,"waiting":0}`)

					return
				}

				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()

				w.Header().Set("X-Rate-Limit", fmt.Sprint(limitedRate))
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"fine\"}}]}\n\ndata: [DONE]\n\n")
			}))
			t.Cleanup(upstream.Close)

			settings := loader.Defaults()
			settings.Services = map[string]loader.Service{"assistente": {
				Kind:         kind,
				DefaultClass: "usual",
				Classes: map[string]configurer.Class{"usual": {
					Tier: 1, Target: time.Second, GapLimit: time.Second, MaxWait: 5 * time.Second, Repeatable: true, RetryBudget: 1,
				}},
				Organisations: map[string]configurer.Organisation{"barbagallo": {Weight: 1, KeyHashes: []string{testKeyHash}}},
				Upstreams:     map[string]configurer.Upstream{"u": {Address: upstream.URL, FailureDomain: "catania-sala", Slots: 6}},
			}}
			settings.Peers.Credential = "secret"
			settings.Node.FailureDomain, settings.Node.DrainTimeout = "catania-sala", time.Second

			nodes := runNodes(t, settings, 3)
			begin := time.Now()

			var callers sync.WaitGroup

			for i := range limitCallers {
				callers.Go(func() {
					for time.Since(begin) < limitSettling+limitSpan {
						if askKind("http://"+nodes[i%len(nodes)], kind) != http.StatusOK {
							time.Sleep(20 * time.Millisecond)
						}
					}
				})
			}

			callers.Wait()

			kept := slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(begin.Add(limitSettling)) })
			worst := 0

			for i, first := range kept {
				end, _ := slices.BinarySearchFunc(kept, first.Add(limitWindow), time.Time.Compare)
				worst = max(worst, end-i)
			}

			allowed := int(limitFactor*limitedRate*limitWindow.Seconds() + limitSlack)
			t.Logf("%d requests, %d in the worst window", len(kept), worst)
			assert.Assert(t, worst <= allowed, "%d requests in %v, %d are allowed", worst, limitWindow, allowed)
			assert.Assert(t, len(kept) > 0)
		})
	}
}
