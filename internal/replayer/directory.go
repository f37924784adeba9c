package replayer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	entriesLimit = 2 * time.Second
	// leastKeep bounds the calls of GET /v1/entries when an answer may be kept for no time.
	leastKeep = 200 * time.Millisecond
	// avoidTime is how long callers prefer other entries to one that failed.
	avoidTime = time.Second
)

// entriesAnswer is the answer of GET /v1/entries.
type entriesAnswer struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepSeconds float64 `json:"keep_seconds"`
}

// directory holds the entry addresses that callers know. It is safe for concurrent use.
type directory struct {
	client Doer
	// scheme is "http://" or "https://".
	scheme string
	key    string
	given  []string
	// service is named in each question; it may be empty.
	service string
	// inTurn has callers begin with each address in turn, and not with the first.
	inTurn bool

	mu      sync.Mutex
	known   []string
	avoided map[string]time.Time
}

func newDirectory(client Doer, scheme string, given []string, key string) *directory {
	return &directory{client: client, scheme: scheme, key: key, given: given, avoided: map[string]time.Time{}}
}

// refresh asks the known addresses, then the given ones, until one answers, and returns how long to keep the answer.
func (d *directory) refresh(ctx context.Context) (time.Duration, error) {
	var failures error

	for _, address := range d.all() {
		answer, err := d.ask(ctx, address)
		if err != nil {
			failures = errors.CombineErrors(failures, err)

			continue
		}

		d.learn(answer)

		return max(leastKeep, time.Duration(answer.KeepSeconds*float64(time.Second))), nil
	}

	return leastKeep, classifier.Wrap(failures, classifier.NodeUnreachable, "none of the entries answers GET /v1/entries")
}

// follow keeps the addresses fresh until ctx ends. While no entry answers, the old ones stay.
func (d *directory) follow(ctx context.Context, keep time.Duration) {
	for {
		if !sleeper.Sleep(ctx, keep) {
			return
		}

		keep, _ = d.refresh(ctx)
	}
}

func (d *directory) ask(ctx context.Context, address string) (entriesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesLimit)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.scheme+address+d.path(), nil)
	if err != nil {
		return entriesAnswer{}, errors.Wrapf(err, "entry %s", address)
	}

	request.Header.Set("Authorization", "Bearer "+d.key)

	response, err := d.client.Do(request)
	if err != nil {
		return entriesAnswer{}, errors.Wrapf(err, "entry %s", address)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return entriesAnswer{}, errors.Newf("entry %s answers with status %d", address, response.StatusCode)
	}

	var answer entriesAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return entriesAnswer{}, errors.Wrapf(err, "entry %s", address)
	}

	if len(answer.Entries) == 0 {
		return entriesAnswer{}, errors.Newf("entry %s names no entries", address)
	}

	return answer, nil
}

func (d *directory) path() string {
	if d.service == "" {
		return "/v1/entries"
	}

	return "/v1/entries?" + url.Values{"service": {d.service}}.Encode()
}

func (d *directory) learn(answer entriesAnswer) {
	known := make([]string, 0, len(answer.Entries))
	for _, v := range answer.Entries {
		known = append(known, v.Address)
	}

	// Answers differ in their order; callers that take turns need one.
	if d.inTurn {
		slices.Sort(known)
		known = slices.Compact(known)
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.known = known
}

// all returns the known addresses followed by the given ones.
func (d *directory) all() []string {
	d.mu.Lock()
	defer d.mu.Unlock()

	return append(slices.Clone(d.known), d.given...)
}

// addresses returns the known addresses.
func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()

	return slices.Clone(d.known)
}

// pick returns the address that the caller with this number uses after so many
// changes of it, past those that failed lately unless all did.
func (d *directory) pick(number, hops int) string {
	d.mu.Lock()
	defer d.mu.Unlock()

	now, turn := time.Now(), hops
	if d.inTurn {
		turn += number
	}

	for i := range d.known {
		address := d.known[(turn+i)%len(d.known)]
		if now.After(d.avoided[address]) {
			return address
		}
	}

	return d.known[turn%len(d.known)]
}

// avoid makes callers prefer other entries for a while.
func (d *directory) avoid(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.avoided[address] = time.Now().Add(avoidTime)
}
