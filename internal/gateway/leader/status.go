package leader

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/scaler"
)

// Status tells operators what this node does of the duties.
type Status struct {
	// Holds says that this node holds the duties, under Number.
	Holds  bool  `json:"holds"`
	Number int64 `json:"number"`
	// Since is when the last term of this process began; zero if it had none.
	Since time.Time `json:"since,omitzero"`
	// Terms counts the terms of this process.
	Terms int64            `json:"terms"`
	Usage collector.Status `json:"usage"`
	// Pools tell what stands and what is ordered; empty on nodes that don't hold the duties.
	Pools []PoolStatus `json:"pools,omitempty"`
}

// PoolStatus is a service in a failure domain.
type PoolStatus struct {
	scaler.Pool
	scaler.PoolSize

	// OrderedRegular and OrderedSpot are the numbers that should stand; negative where none is ordered.
	OrderedRegular int `json:"ordered_regular"`
	OrderedSpot    int `json:"ordered_spot"`
}

// status keeps a Status up to date. It is safe for concurrent use.
type status struct {
	mu      sync.Mutex
	present Status
}

func (s *status) begin(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.present.Holds, s.present.Number, s.present.Since = true, number, time.Now()
	s.present.Terms++
}

func (s *status) end() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.present.Holds, s.present.Pools = false, nil
}

func (s *status) plan(standing map[scaler.Pool]scaler.PoolSize, orders []scaler.Order) {
	var pools []PoolStatus

	for _, order := range orders {
		last := len(pools) - 1
		if last < 0 || pools[last].Pool != order.Pool {
			pools = append(pools, PoolStatus{Pool: order.Pool, PoolSize: standing[order.Pool], OrderedRegular: -1, OrderedSpot: -1})
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

	s.present.Pools = pools
}

// Status returns what this node does of the duties.
func (l *Leader) Status() Status {
	l.status.mu.Lock()
	present := l.status.present
	l.status.mu.Unlock()

	present.Usage = l.usage.Status()

	return present
}
