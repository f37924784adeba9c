package messenger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/messenger"
)

// busyListener takes one connection after the other, each in acceptTime.
type busyListener struct {
	memoryListener
	acceptTime time.Duration
	accepted   atomic.Int64
}

func (l *busyListener) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.accept <- far

	return near, nil
}

// Accept implements net.Listener.
func (l *busyListener) Accept() (net.Conn, error) {
	conn, err := l.memoryListener.Accept()
	if err != nil {
		return nil, err
	}

	time.Sleep(l.acceptTime)
	l.accepted.Add(1)

	return conn, nil
}

// Guards against calls that each give up the connection they dialled when a peer with many callers is late: the peer then gets
// a new connection for each try, is later still, and answers nobody. All nodes of a fleet call its seeds when they start.
func TestBusyPeerTakesOneConnectionPerCaller(t *testing.T) {
	const (
		callTimeout = 300 * time.Millisecond
		retryPause  = 200 * time.Millisecond
		// A weak VM takes some 500 connections a second.
		acceptTime = 2 * time.Millisecond
		seeds      = 3
	)

	for _, nodes := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			callers := nodes / seeds

			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				l := &busyListener{
					memoryListener: memoryListener{accept: make(chan net.Conn, 100*callers), closed: make(chan struct{})},
					acceptTime:     acceptTime,
				}
				server := messenger.New(messenger.Options{Self: "seed", Credential: "secret"})
				server.Handle("echo", func(context.Context, string, json.RawMessage) (any, error) { return "echo", nil })

				go func() { _ = server.Run(ctx, l) }()

				startedAt := time.Now()

				var answered sync.WaitGroup

				for i := range callers {
					client := messenger.New(messenger.Options{
						Self: fmt.Sprint("n", i), Credential: "secret", Dial: l.dial, Joined: func(name string) (string, bool) { return name, true },
					})

					answered.Go(func() {
						for time.Since(startedAt) < time.Minute {
							callCtx, stop := context.WithTimeout(ctx, callTimeout)
							err := client.Call(callCtx, "seed", "echo", 1, nil)

							stop()

							if err == nil {
								return
							}

							time.Sleep(retryPause)
						}
					})
				}

				answered.Wait()

				took := time.Since(startedAt)

				assert.Check(t, took < time.Duration(callers)*acceptTime+2*time.Second, "all were answered after %v", took)
				assert.Check(t, l.accepted.Load() <= int64(callers), "%d connections", l.accepted.Load())

				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
