package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
)

const (
	partNodes     = 3
	partUpstreams = 10
	partSlots     = 6
	// partFleet is the number of the first fleet of these tests among those of cutNodeSettings.
	partFleet = 14
	// partRestartDelay is how long after a crash the upstream is back, under another ID.
	partRestartDelay = 1500 * time.Millisecond
	// partSoundTime is how long only sound requests are sent.
	partSoundTime      = 3 * time.Second
	partSoundInterval  = time.Second / 40
	partDeadlyInterval = time.Second / 6
	// partBound is how long after the fifth crash requests with the part may still reach upstreams.
	partBound = 3 * time.Second
	// partCountedTime is how long sound requests are counted, from twice the bound on.
	partCountedTime = 4 * time.Second
	// crashesBeforeBound is the number of crashes after which the bound begins.
	crashesBeforeBound = 5
	// maxSendsAfterBound is the number of requests with the part that may reach upstreams after the bound.
	maxSendsAfterBound = 3
	// minSoundShare is the share of sound requests that must begin, compared with the time before the first crash.
	minSoundShare = 0.95

	deadlyPart      = "dead"
	partEvents      = 5
	partEventDelay  = 20 * time.Millisecond
	partAnswerDelay = 60 * time.Millisecond
)

// crashPoint is when an upstream crashes under a request with the deadly part.
type crashPoint int

const (
	beforeAnyByte crashPoint = iota
	afterHeader
	afterFirstEvent
	// betweenEvents is after the first event of a stream with neither a length nor chunks, which therefore ends like a whole one.
	betweenEvents
)

// partStore lists upstreams of one service behind one route. While it is away, nothing can be read or written.
type partStore struct {
	crashStore

	kind cataloguer.Kind
	away atomic.Bool
}

var errAway = errors.New("store away")

func (s *partStore) Configuration(ctx context.Context) (cataloguer.Configuration, storer.Position, error) {
	if s.away.Load() {
		return cataloguer.Configuration{}, storer.Position{}, errAway
	}

	configuration, revision, err := s.store.Configuration(ctx)
	route := &configuration.Routes[0]
	route.Kind, route.Attempts, route.Timeout, route.Target = s.kind, 3, 8*time.Second, time.Second

	return configuration, revision, err
}

func (s *partStore) Registry(ctx context.Context, progress func()) (cataloguer.Listing, error) {
	if s.away.Load() {
		return cataloguer.Listing{}, errAway
	}

	return s.crashStore.Registry(ctx, progress)
}

func (s *partStore) Position(ctx context.Context) (storer.Position, error) {
	if s.away.Load() {
		return storer.Position{}, errAway
	}

	return s.crashStore.Position(ctx)
}

func (s *partStore) Record(ctx context.Context, entries []quarantiner.Quarantine) error {
	if s.away.Load() {
		return errAway
	}

	return s.crashStore.Record(ctx, entries)
}

// partFleetTest is three nodes before upstreams that crash under requests with the deadly part.
type partFleetTest struct {
	*restartableFleet

	store *partStore
	point crashPoint

	nextID atomic.Int64

	mu sync.Mutex
	// crashes are the times of all crashes, deadlySends those at which requests with the part reached upstreams. sound are the
	// sound requests.
	crashes, deadlySends []time.Time
	sound                []soundRequest
}

// soundRequest is a request without the deadly part.
type soundRequest struct {
	sentAt time.Time
	began  bool
}

func newPartFleet(t *testing.T, fleet int, kind cataloguer.Kind, point crashPoint) *partFleetTest {
	t.Helper()

	f := &partFleetTest{store: &partStore{crashStore: crashStore{store: store{revision: 1}}, kind: kind}, point: point}
	f.restartableFleet = newRestartableFleet(t, f.store, fleet, partNodes)
	f.isServing = func(n *restartableNode) bool { return f.send(n, "b0") }

	for range partUpstreams {
		f.addUpstream()
	}

	f.startNodes()

	return f
}

// addUpstream starts an upstream and lists it.
func (f *partFleetTest) addUpstream() {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)

	id := fmt.Sprint("u", f.nextID.Add(1))
	server := &http.Server{ReadHeaderTimeout: time.Minute}

	var once sync.Once

	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.answer(w, r, func() {
			once.Do(func() { f.crash(id, server) })
			panic(http.ErrAbortHandler)
		})
	})

	go func() { _ = server.Serve(listener) }()

	f.t.Cleanup(func() { _ = server.Close() })
	f.store.update(func() {
		f.store.upstreams = append(f.store.upstreams, cataloguer.Upstream{
			ID: id, Service: "desk", Address: listener.Addr().String(), Slots: partSlots,
		})
	})
}

// crash ends an upstream, which comes back later.
func (f *partFleetTest) crash(id string, server *http.Server) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()

	_ = server.Close()
	f.store.update(func() {
		f.store.upstreams = slices.DeleteFunc(f.store.upstreams, func(u cataloguer.Upstream) bool { return u.ID == id })
	})
	time.AfterFunc(partRestartDelay, func() {
		if f.t.Context().Err() == nil {
			f.addUpstream()
		}
	})
}

func (f *partFleetTest) answer(w http.ResponseWriter, r *http.Request, crash func()) {
	isDeadly := strings.Contains(r.Header.Get("X-Parts"), deadlyPart)
	if isDeadly {
		f.mu.Lock()
		f.deadlySends = append(f.deadlySends, time.Now())
		f.mu.Unlock()
	}

	_, _ = io.Copy(io.Discard, r.Body)

	if f.point == betweenEvents {
		answerUntilClose(w, r, isDeadly, crash)

		return
	}

	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signature", "sig")

	if f.store.kind != cataloguer.Stream {
		time.Sleep(partAnswerDelay)

		if isDeadly {
			crash()
		}

		_, _ = io.WriteString(w, "answer")

		return
	}

	w.Header().Set("Content-Type", "text/event-stream")

	flush := http.NewResponseController(w).Flush
	_ = flush()

	for i := range partEvents {
		time.Sleep(partEventDelay)

		if isDeadly && (f.point == afterHeader || i > 0) {
			crash()
		}

		_, _ = fmt.Fprintf(w, "id: %d\ndata: word\n\n", i+1)
		_ = flush()
	}
}

// answerUntilClose writes a stream with neither a length nor chunks.
func answerUntilClose(w http.ResponseWriter, r *http.Request, isDeadly bool, crash func()) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()

	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("X-Id"))

	for i := range partEvents {
		time.Sleep(partEventDelay)

		if isDeadly && i > 0 {
			_ = connection.Close()

			crash()
		}

		_, _ = fmt.Fprintf(buffer, "id: %d\ndata: word\n\n", i+1)
		_ = buffer.Flush()
	}
}

// send sends a request with a new ID whose second part is given, and reports whether its answer began.
func (f *partFleetTest) send(n *restartableNode, part string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	id := fmt.Sprint("r", f.nextID.Add(1))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.settings.Node.Listen+"/", strings.NewReader(id))
	assert.Check(f.t, err)

	request.Host = "shop.example"
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Parts", fmt.Sprintf("c0:800,%s:400,%s:100", part, id))

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		return false
	}

	answer := bufio.NewReader(response.Body)
	_, err = answer.ReadByte()
	_, _ = io.Copy(io.Discard, answer)

	return err == nil
}

// sendAtInterval calls send at all nodes in turn until ctx ends.
func (f *partFleetTest) sendAtInterval(ctx context.Context, interval time.Duration, send func(n *restartableNode, number int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()

	var work sync.WaitGroup
	defer work.Wait()

	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work.Go(func() { send(f.nodes[number%len(f.nodes)], number) })
		}
	}
}

// boundAt returns when the bound after the fifth crash is over, and false before that crash.
func (f *partFleetTest) boundAt() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.crashes) < crashesBeforeBound {
		return time.Time{}, false
	}

	return f.crashes[crashesBeforeBound-1].Add(partBound), true
}

// run sends sound requests, then deadly ones beside them until the sound ones have been counted. trouble runs beside the deadly
// ones.
func (f *partFleetTest) run(trouble func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	var work sync.WaitGroup

	work.Go(func() {
		f.sendAtInterval(ctx, partSoundInterval, func(n *restartableNode, number int) {
			sentAt := time.Now()
			began := f.send(n, fmt.Sprint("b", number%5))

			f.mu.Lock()
			defer f.mu.Unlock()

			f.sound = append(f.sound, soundRequest{sentAt: sentAt, began: began})
		})
	})
	time.Sleep(partSoundTime)
	work.Go(func() {
		f.sendAtInterval(ctx, partDeadlyInterval, func(n *restartableNode, _ int) { f.send(n, deadlyPart) })
	})

	if trouble != nil {
		work.Go(func() { trouble(ctx) })
	}

	waitUntil(f.t, func() bool {
		_, crashed := f.boundAt()

		return crashed
	})

	boundAt, _ := f.boundAt()
	time.Sleep(time.Until(boundAt.Add(partBound + partCountedTime)))
	cancel()
	work.Wait()
}

// begun counts the sound requests that were sent in a time, and those of them that began.
func (f *partFleetTest) begun(from, to time.Time) (sent, began int) {
	for _, r := range f.sound {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}

		sent++

		if r.began {
			began++
		}
	}

	return sent, began
}

func (f *partFleetTest) check() {
	boundAt, _ := f.boundAt()

	f.mu.Lock()
	defer f.mu.Unlock()

	late := 0

	for _, at := range f.deadlySends {
		if at.After(boundAt) {
			late++
		}
	}

	sentBefore, begunBefore := f.begun(time.Time{}, f.crashes[0])
	sentAfter, begunAfter := f.begun(boundAt.Add(partBound), boundAt.Add(partBound+partCountedTime))
	f.t.Logf("%d crashes, %d late sends; sound requests begun: %d of %d before, %d of %d after",
		len(f.crashes), late, begunBefore, sentBefore, begunAfter, sentAfter)

	assert.Check(f.t, late <= maxSendsAfterBound, "%d requests with the part reached upstreams after the bound", late)
	assert.Check(f.t, sentBefore > 0 && sentAfter > 0)
	assert.Check(f.t, float64(begunAfter*sentBefore) >= minSoundShare*float64(begunBefore*sentAfter),
		"of the sound requests %d of %d began before, and %d of %d after", begunBefore, sentBefore, begunAfter, sentAfter)
}

// takeStoreAway makes all calls to the store fail.
func (f *partFleetTest) takeStoreAway(context.Context) {
	f.store.away.Store(true)
}

// partCase is when upstreams crash, and what happens meanwhile.
type partCase struct {
	name    string
	kind    cataloguer.Kind
	point   crashPoint
	trouble func(f *partFleetTest) func(ctx context.Context)
}

func partCases() []partCase {
	return []partCase{
		{name: "after the header", kind: cataloguer.Stream, point: afterHeader},
		{name: "after the first event", kind: cataloguer.Stream, point: afterFirstEvent},
		{name: "between two events of a stream that ends with its connection", kind: cataloguer.Stream, point: betweenEvents},
		{name: "before any byte", kind: cataloguer.Idempotent, point: beforeAnyByte},
		{
			name: "after the header while nodes restart", kind: cataloguer.Stream, point: afterHeader,
			trouble: func(f *partFleetTest) func(context.Context) { return f.restartInTurn },
		},
		{
			name: "after the header without the store", kind: cataloguer.Stream, point: afterHeader,
			trouble: func(f *partFleetTest) func(context.Context) { return f.takeStoreAway },
		},
	}
}

// Guards against requests that crash one upstream after another because of a part that their prompts share: no two are alike.
func TestPromptPartThatCrashesUpstreamsIsStopped(t *testing.T) {
	for i, c := range partCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			f := newPartFleet(t, partFleet+i, c.kind, c.point)

			var trouble func(context.Context)
			if c.trouble != nil {
				trouble = c.trouble(f)
			}

			f.run(trouble)
			f.check()
		})
	}
}
