package finder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxAnswerBytes = 1 << 20
	maxEntries     = 1000
)

// answer is a node's answer that was checked; entries is never empty.
type answer struct {
	entries []Entry
	keep    time.Duration
}

type entriesAnswer struct {
	Entries     []entryAddress `json:"entries"`
	KeepSeconds float64        `json:"keep_seconds"`
}

type entryAddress struct {
	Address       string `json:"address"`
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
}

// ask asks one node and waits at most for the timeout.
func (f *Finder) ask(ctx context.Context, address string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(address), http.NoBody)
	if err != nil {
		return answer{}, errors.Wrap(err, "make the request")
	}

	request.Header.Set("Authorization", "Bearer "+f.options.Key)

	response, err := f.client.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "ask for the entries")
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return answer{}, errors.Newf("the node answered %s", response.Status)
	}

	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errors.Wrap(err, "read the entries")
	}

	return decode(data)
}

// url names what the caller is only if it is known.
func (f *Finder) url(address string) string {
	query := make(url.Values)

	if f.options.Service != "" {
		query.Set("service", f.options.Service)
	}

	if f.options.FailureDomain != "" {
		query.Set("failure_domain", f.options.FailureDomain)
	}

	question := url.URL{Scheme: f.options.Scheme, Host: address, Path: "/v1/entries", RawQuery: query.Encode()}

	return question.String()
}

// decode drops entries without an IP number and a port, and refuses an answer
// without a usable one: kept, it would cut the caller off from every node.
func decode(data []byte) (answer, error) {
	var wire entriesAnswer
	if err := json.Unmarshal(data, &wire); err != nil {
		return answer{}, errors.Wrap(err, "decode the entries")
	}

	var entries []Entry

	for _, v := range wire.Entries {
		if _, err := netip.ParseAddrPort(v.Address); err == nil && len(entries) < maxEntries {
			entries = append(entries, Entry(v))
		}
	}

	if len(entries) == 0 {
		return answer{}, errors.New("the answer has no usable entry")
	}

	// Larger values would overflow the duration; the caller bounds it further.
	seconds := min(max(wire.KeepSeconds, 0), mostKeep.Seconds())

	return answer{entries: entries, keep: time.Duration(seconds * float64(time.Second))}, nil
}
