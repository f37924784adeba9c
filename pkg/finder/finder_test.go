package finder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/pkg/finder"
)

// fleet stands for the network: nodes by address, in virtual time.
type fleet struct {
	mu sync.Mutex
	// dead nodes answer nothing; refused nodes answer an error at once.
	dead    map[string]bool
	refused map[string]bool
	body    string
	asked   []string
	// query is that of the last call.
	query string
}

const three = `{"entries":[
	{"address":"192.0.2.1:80","node":"n1","failure_domain":"catania-sala"},
	{"address":"192.0.2.2:80","node":"n2","failure_domain":"catania-sala"},
	{"address":"no address","node":"n4","failure_domain":"acireale-sala"},
	{"address":"192.0.2.3:80","node":"n3","failure_domain":"siracusa-sala"}],"keep_seconds":10}`

func newFleet() *fleet {
	return &fleet{dead: map[string]bool{}, refused: map[string]bool{}, body: three}
}

func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.asked = append(f.asked, r.URL.Host)
	f.query = r.URL.RawQuery
	dead, refused, body := f.dead[r.URL.Host], f.refused[r.URL.Host], f.body
	f.mu.Unlock()

	if dead {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}

	time.Sleep(3 * time.Millisecond)

	w := httptest.NewRecorder()
	if refused || r.Header.Get("Authorization") != "Bearer key" || r.URL.Path != "/v1/entries" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}

	fmt.Fprint(w, body)

	return w.Result(), nil
}

// take returns who was asked since the last call.
func (f *fleet) take() string {
	f.mu.Lock()
	defer f.mu.Unlock()

	asked := strings.Join(f.asked, " ")
	f.asked = nil

	return asked
}

func newFinder(t *testing.T, f *fleet, addresses ...string) *finder.Finder {
	t.Helper()

	found, err := finder.New(finder.Options{Addresses: addresses, Key: "key", Transport: f})
	assert.NilError(t, err)

	return found
}

func addresses(t *testing.T, f *finder.Finder) string {
	t.Helper()

	entries, err := f.Entries(t.Context())
	assert.NilError(t, err)

	var names []string
	for _, v := range entries {
		names = append(names, v.Node)
	}

	return strings.Join(names, " ")
}

func TestKeepsTheAnswerForItsLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		found := newFinder(t, f, "192.0.2.9:80")

		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "192.0.2.9:80")
		time.Sleep(9 * time.Second)
		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "")
		time.Sleep(2 * time.Second)
		addresses(t, found)
		assert.Equal(t, f.take(), "192.0.2.1:80")
	})
}

func TestStartsFromAnyGivenAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.refused["192.0.2.8:80"] = true
		f.dead["192.0.2.9:80"] = true
		found := newFinder(t, f, "192.0.2.8:80", "192.0.2.9:80", "192.0.2.3:80")

		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "192.0.2.8:80 192.0.2.9:80 192.0.2.3:80")
	})
}

// Symptom: callers hang for the sum of many timeouts when a failure domain dies.
// Sequence: all nodes of one failure domain go silent; the kept answer's lifetime ends.
// Cause: the kept order may list the dead failure domain's nodes one after the other.
func TestOutlivesAFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		found := newFinder(t, f, "192.0.2.1:80")
		addresses(t, found)
		f.take()

		f.dead["192.0.2.1:80"], f.dead["192.0.2.2:80"] = true, true

		time.Sleep(11 * time.Second)

		start := time.Now()

		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "192.0.2.1:80 192.0.2.3:80")
		assert.Equal(t, time.Since(start), finder.DefaultTimeout+3*time.Millisecond)
	})
}

// Symptom: callers stop working while the nodes that they know still serve.
// Sequence: the kept answer's lifetime ends while no node answers GET /v1/entries.
// Cause: an answer past its lifetime is thrown away, or searched for at every request.
func TestGoesOnWithTheKeptAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		found := newFinder(t, f, "192.0.2.1:80")
		addresses(t, found)

		for _, v := range []string{"192.0.2.1:80", "192.0.2.2:80", "192.0.2.3:80"} {
			f.refused[v] = true
		}

		time.Sleep(11 * time.Second)
		f.take()
		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "192.0.2.1:80 192.0.2.3:80 192.0.2.2:80")
		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "")

		f.refused["192.0.2.2:80"] = false

		time.Sleep(time.Second)
		assert.Equal(t, addresses(t, found), "n1 n2 n3")
		assert.Equal(t, f.take(), "192.0.2.1:80 192.0.2.3:80 192.0.2.2:80")
	})
}

func TestFailedAddressComesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found := newFinder(t, newFleet(), "192.0.2.1:80")
		addresses(t, found)
		found.Failed("192.0.2.1:80")
		found.Failed("unknown")
		assert.Equal(t, addresses(t, found), "n2 n3 n1")
		time.Sleep(11 * time.Second)
		assert.Equal(t, addresses(t, found), "n1 n2 n3")
	})
}

// Symptom: a caller is cut off from all nodes although they serve.
// Sequence: a faulty node, or something that isn't a node, answers with nothing usable.
// Cause: the answer replaces the kept one unchecked.
func TestUnusableAnswersAreRefused(t *testing.T) {
	for _, body := range []string{"", "{}", `{"entries":[],"keep_seconds":10}`, `{"entries":[{"address":"example.org:80"}]}`, `{"entries":[{"address":7}]}`} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			f.body = body

			_, err := newFinder(t, f, "192.0.2.1:80").Entries(t.Context())
			assert.ErrorIs(t, err, finder.ErrNoAnswer)
		})
	}
}

func TestLifetimesAreBounded(t *testing.T) {
	tests := map[string]time.Duration{"-1": time.Second, "0": time.Second, "1e300": time.Hour}

	for keep, want := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			f.body = `{"entries":[{"address":"192.0.2.1:80","node":"n1"}],"keep_seconds":` + keep + `}`
			found := newFinder(t, f, "192.0.2.1:80")
			addresses(t, found)
			f.take()
			time.Sleep(want - time.Millisecond)
			addresses(t, found)
			assert.Equal(t, f.take(), "", keep)
			time.Sleep(2 * time.Millisecond)
			addresses(t, found)
			assert.Equal(t, f.take(), "192.0.2.1:80", keep)
		})
	}
}

func TestManyCallersShareOneSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		found := newFinder(t, f, "192.0.2.1:80")

		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() { addresses(t, found) })
		}

		wait.Wait()
		assert.Equal(t, f.take(), "192.0.2.1:80")
	})
}

func TestEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.dead["192.0.2.1:80"] = true

		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()

		_, err := newFinder(t, f, "192.0.2.1:80", "192.0.2.2:80").Entries(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.ErrorIs(t, err, finder.ErrNoAnswer)
		assert.Equal(t, f.take(), "192.0.2.1:80")
	})
}

func TestNeedsAnAddress(t *testing.T) {
	_, err := finder.New(finder.Options{})
	assert.Error(t, err, "a finder needs at least one address")
}

func TestAsksARealServer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"entries":[{"address":%q,"node":"n1"}],"keep_seconds":10}`, r.Host)
	}))
	defer server.Close()

	found, err := finder.New(finder.Options{Addresses: []string{server.Listener.Addr().String()}, Key: "key"})
	assert.NilError(t, err)
	assert.Equal(t, addresses(t, found), "n1")
}

// Symptom: callers of a service that nodes could steer were spread over all
// nodes. Sequence: a caller asks for the entries and gets them in any order.
// Cause: the question named neither its service nor its failure domain.
func TestQuestionNamesServiceAndFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, v := range []struct{ service, domain, query string }{
			{"", "", ""},
			{"assistente", "", "service=assistente"},
			{"a&b=c d", "catania-sala", "failure_domain=catania-sala&service=a%26b%3Dc+d"},
		} {
			f := newFleet()
			found, err := finder.New(finder.Options{
				Addresses: []string{"192.0.2.9:80"}, Key: "key", Transport: f, Service: v.service, FailureDomain: v.domain,
			})
			assert.NilError(t, err)

			addresses(t, found)
			assert.Equal(t, f.query, v.query)
		}
	})
}
