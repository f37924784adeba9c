package balancer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/estimator"
)

// ServerReport is the state of one server as the pool sees it.
type ServerReport struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
	// Foreign is the number of requests at the server that other nodes sent without this pool.
	Foreign float64 `json:"foreign"`
	// BacklogTokens is the number of prompt tokens of requests without a first event.
	BacklogTokens float64 `json:"backlog_tokens"`
	// Slowdown is the learned ratio of real to expected times.
	Slowdown float64 `json:"speed"`
	// Failures is the recent fraction of failed requests.
	Failures float64 `json:"failures"`
	// OverdueMS is how much longer than expected the server has answered nothing.
	OverdueMS float64 `json:"overdue_ms"`
	Draining  bool    `json:"draining,omitempty"`
}

// Estimates returns the estimated performance of the pool's servers.
func (p *Pool) Estimates() estimator.Estimates {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.model.Estimates()
}

// Report returns the state of the pool's servers.
func (p *Pool) Report(now time.Time) []ServerReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	reports := make([]ServerReport, 0, len(p.servers))
	for _, s := range p.servers {
		reports = append(reports, ServerReport{
			ID:            s.ID,
			Running:       len(s.running),
			Foreign:       s.foreignNow(now),
			BacklogTokens: s.backlog,
			Slowdown:      s.slowdownNow(now),
			Failures:      s.failuresNow(now),
			OverdueMS:     s.overdueMS(now),
			Draining:      s.Draining,
		})
	}

	return reports
}
