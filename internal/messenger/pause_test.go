package messenger_test

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/messenger"
)

// pausedProcess is a node whose timers run while it reads nothing, as in the moment after a pause.
type pausedProcess struct {
	mu sync.Mutex
	// began is when the present pause began; zero without one.
	began time.Time
	total time.Duration
	// ended is closed when the present pause ends; nil without one.
	ended chan struct{}
}

func (p *pausedProcess) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.began, p.ended = time.Now(), make(chan struct{})
}

func (p *pausedProcess) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.total += time.Since(p.began)
	close(p.ended)
	p.began, p.ended = time.Time{}, nil
}

// paused returns the total length of the pauses.
func (p *pausedProcess) paused() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.began.IsZero() {
		return p.total
	}

	return p.total + time.Since(p.began)
}

// wait waits until the present pause ends.
func (p *pausedProcess) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()

	if ended != nil {
		<-ended
	}
}

// pausedConn is a connection of a pausedProcess. It takes what comes during a pause, as a socket does.
type pausedConn struct {
	net.Conn
	process *pausedProcess
	// came holds what came, in order.
	came chan []byte
	// rest is what is left of the last.
	rest []byte
}

func newPausedConn(conn net.Conn, process *pausedProcess) *pausedConn {
	c := &pausedConn{Conn: conn, process: process, came: make(chan []byte, 1000)}

	go func() {
		defer close(c.came)

		for {
			data := make([]byte, 1<<10)

			n, err := conn.Read(data)
			if err != nil {
				return
			}

			c.came <- data[:n]
		}
	}()

	return c
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		data, ok := <-c.came
		if !ok {
			return 0, io.EOF
		}

		c.rest = data
	}

	c.process.wait()

	n := copy(p, c.rest)
	c.rest = c.rest[n:]

	return n, nil
}

// newPausable returns a client of node b that can be paused.
func newPausable(ctx context.Context, network *memoryNetwork) (*messenger.Messenger, *pausedProcess) {
	process := &pausedProcess{}

	_ = newPair(ctx, network, "secret")

	return messenger.New(messenger.Options{
		Self: "c", Credential: "secret", Peers: map[string]string{"b": "b"}, Logger: network.logger, Paused: process.paused,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := network.dial(ctx, address)
			if err != nil {
				return nil, err
			}

			return newPausedConn(conn, process), nil
		},
	}), process
}

// Guards against a call that times out, and a peer that is doubted, because the caller's process stood still while the answer lay
// unread.
func TestAnswerThatCameDuringAPauseIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client, process := newPausable(ctx, newMemoryNetwork())
		assert.NilError(t, client.Call(ctx, "b", "echo", 1, nil))

		process.pause()
		time.AfterFunc(160*time.Millisecond, process.resume)

		limited, stop := context.WithTimeout(ctx, 150*time.Millisecond)
		defer stop()

		var answer string

		assert.NilError(t, client.Call(limited, "b", "echo", 2, &answer))
		assert.Equal(t, answer, "c2")

		// A call that has no answer ends soon all the same, and one without a pause at its deadline.
		for _, pauses := range []bool{true, false} {
			limited, stop := context.WithTimeout(ctx, 150*time.Millisecond)
			defer stop()

			if pauses {
				process.pause()
				time.AfterFunc(10*time.Millisecond, process.resume)
			}

			started := time.Now()
			err := client.Call(limited, "b", "hang", 3, nil)
			assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
			assert.Assert(t, time.Since(started) == 150*time.Millisecond || pauses && time.Since(started) <= 200*time.Millisecond)
		}

		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against connections to peers that are closed under calls because the process stood still for the time after which a
// connection counts as silent.
func TestPauseIsNoSilenceOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := newMemoryNetwork()
		client, process := newPausable(ctx, network)
		assert.NilError(t, client.Call(ctx, "b", "echo", 1, nil))

		ended := make(chan error, 1)

		go func() {
			limited, stop := context.WithTimeout(ctx, 20*time.Second)
			defer stop()

			ended <- client.Call(limited, "b", "hang", 2, nil)
		}()

		for _, pause := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
			time.Sleep(time.Second)
			process.pause()
			time.Sleep(pause)
			process.resume()
		}

		err := <-ended
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Equal(t, network.dialled.Load(), int64(1))

		// A peer that is silent after a pause is found out as soon as ever.
		network.hush()

		patient, stop := context.WithTimeout(ctx, time.Hour)
		defer stop()

		started := time.Now()
		err = client.Call(patient, "b", "hang", 3, nil)
		assert.Assert(t, errors.Is(err, messenger.ErrSilent), "%v", err)
		assert.Assert(t, time.Since(started) < 3*time.Second)

		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a peer that counts as unreachable because the process stood still while it dialled.
func TestDialAcrossAPauseIsNotRemembered(t *testing.T) {
	for name, pauses := range map[string]bool{"pause": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network, process := newMemoryNetwork(), &pausedProcess{}
				_ = newPair(ctx, network, "secret")

				dials := 0
				client := messenger.New(messenger.Options{
					Self: "c", Credential: "secret", Peers: map[string]string{"b": "b"}, Paused: process.paused,
					Dial: func(ctx context.Context, address string) (net.Conn, error) {
						if dials++; dials > 1 {
							return network.dial(ctx, address)
						}

						if pauses {
							process.pause()
							defer process.resume()
						}

						time.Sleep(time.Second)

						return nil, os.ErrDeadlineExceeded
					},
				})

				assert.Check(t, client.Call(ctx, "b", "echo", 1, nil) != nil)

				err := client.Call(ctx, "b", "echo", 2, nil)
				assert.Check(t, (err == nil) == pauses, "%v", err)

				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
