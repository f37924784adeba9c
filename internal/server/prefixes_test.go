package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-resty/resty/v2"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/prefixer"
	"quincepath.example/quincepath/internal/standin/generator"
)

// promptBodies are one prompt of more than two blocks in all forms that engines read.
func promptBodies() map[string]string {
	text := strings.Repeat("Orari di apertura del salone di Acireale. ", 20)
	list := strings.Repeat(`"`+text[:200]+`",`, 4)

	return map[string]string{
		"messages": fmt.Sprintf(`{"messages":[{"role":"system","content":"%s"},{"role":"user","content":"ciao"}]}`, text),
		"parts":    fmt.Sprintf(`{"messages":[{"role":"user","content":[{"type":"text","text":"%s"},{"type":"text","text":"%s"}]}]}`, text[:300], text[:400]),
		"strings":  fmt.Sprintf(`{"messages":[{"role":"user","content":[%s]}]}`, strings.TrimSuffix(list, ",")),
		"prompt":   fmt.Sprintf(`{"prompt":"%s"}`, text),
		"prompts":  fmt.Sprintf(`{"prompt":[%s]}`, strings.TrimSuffix(list, ",")),
	}
}

// Symptom: hints never match, and prompts go to engines that don't have them.
// Events: an engine caches a prompt and publishes it; the next ask has the same prompt.
// Cause: the entry reads the prompt's text out of the body in another way than the engine.
func TestEntryAndEngineHashAlike(t *testing.T) {
	for name, body := range promptBodies() {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(generator.New(generator.Options{Slots: 1}).Handler())
			defer engine.Close()

			response, err := http.Post(engine.URL+"/v1/completions", "application/json", strings.NewReader(body))
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())

			node := &Node{prefixes: prefixer.NewTable()}
			upstream := configurer.Upstream{Name: "engine-1", Address: engine.URL}
			node.pollCacheEvents(t.Context(), resty.New(), "assistente", upstream)
			assert.Equal(t, node.prefixes.CachedTokens("assistente", "engine-1", prefixesOf([]byte(body))), 2*prefixer.BlockTokens)

			node.pollCacheEvents(t.Context(), resty.New(), "assistente", upstream)
			assert.Equal(t, node.prefixes.CachedTokens("assistente", "engine-1", prefixesOf([]byte(body))), 2*prefixer.BlockTokens)
		})
	}
}

func TestUnreadableEventsChangeNothing(t *testing.T) {
	answer := `{"last":2,"events":[{"sequence":1,"kind":"stored","prefix_hash":"zz"},{"sequence":2,"kind":"stored","prefix_hash":"2a"}]}`
	status := http.StatusOK
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))

	defer engine.Close()

	node := &Node{prefixes: prefixer.NewTable()}
	poll := func() int {
		node.pollCacheEvents(t.Context(), resty.New(), "s", configurer.Upstream{Name: "e", Address: engine.URL})

		return node.prefixes.CachedTokens("s", "e", []uint64{42})
	}

	assert.Equal(t, poll(), prefixer.BlockTokens)

	for _, answer = range []string{`{`, `[]`, `"x"`, ``, `{"events":[]}`} {
		assert.Equal(t, poll(), prefixer.BlockTokens, answer)
	}

	status, answer = http.StatusNotFound, `{"last":0}`
	assert.Equal(t, poll(), prefixer.BlockTokens)

	status = http.StatusOK
	assert.Equal(t, poll(), 0)
}

func TestPollReachesTheHints(t *testing.T) {
	node, base := newTestNode(t)
	body := `{"model":"assistente","messages":[{"role":"user","content":"` + strings.Repeat("x", 2000) + `"}],"max_tokens":1}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)

	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()

	for node.prefixes.CachedTokens("assistente", "engine-1", prefixesOf([]byte(body))) == 0 {
		assert.NilError(t, ctx.Err())
		node.pollOnce(ctx, resty.New())
		time.Sleep(10 * time.Millisecond)
	}
}
