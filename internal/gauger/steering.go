package gauger

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/loader"
)

// steering keeps, for each service, the entry that nodes name first. It serves one goroutine.
type steering struct {
	fleet  *fleet
	client *http.Client
	// first holds the kept addresses by service.
	first [services]string
	until [services]time.Time
	// asked counts the nodes asked, so that they take turns.
	asked int
}

// entry returns the address for the next request. Under any policy but
// PolicyQueueSteered the nodes take turns; under that one callers obey GET /v1/entries.
func (s *steering) entry(ctx context.Context, number, service int) (string, error) {
	f := s.fleet
	if f.options.Policy != loader.PolicyQueueSteered {
		return f.entries[number%len(f.entries)], nil
	}

	if time.Now().Before(s.until[service]) {
		return s.first[service], nil
	}

	s.asked++

	address, err := s.ask(ctx, f.entries[s.asked%len(f.entries)], service)
	if err != nil {
		return "", errors.Wrap(err, "ask for entries")
	}

	s.first[service], s.until[service] = address, time.Now().Add(entryLifetime)

	return address, nil
}

// ask returns the address that a node names first for a service.
func (s *steering) ask(ctx context.Context, node string, service int) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/entries?service="+serviceName(service), http.NoBody)
	if err != nil {
		return "", err
	}

	request.Header.Set("Authorization", "Bearer "+organisationKey(0))

	response, err := s.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()

	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}

	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return "", err
	}

	if len(answer.Entries) == 0 {
		return "", errors.Newf("%s names no entry", node)
	}

	return answer.Entries[0].Address, nil
}
