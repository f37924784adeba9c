package messenger_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/messenger"
	"quincepath.example/quincepath/internal/standin/cutter"
)

// Guards against an answer of a peer that was cut off and counts as a whole one, or as an empty one, and against a call that is carried
// out twice because of it.
func TestAnswersThatPeersCutOffAreErrors(t *testing.T) {
	for name, test := range map[string]struct {
		params string
		// step is the number of bytes between two cuts.
		step int
	}{
		"short": {params: "text", step: 1},
		"long":  {params: strings.Repeat("text", 64<<10), step: 9973},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := newMemoryNetwork()
				newPair(ctx, network, "secret")

				whole, failed := 0, 0

				for left := 0; whole < 3; left += test.step {
					client := messenger.New(messenger.Options{
						Self: "c", Credential: "secret", Peers: map[string]string{"b": "b"},
						Dial: func(ctx context.Context, address string) (net.Conn, error) {
							conn, err := network.dial(ctx, address)

							return &cutter.Conn{Conn: conn, Left: left}, err
						},
					})
					served := network.served.Load()

					var answer string

					err := client.Call(ctx, "b", "echo", test.params, &answer)

					synctest.Wait()
					assert.Assert(t, network.served.Load() <= served+1, "%d bytes", left)

					if err == nil {
						whole++

						assert.Equal(t, answer, `c"`+test.params+`"`, "%d bytes", left)
					} else {
						failed++

						assert.Assert(t, whole == 0, "%d bytes: %v", left, err)
						assert.Equal(t, answer, "", "%d bytes", left)
					}
				}

				assert.Assert(t, failed > 10, "%d calls failed", failed)

				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
