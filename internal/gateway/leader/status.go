package leader

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/scaler"
)

// Status describes the duties of this node to operators.
type Status struct {
	// Holds reports whether this node holds the duties. Number is the fencing number of its last term.
	Holds  bool  `json:"holds"`
	Number int64 `json:"number"`
	// Since is when the last term of this process started; zero if it had none.
	Since time.Time `json:"since,omitzero"`
	// Terms counts the terms of this process.
	Terms int64            `json:"terms"`
	Usage collector.Status `json:"usage"`
	// Pools lists the current and ordered sizes of pools; empty on nodes that don't hold the duties.
	Pools []PoolStatus `json:"pools,omitempty"`
}

// PoolStatus holds the current and ordered sizes of a pool.
type PoolStatus struct {
	scaler.Pool
	scaler.PoolSize

	// OrderedRegular and OrderedSpot are the ordered numbers of upstreams; negative if there is no order.
	OrderedRegular int `json:"ordered_regular"`
	OrderedSpot    int `json:"ordered_spot"`
}

// status maintains a Status. It is safe for concurrent use.
type status struct {
	mu      sync.Mutex
	current Status
}

func (s *status) beginTerm(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.current.Holds, s.current.Number, s.current.Since = true, number, time.Now()
	s.current.Terms++
}

func (s *status) endTerm() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.current.Holds, s.current.Pools = false, nil
}

func (s *status) setPools(sizes map[scaler.Pool]scaler.PoolSize, orders []scaler.Order) {
	var pools []PoolStatus

	for _, order := range orders {
		last := len(pools) - 1
		if last < 0 || pools[last].Pool != order.Pool {
			pools = append(pools, PoolStatus{Pool: order.Pool, PoolSize: sizes[order.Pool], OrderedRegular: -1, OrderedSpot: -1})
			last++
		}

		if order.Spot {
			pools[last].OrderedSpot = order.Count
		} else {
			pools[last].OrderedRegular = order.Count
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.current.Pools = pools
}

// Status returns the status of the duties on this node.
func (l *Leader) Status() Status {
	l.status.mu.Lock()
	current := l.status.current
	l.status.mu.Unlock()

	current.Usage = l.usage.Status()

	return current
}
