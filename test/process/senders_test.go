package process_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refused is what a caller reads of a refusal.
type refused struct {
	status     int
	code, ran  string
	retryAfter string
}

// sendRaw writes bytes to a node and reads one answer.
func sendRaw(t *testing.T, address, text string) refused {
	t.Helper()

	conn, err := net.DialTimeout("tcp", address, callLimit)
	assert.NilError(t, err)

	defer conn.Close()

	assert.NilError(t, conn.SetDeadline(time.Now().Add(callLimit)))

	// The node may answer and close before it has read everything.
	_, _ = io.WriteString(conn, text)

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "no answer came")

	return readRefused(t, response)
}

func readRefused(t *testing.T, response *http.Response) refused {
	t.Helper()

	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)

	var answer struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}

	assert.NilError(t, json.Unmarshal(text, &answer), "the answer has no numbered result: %d %q", response.StatusCode, text)

	return refused{response.StatusCode, answer.Error.Code, answer.Error.Ran, response.Header.Get("Retry-After")}
}

// Symptom: a caller with a faulty program sees connections that break, and its developer guesses why.
// Events: headers larger than the limit; headers that stop halfway; a body that stops halfway.
// Cause: the HTTP library ends such connections by itself, with a plain text or without a word.
func TestFaultySendersAreToldWhy(t *testing.T) {
	t.Parallel()

	f := newFleetOf(t, 1, shape{nodeLines: "  header_timeout: 300ms\n  body_timeout: 300ms\n"})
	address := f.nodes[0].address
	head := "POST /services/banco/price HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + callerKey + "\r\n"

	large := sendRaw(t, address, head+"X-Large: "+strings.Repeat("x", 100<<10)+"\r\nContent-Length: 0\r\n\r\n")
	assert.Equal(t, large, refused{http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "not_run", ""})

	// Far beyond the limit the node stops reading.
	larger := sendRaw(t, address, head+"X-Large: "+strings.Repeat("x", 1<<20)+"\r\n\r\n")
	assert.Equal(t, larger, refused{http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "not_run", ""})

	slowHeader := sendRaw(t, address, head+"X-Slow: ")
	assert.Equal(t, slowHeader.code, "slow_sender")
	assert.Equal(t, slowHeader.ran, "not_run")

	slowBody := sendRaw(t, address, head+"Content-Length: 10\r\n\r\nhalf")
	assert.Equal(t, slowBody.code, "slow_sender")
	assert.Equal(t, slowBody.ran, "not_run")
	assert.Equal(t, len(serviceRuns(t, f.service)), 0)
}

// Symptom: a node that gets too much grows until it dies, and takes the counter's lookups with it.
// Events: more requests than the node's limit come at once, of the lowest tier first.
// Cause: without a limit all are taken; with one for all tiers alike the low ones take every place.
func TestFullNodeLeavesPlacesToHigherTiers(t *testing.T) {
	t.Parallel()

	const places = 20

	f := newFleetOf(t, 1, shape{nodeLines: "  max_in_flight: 20\n"})

	// Tier 4 leaves three times a twentieth of the places to the tiers above it.
	notes := f.occupy(t, "care_notes", places)
	assert.Equal(t, notes, 3)

	lookups := f.occupy(t, "counter_lookup", 5)
	assert.Equal(t, lookups, 2)
}

// occupy sends requests that stay in flight until the test ends, and returns how many were refused as node_full.
func (f *fleet) occupy(t *testing.T, class string, count int) int {
	t.Helper()

	full := 0

	for range count {
		answered := make(chan *http.Response, 1)
		taken := f.inFlight(t)

		go func() { answered <- f.chat(t, class) }()

		waitFor(t, "a place or a refusal", func() bool { return len(answered) > 0 || f.inFlight(t) > taken })

		select {
		case response := <-answered:
			if response.StatusCode == http.StatusOK {
				break
			}

			got := readRefused(t, response)
			assert.Equal(t, got.code, "node_full")
			assert.Equal(t, got.ran, "not_run")
			assert.Assert(t, got.retryAfter != "")

			full++
		default:
		}
	}

	return full
}

// chat asks for an answer that outlasts the test.
func (f *fleet) chat(t *testing.T, class string) *http.Response {
	t.Helper()

	body := `{"model":"assistente","max_tokens":20000,"stream":true,"messages":[{"role":"user","content":"long"}]}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.nodes[0].address+"/v1/chat/completions", strings.NewReader(body))
	assert.Check(t, err)
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Quincepath-Class", class)

	// It fails when the test is over.
	response, _ := http.DefaultClient.Do(request)

	return response
}

// inFlight is the number of requests that the first node holds.
func (f *fleet) inFlight(t *testing.T) int {
	t.Helper()

	status, ok := readStatus(t, f.nodeSpecs[0].adminAddress)
	assert.Assert(t, ok)

	return status.InFlight
}
