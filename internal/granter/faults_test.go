package granter

import (
	"math/rand/v2"
	"time"
)

func (n *network) freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.frozen[name] = make(chan struct{})
}

func (n *network) thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	close(n.frozen[name])
	delete(n.frozen, name)
}

func (n *network) lose(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.loss = share
}

func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cut[name] = cut
}

func (n *network) setDown(name string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.down[name] = down
}

// disturb freezes, cuts off and mends one node after the other, and loses messages, until stop.
// A cut node still answers its own callers; it is not named as live meanwhile.
func (n *network) disturb(random *rand.Rand, stop chan struct{}) {
	names := n.Live()
	wait := func() {
		select {
		case <-stop:
		case <-time.After(time.Duration(100+random.IntN(900)) * time.Millisecond):
		}
	}

	for {
		select {
		case <-stop:
			n.lose(0)

			return
		default:
		}

		name := names[random.IntN(len(names))]
		n.lose(random.Float64() * 0.2)

		if random.IntN(2) == 0 {
			n.freeze(name)
			wait()
			n.thaw(name)
		} else {
			n.setDown(name, true)
			wait()
			n.setDown(name, false)
		}

		wait()
	}
}
