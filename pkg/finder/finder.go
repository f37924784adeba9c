// Package finder asks quincepath nodes which addresses to use, by GET
// /v1/entries, and keeps the answer.
//
// No balancer stands before the nodes, so every caller starts from any address
// that it was given or kept. The finder goes on with what it kept while no node
// answers, and looks into other failure domains first when one of them is silent.
package finder

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultTimeout is the time that one node gets to answer.
	DefaultTimeout = 2 * time.Second
	// retryWait is the time between searches while no node answers, so that a
	// caller with a kept answer isn't held up by a search at each request.
	retryWait = time.Second
	// leastKeep and mostKeep bound how long an answer is kept, whatever a node says.
	leastKeep = time.Second
	mostKeep  = time.Hour
)

// ErrNoAnswer means that no node answered and nothing is kept.
var ErrNoAnswer = errors.New("no node answers")

// Entry is one node that takes requests.
type Entry struct {
	// Address is an IP number and a port.
	Address string
	Node    string
	// FailureDomain is empty for an address that no answer named yet.
	FailureDomain string
}

// Options say whom to ask and how.
type Options struct {
	// Addresses are the IP:port of the first nodes to ask; never empty.
	Addresses []string
	// Key is the bearer key of the caller's organisation.
	Key string
	// Service is the name of the service that the entries are for: nodes that
	// serve it best come first. Empty means any; a caller of several services
	// does best with a Finder for each.
	Service string
	// FailureDomain is where the caller runs, empty if unknown: nodes there come
	// before others that are as good.
	FailureDomain string
	// Scheme is "http" or "https"; empty means "http".
	Scheme string
	// Transport sends the calls; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Timeout is the time that one node gets to answer; zero means DefaultTimeout.
	Timeout time.Duration
}

// Finder keeps the entries. It is safe for concurrent use; one search runs at a time.
type Finder struct {
	options Options
	client  *http.Client
	// searching holds one value while a search runs. It is taken before mu.
	searching chan struct{}

	mu sync.Mutex
	// kept is the last answer in its order, failed addresses last; it only changes as a whole.
	kept []Entry
	// until is the end of the answer's lifetime; then it is kept but asked for again.
	until time.Time
	// nextSearch is the earliest time of another search after one without an answer.
	nextSearch time.Time
}

// New returns a finder that asked nobody yet. It fails without an address.
func New(options Options) (*Finder, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("a finder needs at least one address")
	}

	if options.Scheme == "" {
		options.Scheme = "http"
	}

	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}

	client := &http.Client{
		Transport: options.Transport,
		// A redirect would carry the key to an address that nobody named.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}

	return &Finder{options: options, client: client, searching: make(chan struct{}, 1)}, nil
}

// Entries returns the addresses to use, the best first. It asks a node only
// when the kept answer's lifetime is over, and returns the kept one past its
// lifetime if no node answers. It fails with ErrNoAnswer when nothing is kept.
func (f *Finder) Entries(ctx context.Context) ([]Entry, error) {
	if kept, ok := f.fresh(); ok {
		return kept, nil
	}

	select {
	case f.searching <- struct{}{}:
	case <-ctx.Done():
		return f.fallback(ctx.Err())
	}

	defer func() { <-f.searching }()

	// Another search may have ended while this one waited.
	if kept, ok := f.fresh(); ok {
		return kept, nil
	}

	found, err := f.search(ctx)
	if err != nil {
		f.postponeSearch(ctx)

		return f.fallback(err)
	}

	return f.keep(found), nil
}

// Failed tells that a connection to the address failed, so that it comes last until the next answer.
func (f *Finder) Failed(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	i := slices.IndexFunc(f.kept, func(e Entry) bool { return e.Address == address })
	if i < 0 {
		return
	}

	failed := f.kept[i]
	f.kept = slices.Concat(f.kept[:i], f.kept[i+1:], []Entry{failed})
}

// fresh returns the kept answer if no search is due.
func (f *Finder) fresh() ([]Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	now := time.Now()
	due := !now.Before(f.until) && !now.Before(f.nextSearch)

	return slices.Clone(f.kept), len(f.kept) > 0 && !due
}

// fallback returns the kept answer although its lifetime is over, or the error.
func (f *Finder) fallback(cause error) ([]Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.kept) == 0 {
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, cause)
	}

	return slices.Clone(f.kept), nil
}

// postponeSearch bounds how often a search without an answer is made. A search
// that its caller broke off says nothing of the nodes.
func (f *Finder) postponeSearch(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.nextSearch = time.Now().Add(retryWait)
}

func (f *Finder) keep(found answer) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.kept = found.entries
	f.until = time.Now().Add(min(max(found.keep, leastKeep), mostKeep))

	return slices.Clone(f.kept)
}

// search asks the kept addresses in order, then the given ones. After a failure
// the failure domain's other addresses come last: a dead failure domain then
// costs one timeout and not one for each of its nodes.
func (f *Finder) search(ctx context.Context) (answer, error) {
	var failure error

	for left := f.candidates(); len(left) > 0; {
		next := left[0]

		found, err := f.ask(ctx, next.Address)
		if err == nil {
			return found, nil
		}

		failure = joined(failure, errors.Wrap(err, next.Address))
		if ctx.Err() != nil {
			return answer{}, failure
		}

		left = postpone(left[1:], next.FailureDomain)
	}

	return answer{}, failure
}

func joined(before, err error) error {
	if before == nil {
		return err
	}

	return fmt.Errorf("%w; %w", before, err)
}

func (f *Finder) candidates() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()

	candidates := slices.Clone(f.kept)

	for _, v := range f.options.Addresses {
		if !slices.ContainsFunc(candidates, func(e Entry) bool { return e.Address == v }) {
			candidates = append(candidates, Entry{Address: v})
		}
	}

	return candidates
}

// postpone moves the entries of the failure domain behind the others.
func postpone(entries []Entry, domain string) []Entry {
	if domain == "" {
		return entries
	}

	ordered := make([]Entry, 0, len(entries))

	for _, v := range entries {
		if v.FailureDomain != domain {
			ordered = append(ordered, v)
		}
	}

	for _, v := range entries {
		if v.FailureDomain == domain {
			ordered = append(ordered, v)
		}
	}

	return ordered
}
