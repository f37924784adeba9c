package leader

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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
	// Demand describes the services whose upstreams are ordered by need, by name; empty on nodes that don't hold the duties.
	Demand map[string]scaler.ServiceStatus `json:"demand,omitempty"`
	Orders OrderCounters                   `json:"orders,omitzero"`
}

// OrderCounters counts what the duties of this process did about orders.
type OrderCounters struct {
	// Sent counts the orders that the platform accepted, Unavailable those that it had no upstreams for, Failed all others.
	Sent        int64 `json:"sent"`
	Unavailable int64 `json:"unavailable"`
	Failed      int64 `json:"failed"`
	// Measured and Unknown count the measurements of the demand of one service, and those that failed.
	Measured int64 `json:"measured"`
	Unknown  int64 `json:"unknown"`
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

	s.current.Holds, s.current.Pools, s.current.Demand = false, nil, nil
}

func (s *status) countMeasurements(measured, unknown int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.current.Orders.Measured += int64(measured)
	s.current.Orders.Unknown += int64(unknown)
}

func (s *status) countOrder(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case err == nil:
		s.current.Orders.Sent++
	case errors.Is(err, ErrUnavailable):
		s.current.Orders.Unavailable++
	default:
		s.current.Orders.Failed++
	}
}

func (s *status) setDemand(demand map[string]scaler.ServiceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.current.Demand = demand
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
