package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/refuser"
)

// refusal is one request that a node must refuse at once, with a code.
type refusal struct {
	name   string
	method string
	path   string
	key    string
	header map[string]string
	body   string
}

func TestRefusals(t *testing.T) {
	node, base := newTestNode(t)
	node.settings.Node.MaxBodyBytes = 1 << 10

	const chat = "/v1/chat/completions"

	refusals := []refusal{
		{"no key", "POST", chat, "", nil, `{"model":"assistente"}`},
		{"wrong key", "POST", chat, "guess", nil, `{"model":"assistente"}`},
		{"not JSON", "POST", chat, testKey, nil, `{"model"`},
		{"JSON but no object", "POST", chat, testKey, nil, `[]`},
		{"unknown service", "POST", chat, testKey, nil, `{"model":"other"}`},
		{"unknown class", "POST", chat, testKey, map[string]string{headerClass: "other"}, `{"model":"assistente"}`},
		{"body too large", "POST", chat, testKey, nil, strings.Repeat(" ", 2<<10)},
		{"key too long", "POST", chat, testKey, map[string]string{"Idempotency-Key": strings.Repeat("k", 201)}, `{"model":"assistente"}`},
		{"plain service that is an engine", "POST", "/services/assistente/x", testKey, nil, ``},
		{"entries without key", "GET", "/v1/entries", "", nil, ``},
		{"models without key", "GET", "/v1/models", "", nil, ``},
		{"no request id", "GET", "/v1/requests/x/answer", testKey, nil, ``},
		{"request of an earlier run", "GET", "/v1/requests/node-1.00000000.1/answer", testKey, nil, ``},
		{"request of an unknown node", "GET", "/v1/requests/node-9.00000000.1/answer", testKey, nil, ``},
	}

	var table strings.Builder

	for _, v := range refusals {
		fmt.Fprintf(&table, "%s: %s\n", v.name, refusedWith(t, base, v))
	}

	golden.Assert(t, table.String(), "refusals.golden")
}

// answerTo sends the request; the body is closed with the test.
func answerTo(t *testing.T, base string, v refusal) *http.Response {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), v.method, base+v.path, strings.NewReader(v.body))
	assert.NilError(t, err)

	if v.key != "" {
		request.Header.Set("Authorization", "Bearer "+v.key)
	}

	for name, value := range v.header {
		request.Header.Set(name, value)
	}

	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })

	return response
}

// refusedWith sends the request and returns status, code and whether it ran.
func refusedWith(t *testing.T, base string, v refusal) string {
	t.Helper()

	response := answerTo(t, base, v)

	var answer refuser.ErrorResponse

	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	assert.Equal(t, response.Header.Get(headerResult), answer.Error.Code)
	assert.Equal(t, response.Header.Get(headerRan), string(answer.Error.Ran))

	return fmt.Sprintf("%d %s %s", response.StatusCode, answer.Error.Code, answer.Error.Ran)
}

// Symptom: a node's connections fill up while nothing runs.
// Events: a caller sends its headers, then its body a byte at a time, or not at all.
// Cause: without a limit of time a body that never ends holds a handler for good.
func TestSlowSenderIsAnswered(t *testing.T) {
	node, base := newTestNode(t)
	node.settings.Node.BodyTimeout = 20 * time.Millisecond

	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	assert.NilError(t, err)

	defer conn.Close()

	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", testKey)
	assert.NilError(t, err)

	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 408"), "%s", answer)
	assert.Assert(t, strings.Contains(string(answer), "slow_sender"), "%s", answer)
}

// Symptom: counter lookups are refused while owner chat holds every place of a node.
// Events: a crowd of a lower tier comes first.
// Cause: places given to whoever comes first; each lower tier has to leave some to the tiers above.
func TestFullNodeRefusesLowestTierFirst(t *testing.T) {
	places := newRuns(100)

	admitted := func(tier int) int {
		count := 0

		for {
			run := &requestRun{}
			run.request.ID = fmt.Sprintf("%d-%d", tier, count)
			run.request.Class.Tier = tier

			if places.add(run) != nil {
				return count
			}

			count++
		}
	}

	assert.Equal(t, admitted(5), 80)
	assert.Equal(t, admitted(4), 5)
	assert.Equal(t, admitted(1), 15)
	assert.Equal(t, admitted(1), 0)
}
