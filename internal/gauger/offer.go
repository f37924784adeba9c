package gauger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// tokens is the length of each answer.
	tokens = 16
	// inFlight bounds the callers; requests beyond count as failed.
	inFlight       = 512
	requestTimeout = 15 * time.Second
	headerResult   = "Quincepath-Result"
	endBroken      = "broken"
	endBusy        = "callers_busy"
	// seed makes the mix of requests the same in each run.
	seed = 1
)

// EndAnswered counts requests that were answered whole.
const EndAnswered = "answered"

// offer sends requests at the rate and counts in figures how they ended.
func (f *fleet) offer(ctx context.Context, figures *Figures) error {
	if f.options.Rate <= 0 {
		return sleep(ctx, f.options.Duration)
	}

	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: inFlight}}
	defer client.CloseIdleConnections()

	s := &sender{
		client:   client,
		steering: steering{fleet: f, client: client},
		random:   rand.New(rand.NewPCG(seed, seed)),
		places:   make(chan struct{}, inFlight),
		ended:    ends{counts: make(map[string]int64)},
	}
	if err := s.run(ctx, f.options.Rate, f.options.Duration); err != nil {
		return err
	}

	figures.Ends = s.ended.counts

	return nil
}

// sender sends the requests of one phase.
type sender struct {
	client   *http.Client
	steering steering
	random   *rand.Rand
	// places holds an element for each request that has no answer yet.
	places chan struct{}
	group  sync.WaitGroup
	ended  ends
}

// run sends rate requests a second, each at its time whatever the earlier ones do, and waits for their ends.
func (s *sender) run(ctx context.Context, rate float64, length time.Duration) error {
	pause := time.Duration(float64(time.Second) / rate)
	begun := time.Now()

	for number := 0; ; number++ {
		due := time.Duration(number) * pause
		if due >= length {
			break
		}

		if err := sleep(ctx, time.Until(begun.Add(due))); err != nil {
			return err
		}

		if err := s.send(ctx, number); err != nil {
			return err
		}
	}

	s.group.Wait()

	return nil
}

// send starts one request unless too many have no answer yet.
func (s *sender) send(ctx context.Context, number int) error {
	service, organisation := s.random.IntN(services), s.random.IntN(organisations)

	entry, err := s.steering.entry(ctx, number, service)
	if err != nil {
		return err
	}

	select {
	case s.places <- struct{}{}:
	default:
		s.ended.add(endBusy)

		return nil
	}

	s.group.Go(func() {
		defer func() { <-s.places }()

		s.ended.add(ask(ctx, s.client, entry, service, organisation))
	})

	return nil
}

// ends counts how requests ended. It is safe for concurrent use.
type ends struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (e *ends) add(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.counts[name]++
}

// ask sends one streamed completion and says how it ended.
func ask(ctx context.Context, client *http.Client, entry string, service, organisation int) string {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"price"}],"max_tokens":%d,"stream":true}`, serviceName(service), tokens)

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return endBroken
	}

	request.Header.Set("Authorization", "Bearer "+organisationKey(organisation))

	response, err := client.Do(request)
	if err != nil {
		return endBroken
	}
	defer response.Body.Close()

	answer, err := io.ReadAll(response.Body)

	switch {
	case response.StatusCode != http.StatusOK:
		return response.Header.Get(headerResult)
	case err != nil || !bytes.Contains(answer, []byte("[DONE]")):
		return endBroken
	}

	return EndAnswered
}

// change makes the settings changes, spread evenly over the phase.
func (f *fleet) change(ctx context.Context, figures *Figures) error {
	begun := time.Now()

	for i := range f.options.Changes {
		if err := sleep(ctx, time.Until(begun.Add(time.Duration(i)*f.options.Duration/time.Duration(f.options.Changes)))); err != nil {
			return err
		}

		if err := f.changeOne(ctx, i+1); err != nil {
			return err
		}

		figures.Changes++
	}

	return sleep(ctx, time.Until(begun.Add(f.options.Duration)))
}

func (f *fleet) changeOne(ctx context.Context, number int) error {
	index := number % services
	branch := branchName(index)

	tree, err := f.editor.Tree(ctx)
	if err != nil {
		return err
	}

	stored, ok := tree.Find(branch)
	if !ok {
		return errors.Newf("the tree has no branch %s", branch)
	}

	_, err = f.editor.Edit(ctx, configurer.Edit{
		Branch: branch, Value: []byte(f.service(index, number)), BaseRevision: stored.Revision,
		ChangeID: fmt.Sprintf("change-%d", number), Author: author,
	})

	return err
}
